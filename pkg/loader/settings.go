package loader

import (
	"encoding/hex"
	"net/netip"
	"os"
	"time"

	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"
)

// VMSettings say who this VM is and where it stands.
type VMSettings struct {
	ID               string `yaml:"id" validate:"required,label"`
	Region           string `yaml:"region" validate:"required,label"`
	AvailabilityZone string `yaml:"availabilityZone" validate:"required,label"`
}

// ListenSettings are the addresses that the daemon listens on; VMs is used for both TCP and UDP.
type ListenSettings struct {
	Callers   netip.AddrPort `yaml:"callers" validate:"required"`
	Operators netip.AddrPort `yaml:"operators" validate:"required"`
	VMs       netip.AddrPort `yaml:"vms" validate:"required"`
}

// PlatformSettings say where the platform is and how long one call may take.
type PlatformSettings struct {
	Address netip.AddrPort `yaml:"address" validate:"required"`
	Timeout time.Duration  `yaml:"timeout,omitempty" validate:"gte=0"`
}

// FleetSettings hold the key that VMs know each other by, and the files of mutual TLS where it is used.
type FleetSettings struct {
	Key             string `yaml:"key" validate:"required,hexadecimal,min=32"`
	CertificateFile string `yaml:"certificateFile,omitempty" validate:"required_with=PrivateKeyFile"`
	PrivateKeyFile  string `yaml:"privateKeyFile,omitempty" validate:"required_with=AuthorityFile"`
	AuthorityFile   string `yaml:"authorityFile,omitempty" validate:"required_with=CertificateFile"`
}

// OperatorSettings hold the hashes of the operators' keys.
type OperatorSettings struct {
	KeyHashes []string `yaml:"keyHashes" validate:"required,min=1,dive,keyhash"`
}

// LogSettings say what is logged.
type LogSettings struct {
	Level string `yaml:"level,omitempty" validate:"omitempty,oneof=debug info warning error"`
}

// TraceSettings say where spans go: a file, or an OTLP collector at an IP address and port.
type TraceSettings struct {
	File string         `yaml:"file,omitempty"`
	OTLP netip.AddrPort `yaml:"otlp,omitempty"`
}

// LeaseSettings say how long a segment's lease lasts and how often it is renewed.
type LeaseSettings struct {
	Length time.Duration `yaml:"length,omitempty" validate:"gte=0"`
	Renew  time.Duration `yaml:"renew,omitempty" validate:"gte=0"`
}

// Settings are the daemon's settings.
type Settings struct {
	VM           VMSettings       `yaml:"vm"`
	Listen       ListenSettings   `yaml:"listen"`
	Platform     PlatformSettings `yaml:"platform"`
	Fleet        FleetSettings    `yaml:"fleet"`
	Operators    OperatorSettings `yaml:"operators"`
	Log          LogSettings      `yaml:"log,omitempty"`
	Trace        TraceSettings    `yaml:"trace,omitempty"`
	Lease        LeaseSettings    `yaml:"lease,omitempty"`
	SegmentItems int              `yaml:"segmentItems,omitempty" validate:"gte=0,lte=10000"`
	PollEvery    time.Duration    `yaml:"pollEvery,omitempty" validate:"gte=0"`
	DrainLimit   time.Duration    `yaml:"drainLimit,omitempty" validate:"gte=0"`
}

// Defaults of the settings that may be left out.
const (
	DefaultPlatformTimeout = 2 * time.Second
	DefaultLeaseLength     = 45 * time.Second
	DefaultLeaseRenew      = 15 * time.Second
	DefaultSegmentItems    = 500
	DefaultPollEvery       = 4 * time.Second
	DefaultDrainLimit      = 10 * time.Minute
)

// ReadSettings reads and checks a settings file; the error is a *FieldErrors with every fault found.
func ReadSettings(file string) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return ParseSettings(file, text)
}

// ParseSettings checks the text of a settings file.
func ParseSettings(file string, text []byte) (Settings, error) {
	s := Settings{}
	tree, err := parser.ParseBytes(text, 0)
	if err != nil {
		return s, errors.Wrap(err, file)
	}
	if len(tree.Docs) == 0 || tree.Docs[0].Body == nil {
		return s, &FieldError{File: file, Line: 1, Field: "vm", Remedy: "set this field: the file is empty"}
	}
	errs := FieldErrors{}
	decodeStrict(NewValidator(), file, tree.Docs[0].Body, &s, &errs)
	s.fillDefaults()
	if s.Lease.Renew*2 > s.Lease.Length {
		errs.add(&FieldError{
			File: file, Line: lineOf(tree.Docs[0].Body, "lease.renew"), Field: "lease.renew",
			Value: s.Lease.Renew.String(), Remedy: "use at most half of lease.length, " + s.Lease.Length.String(),
		})
	}
	return s, errs.orNil()
}

func (s *Settings) fillDefaults() {
	setDefault(&s.Platform.Timeout, DefaultPlatformTimeout)
	setDefault(&s.Lease.Length, DefaultLeaseLength)
	setDefault(&s.Lease.Renew, DefaultLeaseRenew)
	setDefault(&s.SegmentItems, DefaultSegmentItems)
	setDefault(&s.PollEvery, DefaultPollEvery)
	setDefault(&s.DrainLimit, DefaultDrainLimit)
	setDefault(&s.Log.Level, "info")
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// FleetKey returns the bytes of the fleet key.
func (s Settings) FleetKey() []byte {
	key, _ := hex.DecodeString(s.Fleet.Key)
	return key
}
