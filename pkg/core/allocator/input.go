package allocator

import "time"

// Input is an event that an allocator handles.
type Input interface {
	isInput()
}

// Policy holds the settings of the endpoint from the declarations and the active preset.
type Policy struct {
	Slots            int
	FirstTokenTarget time.Duration
	TokenGapTarget   time.Duration
	QueueLimit       int
	IsBatchPaused    bool
	// ReservedShare is the share of all slots that batch items leave free for the next online requests.
	ReservedShare float64
	// YieldFactor is the number of batch slots that each online slot displaces, once online requests hold more than the
	// share YieldFrom of all slots; a factor below 1 counts as 1.
	YieldFactor float64
	YieldFrom   float64
	// LatencyHeadroom is the share of a latency target above which the batch window shrinks.
	LatencyHeadroom float64
	// MayPressOnOnline lets urgent batch items keep the share PressShare of all slots while online requests wait.
	MayPressOnOnline bool
	PressShare       float64
	IsLeaving        bool
	AccountWeights   map[string]int
}

// Configured replaces the policy.
type Configured struct {
	Policy Policy
}

// SlotRequested requests a slot for an online request: Tokens is the estimated cost of the request, Deadline the latest time at
// which the slot is useful, and HoldUntil the latest time at which it is released.
type SlotRequested struct {
	ID        string
	VM        string
	Account   string
	Tokens    int
	Deadline  time.Time
	HoldUntil time.Time
}

// Withdrawn says that an online request no longer waits for a slot.
type Withdrawn struct {
	ID string
}

// Report holds the measurements of a finished attempt; a duration of zero was not measured.
type Report struct {
	FirstToken time.Duration
	TokenGap   time.Duration
	Tokens     int
	Took       time.Duration
	IsFailed   bool
}

// SlotReleased releases an online slot.
type SlotReleased struct {
	ID     string
	Report Report
}

// SlotDeclared informs a new allocator of a slot that a VM already holds.
type SlotDeclared struct {
	ID        string
	VM        string
	Account   string
	HoldUntil time.Time
}

// VMLost frees all slots that a VM holds.
type VMLost struct {
	VM string
}

// LoadReported is the engine's report of its running and waiting requests; it arrives with a delay.
type LoadReported struct {
	Running int
	Waiting int
}

// BatchOffered says that a batch item is ready to run; urgent items belong to jobs that are behind schedule.
type BatchOffered struct {
	ID       string
	Due      time.Time
	IsUrgent bool
}

// BatchEnded says that a batch item has ended, with or without success.
type BatchEnded struct {
	ID     string
	Report Report
}

// Woken says that the time returned by NextWake has been reached.
type Woken struct{}

func (Configured) isInput()    {}
func (SlotRequested) isInput() {}
func (Withdrawn) isInput()     {}
func (SlotReleased) isInput()  {}
func (SlotDeclared) isInput()  {}
func (VMLost) isInput()        {}
func (LoadReported) isInput()  {}
func (BatchOffered) isInput()  {}
func (BatchEnded) isInput()    {}
func (Woken) isInput()         {}
