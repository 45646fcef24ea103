package detector

import (
	"net/netip"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/configurator"
)

// Input is an event that a detector handles.
type Input interface {
	isInput()
}

// Received is a message that arrived from another VM.
type Received struct {
	From    netip.AddrPort
	Message Message
}

// Listed is the platform's list of VMs, which may be out of date; the incarnations are zero if it does not hold them.
type Listed struct {
	Members []Member
}

// LeaveOrdered says that this VM is leaving.
type LeaveOrdered struct{}

// PartitionChanged says whether this VM reaches no endpoint.
type PartitionChanged struct {
	IsPartitioned bool
}

// HeadActivated says that a newer configuration head is active on this VM.
type HeadActivated struct {
	Head configurator.Head
}

// EndpointChanged is an update about an endpoint, made by this VM.
type EndpointChanged struct {
	Update EndpointUpdate
}

// Woken says that the time of NextWake has come.
type Woken struct{}

func (Received) isInput()         {}
func (Listed) isInput()           {}
func (LeaveOrdered) isInput()     {}
func (PartitionChanged) isInput() {}
func (HeadActivated) isInput()    {}
func (EndpointChanged) isInput()  {}
func (Woken) isInput()            {}

// Output is an action that a detector requests.
type Output interface {
	isOutput()
}

// Send sends a message once; a lost message is not retransmitted.
type Send struct {
	To      netip.AddrPort
	Message Message
}

// Changed says that a member is new, or that its state, address or incarnation changed, or whether it is partitioned.
type Changed struct {
	Member Member
}

// HeadLearned says that a configuration head newer than this VM's is active on the peer VM.
type HeadLearned struct {
	Head configurator.Head
	VM   string
}

// EndpointLearned is a new update about an endpoint, received from a peer.
type EndpointLearned struct {
	Update EndpointUpdate
}

func (Send) isOutput()            {}
func (Changed) isOutput()         {}
func (HeadLearned) isOutput()     {}
func (EndpointLearned) isOutput() {}
