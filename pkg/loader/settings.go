package loader

import (
	"encoding/hex"
	"net/netip"
	"os"
	"time"

	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"
)

// VMSettings are the identity and the location of this VM.
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

// PlatformSettings are the platform's address and the timeout of one call to it.
type PlatformSettings struct {
	Address netip.AddrPort `yaml:"address" validate:"required"`
	Timeout time.Duration  `yaml:"timeout,omitempty" validate:"gte=0"`
}

// FleetSettings are the shared key by which VMs authenticate each other, in hex, and the PEM files for mutual TLS if it is used.
type FleetSettings struct {
	Key             string `yaml:"key" validate:"required,hexadecimal,min=32"`
	CertificateFile string `yaml:"certificateFile,omitempty" validate:"required_with=PrivateKeyFile"`
	PrivateKeyFile  string `yaml:"privateKeyFile,omitempty" validate:"required_with=AuthorityFile"`
	AuthorityFile   string `yaml:"authorityFile,omitempty" validate:"required_with=CertificateFile"`
}

// OperatorSettings are the hashes of the operators' keys.
type OperatorSettings struct {
	KeyHashes []string `yaml:"keyHashes" validate:"required,min=1,dive,keyhash"`
}

// LogSettings are the lowest level of messages that are logged.
type LogSettings struct {
	Level string `yaml:"level,omitempty" validate:"omitempty,oneof=debug info warning error"`
}

// TraceSettings are where spans are exported to: a file, an OTLP collector at an IP address and port, or both. Without either, no
// span is recorded.
type TraceSettings struct {
	File string         `yaml:"file,omitempty"`
	OTLP netip.AddrPort `yaml:"otlp,omitempty"`
}

// ClientSettings are what the process has for its clients, and how long a body or an answer may make no progress.
type ClientSettings struct {
	MemoryMb    int           `yaml:"memoryMb,omitempty" validate:"omitempty,gte=144,lte=1048576"`
	Descriptors int           `yaml:"descriptors,omitempty" validate:"omitempty,gte=1024"`
	StallTime   time.Duration `yaml:"stallTime,omitempty" validate:"omitempty,gte=5s"`
}

// LeaseSettings are how long the lease of a batch job's segment lasts and how often it is renewed; a lease must last for at
// least two renewal intervals.
type LeaseSettings struct {
	Length time.Duration `yaml:"length,omitempty" validate:"gte=0"`
	Renew  time.Duration `yaml:"renew,omitempty" validate:"gte=0"`
}

// Settings are the daemon's settings, as read from its settings file.
type Settings struct {
	VM           VMSettings       `yaml:"vm"`
	Listen       ListenSettings   `yaml:"listen"`
	Platform     PlatformSettings `yaml:"platform"`
	Fleet        FleetSettings    `yaml:"fleet"`
	Operators    OperatorSettings `yaml:"operators"`
	Log          LogSettings      `yaml:"log,omitempty"`
	Trace        TraceSettings    `yaml:"trace,omitempty"`
	Lease        LeaseSettings    `yaml:"lease,omitempty"`
	Clients      ClientSettings   `yaml:"clients,omitempty"`
	SegmentItems int              `yaml:"segmentItems,omitempty" validate:"gte=0,lte=10000"`
	PollEvery    time.Duration    `yaml:"pollEvery,omitempty" validate:"gte=0"`
	DrainLimit   time.Duration    `yaml:"drainLimit,omitempty" validate:"gte=0"`
}

// Default values of optional settings.
const (
	DefaultPlatformTimeout = 2 * time.Second
	DefaultLeaseLength     = 45 * time.Second
	DefaultLeaseRenew      = 15 * time.Second
	DefaultSegmentItems    = 500
	DefaultPollEvery       = 4 * time.Second
	DefaultDrainLimit      = 10 * time.Minute
	DefaultClientMemoryMb  = 1024
	DefaultDescriptors     = 4096
	DefaultStallTime       = 30 * time.Second
)

// ReadSettings reads a settings file, validates it and fills in default values. Invalid fields are returned together as a
// *FieldErrors.
func ReadSettings(file string) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return ParseSettings(file, text)
}

// ParseSettings validates the text of a settings file and fills in default values; file is its name in errors.
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
	setDefault(&s.Clients.MemoryMb, DefaultClientMemoryMb)
	setDefault(&s.Clients.Descriptors, DefaultDescriptors)
	setDefault(&s.Clients.StallTime, DefaultStallTime)
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
