package surveyor

import "time"

// Input is Connected, Failed, Answered or Woken.
type Input interface{ isInput() }

// Connected says that a connection to the endpoint was established.
type Connected struct{ Endpoint string }

// Failed says that a connection to the endpoint could not be established, or that an open one was reset.
type Failed struct{ Endpoint string }

// Woken passes on what the carrier has counted. It comes at least every WakeInterval, and after each Failed.
type Woken struct {
	// HeardAt is when the last bytes from any endpoint arrived.
	HeardAt time.Time
	// InFlight is the number of requests that endpoints have not answered in full.
	InFlight int
	// Endpoints is the number of known endpoints.
	Endpoints int
}

// Answered says whether other VMs reach one of the endpoints of an Ask.
type Answered struct{ HasReached bool }

func (Answered) isInput()  {}
func (Connected) isInput() {}
func (Failed) isInput()    {}
func (Woken) isInput()     {}

// Output is Probe, Ask or Changed.
type Output interface{ isOutput() }

// Probe asks the carrier to open connections to Count endpoints at once, to others than those in Avoid as far as there are any.
// Each ends as a Connected or a Failed.
type Probe struct {
	Count int
	Avoid map[string]bool
}

// Ask asks the carrier to have other VMs open connections to the endpoints, which have failed here. It ends as an Answered,
// unless no other VM knows.
type Ask struct{ Endpoints []string }

// Changed says that the state has changed.
type Changed struct{ State State }

func (Ask) isOutput()     {}
func (Probe) isOutput()   {}
func (Changed) isOutput() {}

// State is what the surveyor knows of the links to the endpoints.
type State struct {
	Phase Phase
	// IsSilent says, of a partitioned VM, that open connections bring nothing either.
	IsSilent bool
}

// Phase is the phase of a partition.
type Phase int

// The phases: a VM that is Returning has reached endpoints again, and takes its load back in steps.
const (
	InTouch Phase = iota
	Partitioned
	Returning
)

// String returns the phase's name.
func (p Phase) String() string { return [...]string{"in touch", "partitioned", "returning"}[p] }
