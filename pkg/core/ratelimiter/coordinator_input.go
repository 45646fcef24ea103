package ratelimiter

// CoordinatorInput is an event that a Coordinator handles.
type CoordinatorInput interface{ isCoordinatorInput() }

// Asked is a question of a VM.
type Asked struct {
	Question Question
	Peers    Peers
}

// Claimed says that the VM has become the coordinator of the account.
type Claimed struct {
	VM      string
	Account string
	// Number identifies the claim in the replies to it.
	Number uint64
	Peers  Peers
}

// Contested replies to a claim: the VM is the account's coordinator and is preferred to this one.
type Contested struct {
	VM      string
	Account string
}

// Yielded replies to a claim: the VM was the account's coordinator, and passes the level of its bucket on.
type Yielded struct {
	VM      string
	Account string
	Number  uint64
	Level   float64
}

func (Asked) isCoordinatorInput()     {}
func (Claimed) isCoordinatorInput()   {}
func (Contested) isCoordinatorInput() {}
func (Yielded) isCoordinatorInput()   {}

// CoordinatorOutput is a message to one VM, or to all of them, or a change to be logged.
type CoordinatorOutput interface{ isCoordinatorOutput() }

// Reply answers a question of the VM.
type Reply struct {
	To     string
	Answer Answer
}

// NotifyMetering tells all live VMs whether the account is metered.
type NotifyMetering struct {
	Account   string
	IsMetered bool
}

// Claim tells the VM that this one has become the coordinator of the account.
type Claim struct {
	To      string
	Account string
	Number  uint64
}

// Contest replies to a claim that this VM is the account's coordinator.
type Contest struct {
	To      string
	Account string
}

// Yield replies to a claim and passes the level of this VM's bucket on.
type Yield struct {
	To      string
	Account string
	Number  uint64
	Level   float64
}

// MeteringChanged says that the account has become metered or open.
type MeteringChanged struct {
	Account   Account
	IsMetered bool
	// Admitted is the number of requests admitted in the last window, as far as this coordinator knows.
	Admitted int
}

func (Reply) isCoordinatorOutput()           {}
func (NotifyMetering) isCoordinatorOutput()  {}
func (Claim) isCoordinatorOutput()           {}
func (Contest) isCoordinatorOutput()         {}
func (Yield) isCoordinatorOutput()           {}
func (MeteringChanged) isCoordinatorOutput() {}
