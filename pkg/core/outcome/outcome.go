package outcome

import "time"

// Outcome is how an attempt ended: NotRun, Completed or Unknown.
type Outcome interface {
	isOutcome()
}

// NotRun says that the endpoint ran nothing of the attempt; RetryAfter is the time after which to retry.
type NotRun struct {
	Reason     string
	RetryAfter time.Duration
}

// Completed says that the endpoint's complete answer was received.
type Completed struct{}

// Unknown is an indeterminate outcome: the endpoint may have run the attempt, in part or in full.
type Unknown struct {
	Reason string
}

func (NotRun) isOutcome()    {}
func (Completed) isOutcome() {}
func (Unknown) isOutcome()   {}

// Tally combines the outcomes of all attempts of one request; its zero value holds no outcome.
type Tally struct {
	mayHaveRun  bool
	isCompleted bool
}

// Add records the outcome of one attempt.
func (t *Tally) Add(o Outcome) {
	switch o.(type) {
	case Completed:
		t.isCompleted = true
	case Unknown:
		t.mayHaveRun = true
	}
}

// Refuse returns the outcome of a request that is refused: NotRun if no attempt may have run, else Unknown.
func (t *Tally) Refuse(reason string, retryAfter time.Duration) Outcome {
	if t.mayHaveRun || t.isCompleted {
		return Unknown{Reason: reason}
	}
	return NotRun{Reason: reason, RetryAfter: retryAfter}
}

// Name returns the name of the outcome in answers to callers.
func Name(o Outcome) string {
	switch o.(type) {
	case NotRun:
		return "notRun"
	case Completed:
		return "completed"
	default:
		return "unknown"
	}
}
