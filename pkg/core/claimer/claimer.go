package claimer

import (
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/outcome"
	"github.com/dogwoodledge/dogwoodledge/pkg/option"
)

const (
	// pollInterval is how often the row of another attempt is read while its holder works on it.
	pollInterval = 100 * time.Millisecond
	// maxInserts is how many times one arrival may write its claim to a row that is absent or released.
	maxInserts         = 3
	retryAfterInFlight = 2 * time.Second
	retryAfterStore    = 5 * time.Second
)

type phase int

const (
	phaseNew phase = iota
	phaseClaiming
	// phaseReadingBack follows a claim whose write has an unknown outcome.
	phaseReadingBack
	phaseRunning
	phaseStoringAnswer
	// phaseAwaitingHolder polls the row of another attempt that is at work.
	phaseAwaitingHolder
	phaseAskingHolder
	// phaseMarkingUnknown records that the outcome of another attempt is unknown.
	phaseMarkingUnknown
	phaseEnded
)

// Claimer handles one arrival of a request; a repeat with the same idempotency key gets a claimer of its own.
type Claimer struct {
	own Claim
	// other is the claim of another attempt, as last read.
	other    Claim
	deadline time.Time
	phase    phase
	// version is the last known version of the row.
	version int64
	inserts int
	wake    option.Option[time.Time]
}

// New returns a claimer for an attempt on vm. It waits until deadline at most for the answer of another attempt.
func New(fingerprint, attempt, vm string, deadline time.Time) *Claimer {
	own := Claim{Fingerprint: fingerprint, Attempt: attempt, VM: vm, State: Running}
	return &Claimer{own: own, deadline: deadline}
}

// NextWake returns when the claimer needs a Woken input, if at all.
func (c *Claimer) NextWake() option.Option[time.Time] {
	return c.wake
}

// Handle processes one input and returns the actions to perform, in order.
func (c *Claimer) Handle(now time.Time, in Input) []Output {
	switch in := in.(type) {
	case Arrived:
		return c.insert(0)
	case Written:
		return c.written(in)
	case WriteUncertain:
		return c.writeUncertain()
	case WriteRefused:
		return c.writeRefused()
	case Found:
		return c.found(now, in)
	case ReadFailed:
		return c.readFailed()
	case HolderStatus:
		return c.holderStatus(now, in)
	case AttemptEnded:
		return c.attemptEnded(in)
	case Woken:
		c.wake = option.None[time.Time]()
		return []Output{ReadRow{}}
	}
	return nil
}

// insert writes the arrival's own claim: as a new row if version is 0, else over a released claim at that version.
func (c *Claimer) insert(version int64) []Output {
	c.phase = phaseClaiming
	c.inserts++
	return []Output{WriteRow{Claim: c.own, Version: version}}
}

func (c *Claimer) written(in Written) []Output {
	c.version = in.Version
	switch c.phase {
	case phaseClaiming:
		return c.dispatch(in.Version)
	case phaseStoringAnswer:
		return c.end(Replied{Answer: c.own.Answer})
	case phaseMarkingUnknown:
		return c.refuseUnknown()
	}
	return nil
}

func (c *Claimer) dispatch(version int64) []Output {
	c.phase, c.version = phaseRunning, version
	return []Output{Dispatch{}}
}

func (c *Claimer) writeUncertain() []Output {
	switch c.phase {
	case phaseClaiming:
		c.phase = phaseReadingBack
		return []Output{ReadRow{}}
	case phaseStoringAnswer:
		return c.end(Settle{Claim: c.own}, Replied{Answer: c.own.Answer})
	case phaseMarkingUnknown:
		return c.refuseUnknown()
	}
	return nil
}

// writeRefused ends the request if the refused write was its first, since no row of its own can exist then. Any later refusal
// is handled like a write with an unknown outcome: an earlier write may still take effect.
func (c *Claimer) writeRefused() []Output {
	if c.phase == phaseClaiming && c.inserts == 1 {
		return c.refuse(RefusedStore, retryAfterStore)
	}
	return c.writeUncertain()
}

// readFailed ends the request when the row can't be read. After an insert with an unknown outcome nothing was sent to the
// endpoint, so the request is refused as not run; the row that the insert may have written, or may still write, is
// settled as released.
func (c *Claimer) readFailed() []Output {
	if c.phase == phaseReadingBack {
		return c.release(RefusedStore, retryAfterStore)
	}
	return c.end(Refused{
		Refusal: RefusedStore, Outcome: outcome.Unknown{Reason: string(RefusedStore)}, RetryAfter: retryAfterStore,
	})
}

