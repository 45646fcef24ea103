package detector

import (
	"net/netip"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/configurator"
)

// State is how a member is seen.
type State int

// The states, each stronger than the ones before at the same incarnation.
const (
	Alive State = iota
	Leaving
	Suspect
	Lost
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"alive", "leaving", "suspect", "lost"}[s]
}

// Member is one VM as it is seen.
type Member struct {
	VM               string
	Address          netip.AddrPort
	Region           string
	AvailabilityZone string
	State            State
	Incarnation      uint64
}

// EndpointNews says whether an endpoint is leaving; the higher Number is the later word.
type EndpointNews struct {
	Endpoint  string
	IsLeaving bool
	Number    uint64
}

// Message is Probe, Ack or ProbeRequest.
type Message interface {
	isMessage()
}

// News is what every message carries besides its purpose.
type News struct {
	From      Member
	Head      configurator.Head
	Members   []Member
	Endpoints []EndpointNews
}

// Probe asks for an Ack with the same number; OnBehalfOf is set when it was asked for by a ProbeRequest.
type Probe struct {
	Number     uint64
	OnBehalfOf netip.AddrPort
	News       News
}

// Ack answers a Probe.
type Ack struct {
	Number     uint64
	OnBehalfOf netip.AddrPort
	News       News
}

// ProbeRequest asks the receiver to probe Target and pass its Ack on.
type ProbeRequest struct {
	Number uint64
	Target netip.AddrPort
	News   News
}

func (Probe) isMessage()        {}
func (Ack) isMessage()          {}
func (ProbeRequest) isMessage() {}
