package gossiper

import (
	"cmp"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/placer"
)

// maxDatagramBytes is the size limit of a report, so that it fits into one packet on every link.
const maxDatagramBytes = 1400

// tenthsPerFailure is the number of units of faultMessage.Tenths in one failure.
const tenthsPerFailure = 10

// format marks reports of this version; datagrams of other programs and versions are dropped.
const format = 0xd061

type message struct {
	_ struct{} `cbor:",toarray"`

	Format int
	// VM and Incarnation identify the sender; Sequence orders its messages.
	VM          string
	Incarnation int64
	Sequence    uint64
	IsLeaving   bool
	// HasStore says that the sender reaches the store.
	HasStore bool
	// Pending is the number of waiting batch items.
	Pending int
	// UrgencyMs is the time until the most urgent waiting item is due, in milliseconds.
	UrgencyMs int64
	Loads     []loadMessage
	Faults    []faultMessage
	Hidden    []hiddenMessage
}

// hiddenMessage holds the number of requests at an engine that no VM has reported.
type hiddenMessage struct {
	_ struct{} `cbor:",toarray"`

	Key      uint64
	Requests uint16
}

// faultMessage holds the recent failures of an endpoint that the sender observed.
type faultMessage struct {
	_ struct{} `cbor:",toarray"`

	Key uint64
	// Tenths is the number of failures in tenths; a failure weighs less the older it is.
	Tenths uint16
}

// loadMessage holds the number of the sender's requests in flight at an endpoint.
type loadMessage struct {
	_ struct{} `cbor:",toarray"`

	Key    uint64
	Online uint16
	Batch  uint16
}

func encode(m message) ([]byte, error) {
	m.Format = format
	return cbor.Marshal(m)
}

// encodeWithin encodes the message in at most limit bytes. To fit, it leaves out the hidden requests, then the faults, and then
// the endpoints with the fewest requests.
func encodeWithin(m message, limit int) ([]byte, error) {
	slices.SortFunc(m.Loads, func(a, b loadMessage) int {
		return cmp.Compare(b.Online+b.Batch, a.Online+a.Batch)
	})
	for {
		b, err := encode(m)
		if err != nil || len(b) <= limit {
			return b, err
		}
		switch {
		case len(m.Hidden) > 0:
			m.Hidden = nil
		case len(m.Faults) > 0:
			m.Faults = nil
		case len(m.Loads) > 0:
			m.Loads = m.Loads[:len(m.Loads)*9/10]
		default:
			return nil, errors.Errorf("report of %d bytes exceeds the limit, even without loads", len(b))
		}
	}
}

func decode(b []byte) (message, error) {
	m := message{}
	if err := cbor.Unmarshal(b, &m); err != nil {
		return m, errors.Wrap(err, "decode datagram")
	}
	if m.Format != format || m.VM == "" {
		return m, errors.Errorf("datagram of unknown format or without a VM: format %#x", m.Format)
	}
	return m, nil
}

// report returns the message as the placer takes it.
func (m message) report() placer.Report {
	r := placer.Report{
		VM: m.VM, Pending: m.Pending, Urgency: time.Duration(m.UrgencyMs) * time.Millisecond,
		Loads:  make(map[placer.Key]placer.Load, len(m.Loads)),
		Faults: make(map[placer.Key]float64, len(m.Faults)), Hidden: make(map[placer.Key]int, len(m.Hidden)),
	}
	for _, h := range m.Hidden {
		r.Hidden[placer.Key(h.Key)] = int(h.Requests)
	}
	for _, f := range m.Faults {
		r.Faults[placer.Key(f.Key)] = float64(f.Tenths) / tenthsPerFailure
	}
	for _, l := range m.Loads {
		r.Loads[placer.Key(l.Key)] = placer.Load{Online: int(l.Online), Batch: int(l.Batch)}
	}
	return r
}