func (c *Claimer) found(now time.Time, in Found) []Output {
	isOwn := in.Version > 0 && in.Claim.Attempt == c.own.Attempt
	switch {
	case c.phase == phaseStoringAnswer:
		return c.foundWhileStoring(in, isOwn)
	case isOwn:
		return c.dispatch(in.Version)
	case in.Version == 0 && c.inserts < maxInserts:
		return c.insert(0)
	case in.Version == 0:
		return c.release(RefusedStore, retryAfterStore)
	default:
		return c.examine(now, in)
	}
}

// foundWhileStoring handles a failed version check while the answer is stored. If a VM that considered this one lost has
// marked the claim as unknown, the answer overwrites that: this VM knows the outcome.
func (c *Claimer) foundWhileStoring(in Found, isOwn bool) []Output {
	if isOwn && in.Claim.State == Unknown {
		return []Output{WriteRow{Claim: c.own, Version: in.Version}}
	}
	return c.end(Settle{Claim: c.own}, Replied{Answer: c.own.Answer})
}

// examine handles a row that belongs to another attempt.
func (c *Claimer) examine(now time.Time, in Found) []Output {
	if in.Claim.Fingerprint != c.own.Fingerprint {
		return c.refuse(RefusedKeyReused, 0)
	}
	switch in.Claim.State {
	case Done:
		return c.end(Replied{Answer: in.Claim.Answer})
	case Unknown:
		return c.refuseUnknown()
	case Released:
		return c.claimReleased(in.Version)
	default:
		return c.await(now, in)
	}
}

func (c *Claimer) claimReleased(version int64) []Output {
	if c.inserts >= maxInserts {
		return c.release(RefusedStore, retryAfterStore)
	}
	return c.insert(version)
}

func (c *Claimer) await(now time.Time, in Found) []Output {
	if !now.Before(c.deadline) {
		return c.end(Refused{
			Refusal:    RefusedInFlight,
			Outcome:    outcome.Unknown{Reason: string(RefusedInFlight)},
			RetryAfter: retryAfterInFlight,
		})
	}
	c.phase, c.version, c.other = phaseAskingHolder, in.Version, in.Claim
	return []Output{AskHolder{VM: in.Claim.VM, Attempt: in.Claim.Attempt}}
}

func (c *Claimer) holderStatus(now time.Time, in HolderStatus) []Output {
	if c.phase != phaseAskingHolder {
		return nil
	}
	if in.IsAtWork {
		c.phase = phaseAwaitingHolder
		c.wake = option.Some(now.Add(pollInterval))
		return nil
	}
	return c.mark()
}

// mark records that the outcome of the other attempt is unknown. If the holder stored the answer just before it stopped,
// the version check fails and the claimer receives the row with the answer.
func (c *Claimer) mark() []Output {
	c.phase = phaseMarkingUnknown
	c.other.State = Unknown
	return []Output{WriteRow{Claim: c.other, Version: c.version}}
}

func (c *Claimer) attemptEnded(in AttemptEnded) []Output {
	if c.phase != phaseRunning {
		return nil
	}
	switch o := in.Outcome.(type) {
	case outcome.Completed:
		c.phase = phaseStoringAnswer
		c.own.State, c.own.Answer = Done, in.Answer
		return []Output{WriteRow{Claim: c.own, Version: c.version}}
	case outcome.NotRun:
		return c.release(RefusedEndpoint, o.RetryAfter)
	default:
		c.own.State = Unknown
		return append([]Output{Settle{Claim: c.own}}, c.refuseUnknown()...)
	}
}

func (c *Claimer) release(why Refusal, retryAfter time.Duration) []Output {
	c.own.State = Released
	return append([]Output{Settle{Claim: c.own}}, c.refuse(why, retryAfter)...)
}

func (c *Claimer) refuse(why Refusal, retryAfter time.Duration) []Output {
	return c.end(Refused{
		Refusal: why, Outcome: outcome.NotRun{Reason: string(why), RetryAfter: retryAfter}, RetryAfter: retryAfter,
	})
}

func (c *Claimer) refuseUnknown() []Output {
	return c.end(Refused{Refusal: RefusedUnknown, Outcome: outcome.Unknown{Reason: string(RefusedUnknown)}})
}

func (c *Claimer) end(out ...Output) []Output {
	c.phase = phaseEnded
	c.wake = option.None[time.Time]()
	return out
}
