package claimer

import (
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/outcome"
	"github.com/dogwoodledge/dogwoodledge/pkg/option"
)

const (
	pollEvery     = 100 * time.Millisecond
	maxInserts    = 3
	retryInFlight = 2 * time.Second
	retryStore    = 5 * time.Second
)

type phase int

const (
	phaseNew phase = iota
	phaseClaiming
	phaseResolving
	phaseRunning
	phaseStoring
	phaseWaiting
	phaseAsking
	phaseMarking
	phaseEnded
)

// Claimer is the state of one arrival of a request.
type Claimer struct {
	own      Claim
	other    Claim
	deadline time.Time
	phase    phase
	version  int64
	inserts  int
	wake     option.Option[time.Time]
}

// New returns a claimer for the attempt of vm, which may wait for another's answer until deadline.
func New(fingerprint, attempt, vm string, deadline time.Time) *Claimer {
	own := Claim{Fingerprint: fingerprint, Attempt: attempt, VM: vm, State: Running}
	return &Claimer{own: own, deadline: deadline}
}

// NextWake returns when the claimer wants to be woken.
func (c *Claimer) NextWake() option.Option[time.Time] {
	return c.wake
}

// Handle takes one input and returns what is to be done, in order.
func (c *Claimer) Handle(now time.Time, in Input) []Output {
	switch in := in.(type) {
	case Arrived:
		return c.insert(0)
	case Written:
		return c.written(in)
	case WriteLost:
		return c.writeLost()
	case WriteRefused:
		return c.writeRefused()
	case Found:
		return c.found(now, in)
	case ReadFailed:
		return c.readFailed()
	case HolderSeen:
		return c.holderSeen(now, in)
	case AttemptEnded:
		return c.attemptEnded(in)
	case Woken:
		c.wake = option.None[time.Time]()
		return []Output{ReadRow{}}
	}
	return nil
}

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
	case phaseStoring:
		return c.end(Replied{Answer: c.own.Answer})
	case phaseMarking:
		return c.refuseUnknown()
	}
	return nil
}

func (c *Claimer) dispatch(version int64) []Output {
	c.phase, c.version = phaseRunning, version
	return []Output{Dispatch{}}
}

func (c *Claimer) writeLost() []Output {
	switch c.phase {
	case phaseClaiming:
		c.phase = phaseResolving
		return []Output{ReadRow{}}
	case phaseStoring:
		return c.end(Settle{Claim: c.own}, Replied{Answer: c.own.Answer})
	case phaseMarking:
		return c.refuseUnknown()
	}
	return nil
}

func (c *Claimer) writeRefused() []Output {
	if c.phase == phaseClaiming && c.inserts == 1 {
		return c.refuse(RefusedStore, retryStore)
	}
	return c.writeLost()
}

// readFailed ends a claim whose row can't be read: nothing was sent, so the refusal is true, and the row that the
// lost insert may have left, or may still leave, is settled as released.
func (c *Claimer) readFailed() []Output {
	if c.phase == phaseResolving {
		return c.release(RefusedStore, retryStore)
	}
	return c.end(Refused{
		Refusal: RefusedStore, Outcome: outcome.Unknown{Reason: string(RefusedStore)}, RetryAfter: retryStore,
	})
}

func (c *Claimer) found(now time.Time, in Found) []Output {
	isOwn := in.Version > 0 && in.Claim.Attempt == c.own.Attempt
	switch {
	case c.phase == phaseStoring:
		return c.foundWhileStoring(in, isOwn)
	case isOwn:
		return c.dispatch(in.Version)
	case in.Version == 0 && c.inserts < maxInserts:
		return c.insert(0)
	case in.Version == 0:
		return c.release(RefusedStore, retryStore)
	default:
		return c.examine(now, in)
	}
}

// foundWhileStoring meets a row that was marked unknown by a VM that took this one for lost; the holder knows better.
func (c *Claimer) foundWhileStoring(in Found, isOwn bool) []Output {
	if isOwn && in.Claim.State == Lost {
		return []Output{WriteRow{Claim: c.own, Version: in.Version}}
	}
	return c.end(Settle{Claim: c.own}, Replied{Answer: c.own.Answer})
}

// examine reads a row that belongs to another attempt.
func (c *Claimer) examine(now time.Time, in Found) []Output {
	if in.Claim.Fingerprint != c.own.Fingerprint {
		return c.refuse(RefusedOther, 0)
	}
	switch in.Claim.State {
	case Done:
		return c.end(Replied{Answer: in.Claim.Answer})
	case Lost:
		return c.refuseUnknown()
	case Released:
		return c.claimReleased(in.Version)
	default:
		return c.await(now, in)
	}
}

func (c *Claimer) claimReleased(version int64) []Output {
	if c.inserts >= maxInserts {
		return c.release(RefusedStore, retryStore)
	}
	return c.insert(version)
}

func (c *Claimer) await(now time.Time, in Found) []Output {
	if !now.Before(c.deadline) {
		return c.end(Refused{
			Refusal:    RefusedInFlight,
			Outcome:    outcome.Unknown{Reason: string(RefusedInFlight)},
			RetryAfter: retryInFlight,
		})
	}
	c.phase, c.version, c.other = phaseAsking, in.Version, in.Claim
	return []Output{AskHolder{VM: in.Claim.VM, Attempt: in.Claim.Attempt}}
}

func (c *Claimer) holderSeen(now time.Time, in HolderSeen) []Output {
	if c.phase != phaseAsking {
		return nil
	}
	if in.IsAtWork {
		c.phase = phaseWaiting
		c.wake = option.Some(now.Add(pollEvery))
		return nil
	}
	return c.mark()
}

// mark writes that the other attempt's end is unknown; if its holder stored the answer just before it went, the
// check on the row's version fails and the answer is found.
func (c *Claimer) mark() []Output {
	c.phase = phaseMarking
	c.other.State = Lost
	return []Output{WriteRow{Claim: c.other, Version: c.version}}
}

func (c *Claimer) attemptEnded(in AttemptEnded) []Output {
	if c.phase != phaseRunning {
		return nil
	}
	switch o := in.Outcome.(type) {
	case outcome.Completed:
		c.phase = phaseStoring
		c.own.State, c.own.Answer = Done, in.Answer
		return []Output{WriteRow{Claim: c.own, Version: c.version}}
	case outcome.NotRun:
		return c.release(RefusedEndpoint, o.RetryAfter)
	default:
		c.own.State = Lost
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
