package jobber

import (
	"fmt"
	"slices"
	"time"
)

// State is how an item ended.
type State string

// The states of an item that is at its end.
const (
	Succeeded State = "succeeded"
	Abandoned State = "abandoned"
)

// VMRef is one incarnation of a VM.
type VMRef struct {
	VM          string `json:"vm"`
	Incarnation int64  `json:"incarnation"`
}

// Job is the record of a batch job.
type Job struct {
	ID string `json:"id"`
	// Host and PathPrefix are those of the route that took the job in.
	Host       string `json:"host"`
	PathPrefix string `json:"routePrefix"`
	// Config is the version of the configuration that allowed the job.
	Config int64 `json:"config"`
	// Tokens has one entry for each item.
	Tokens []int64 `json:"tokens"`
	// ItemRows is how many rows hold the items; 0 means that an object does.
	ItemRows int `json:"itemRows,omitempty"`
	// Submitted and Due are Unix milliseconds.
	Submitted int64 `json:"submitted"`
	Due       int64 `json:"due"`
	// Order lists the items at their end, by position of their result.
	Order []int `json:"order,omitempty"`
	// IsEnded says that the caller wants no further results.
	IsEnded bool `json:"isEnded,omitempty"`
	// Holder runs the items; Leaver, a VM that stops, still runs those in Kept.
	Holder VMRef `json:"holder"`
	Leaver VMRef `json:"leaver,omitzero"`
	Kept   []int `json:"kept,omitempty"`
}

// RecordError says that a job's record contradicts itself.
type RecordError struct {
	Field string
	Item  int
}

func (e *RecordError) Error() string {
	return fmt.Sprintf("%s names item %d, which the job doesn't have or names twice", e.Field, e.Item)
}

// Check returns a *RecordError unless the lists name each item of the job at most once.
func (j Job) Check() error {
	for field, list := range map[string][]int{"order": j.Order, "kept": j.Kept} {
		seen := make([]bool, len(j.Tokens))
		for _, i := range list {
			if i < 0 || i >= len(seen) || seen[i] {
				return &RecordError{Field: field, Item: i}
			}
			seen[i] = true
		}
	}
	return nil
}

// Total returns the number of items.
func (j Job) Total() int { return len(j.Tokens) }

// IsComplete says whether every item has its result.
func (j Job) IsComplete() bool { return len(j.Order) == len(j.Tokens) }

// IsOver says whether nothing of the job is left to run.
func (j Job) IsOver() bool { return j.IsEnded || j.IsComplete() }

// IsDone says whether the item has its result.
func (j Job) IsDone(item int) bool { return slices.Contains(j.Order, item) }

// AllTokens returns the tokens of all items.
func (j Job) AllTokens() int64 {
	sum := int64(0)
	for _, t := range j.Tokens {
		sum += t
	}
	return sum
}

// WaitingTokens returns the tokens of items that are not at their end; none of an ended job.
func (j Job) WaitingTokens() int64 {
	if j.IsEnded {
		return 0
	}
	sum := j.AllTokens()
	for _, i := range j.Order {
		sum -= j.Tokens[i]
	}
	return sum
}

// DueTime returns the time at which results are due.
func (j Job) DueTime() time.Time { return time.UnixMilli(j.Due) }

// Append gives the items the next positions; it leaves out those that have one, and returns the items it took.
func (j Job) Append(items []int) (Job, []int) {
	order := slices.Clone(j.Order)
	var taken []int
	for _, i := range items {
		if i < 0 || i >= len(j.Tokens) || slices.Contains(order, i) {
			continue
		}
		order = append(order, i)
		taken = append(taken, i)
	}
	j.Order = order
	return j, taken
}

// End returns the job ended by its caller.
func (j Job) End() Job {
	j.IsEnded = true
	return j
}

// Adopt returns the job with another holder.
func (j Job) Adopt(by VMRef) Job {
	j.Holder = by
	return j
}

// HandOver returns the job with another holder, while the one before still runs the items in kept.
func (j Job) HandOver(to VMRef, kept []int) Job {
	j.Leaver, j.Kept, j.Holder = j.Holder, slices.Clone(kept), to
	return j
}

// Runnable returns the items that the holder should run; isGone tells whether the leaver has ended.
func (j Job) Runnable(isGone bool) []int {
	if j.IsOver() {
		return nil
	}
	done := make([]bool, len(j.Tokens))
	for _, i := range j.Order {
		done[i] = true
	}
	var items []int
	for i := range j.Tokens {
		if done[i] || (!isGone && slices.Contains(j.Kept, i)) {
			continue
		}
		items = append(items, i)
	}
	return items
}
