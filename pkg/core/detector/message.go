package detector

import (
	"net/netip"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/configurator"
)

// State is the state of a member in one VM's view.
type State int

// The states; at the same incarnation each one overrides those before it.
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

// Member is the state of a VM in another VM's view.
type Member struct {
	VM               string
	Address          netip.AddrPort
	Region           string
	AvailabilityZone string
	State            State
	Incarnation      uint64
	// IsPartitioned says that the VM said, at this incarnation, that it reaches no endpoint. It doesn't count for a lost VM.
	IsPartitioned bool
}

// CountsAsPartitioned reports whether the VM is one that runs and said that it reaches no endpoint.
func (m Member) CountsAsPartitioned() bool { return m.IsPartitioned && m.State != Lost }

// EndpointUpdate says whether an endpoint is leaving; an update with a higher Number replaces one with a lower.
type EndpointUpdate struct {
	Endpoint  string
	IsLeaving bool
	Number    uint64
}

// Message is Probe, Ack or ProbeRequest.
type Message interface {
	isMessage()
}

// Gossip holds the updates that are piggybacked on every message.
type Gossip struct {
	From      Member
	Head      configurator.Head
	Members   []Member
	Endpoints []EndpointUpdate
}

// Probe asks for an Ack with the same number. OnBehalfOf is the sender of the ProbeRequest, if one caused the probe.
type Probe struct {
	Number     uint64
	OnBehalfOf netip.AddrPort
	Gossip     Gossip
}

// Ack answers a Probe.
type Ack struct {
	Number     uint64
	OnBehalfOf netip.AddrPort
	Gossip     Gossip
}

// ProbeRequest asks the receiver to probe Target and to forward its Ack.
type ProbeRequest struct {
	Number uint64
	Target netip.AddrPort
	Gossip Gossip
}

func (Probe) isMessage()        {}
func (Ack) isMessage()          {}
func (ProbeRequest) isMessage() {}
