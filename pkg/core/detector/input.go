package detector

import (
	"net/netip"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/configurator"
)

// Input is what a detector is told.
type Input interface {
	isInput()
}

// Received is a message from another VM.
type Received struct {
	From    netip.AddrPort
	Message Message
}

// Listed is the platform's list of VMs, late as it may be.
type Listed struct {
	Members []Member
}

// LeaveOrdered says that this VM is leaving.
type LeaveOrdered struct{}

// HeadRaised says that this VM has a newer head in force.
type HeadRaised struct {
	Head configurator.Head
}

// EndpointSeen is this VM's own news of an endpoint.
type EndpointSeen struct {
	News EndpointNews
}

// Woken says that the time of NextWake has come.
type Woken struct{}

func (Received) isInput()     {}
func (Listed) isInput()       {}
func (LeaveOrdered) isInput() {}
func (HeadRaised) isInput()   {}
func (EndpointSeen) isInput() {}
func (Woken) isInput()        {}

// Output is what a detector wants done.
type Output interface {
	isOutput()
}

// Send sends a message; a lost one is not sent again.
type Send struct {
	To      netip.AddrPort
	Message Message
}

// Changed says that a member's state changed.
type Changed struct {
	Member Member
}

// HeadHeard says that a peer has a newer head.
type HeadHeard struct {
	Head configurator.Head
	VM   string
}

// EndpointHeard is news of an endpoint.
type EndpointHeard struct {
	News EndpointNews
}

func (Send) isOutput()          {}
func (Changed) isOutput()       {}
func (HeadHeard) isOutput()     {}
func (EndpointHeard) isOutput() {}
