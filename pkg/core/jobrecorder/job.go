package jobrecorder

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// ItemState is the final state of an item.
type ItemState string

// The final states of an item.
const (
	Succeeded ItemState = "succeeded"
	Abandoned ItemState = "abandoned"
)

// VMRef identifies one incarnation of a VM.
type VMRef struct {
	VM          string `json:"vm"`
	Incarnation int64  `json:"incarnation"`
}

// Job is the record of a batch job.
type Job struct {
	ID string `json:"id"`
	// Host and PathPrefix are those of the route that accepted the job.
	Host       string `json:"host"`
	PathPrefix string `json:"routePrefix"`
	// ConfigVersion is the version of the configuration that was active when the job was accepted.
	ConfigVersion int64 `json:"config"`
	// Account is the name of the account that submitted the job; empty if it has none. Earlier builds drop it when they write the
	// record, so it is also kept in a row of its own.
	Account string `json:"account,omitempty"`
	// Tokens holds the token count of each item.
	Tokens []int64 `json:"tokens"`
	// ItemRows is the number of rows that hold the items; 0 means that they are in an object.
	ItemRows int `json:"itemRows,omitempty"`
	// Submitted and Due are Unix milliseconds.
	Submitted int64 `json:"submitted"`
	Due       int64 `json:"due"`
	// Finished lists the items that have a result, by the position of the result.
	Finished []int `json:"order,omitempty"`
	// Failures holds the number of failed runs at all holders of each item that has some and no result.
	Failures map[int]int `json:"failures,omitempty"`
	// IsEnded reports that the caller ended the job and wants no further results.
	IsEnded bool `json:"isEnded,omitempty"`
	// Holder is the VM that runs the items. PreviousHolder is the holder before it, which handed the job over, since it stops or is
	// partitioned from the endpoints, and still runs the items in Kept.
	Holder         VMRef `json:"holder"`
	PreviousHolder VMRef `json:"leaver,omitzero"`
	Kept           []int `json:"kept,omitempty"`
	// Earlier lists the holders before PreviousHolder that handed the job over and still run items. The present holder can be one.
	Earlier []KeptItems `json:"earlier,omitempty"`
}

// KeptItems are the items that a former holder still runs.
type KeptItems struct {
	By    VMRef `json:"by"`
	Items []int `json:"items"`
}

// RecordError reports an inconsistent record: a field lists an item that does not exist, or lists it twice.
type RecordError struct {
	Field string
	Item  int
}

func (e *RecordError) Error() string {
	return fmt.Sprintf("inconsistent job record: %s lists item %d, which is out of range or a duplicate", e.Field, e.Item)
}

// Check returns a *RecordError unless Finished, Kept and each list of Earlier hold only items of the job, each at most once, and
// Failures holds only items of the job.
func (j Job) Check() error {
	if err := j.checkItems("order", j.Finished); err != nil {
		return err
	}
	if err := j.checkItems("failures", slices.Sorted(maps.Keys(j.Failures))); err != nil {
		return err
	}
	for _, k := range j.kept() {
		if err := j.checkItems("kept", k.Items); err != nil {
			return err
		}
	}
	return nil
}

func (j Job) checkItems(field string, items []int) error {
	seen := make([]bool, len(j.Tokens))
	for _, i := range items {
		if i < 0 || i >= len(seen) || seen[i] {
			return &RecordError{Field: field, Item: i}
		}
		seen[i] = true
	}
	return nil
}

// kept returns what each former holder still runs.
func (j Job) kept() []KeptItems {
	return append(slices.Clone(j.Earlier), KeptItems{By: j.PreviousHolder, Items: j.Kept})
}

// IsKeptBy reports whether the VM is a former holder that may still run items.
func (j Job) IsKeptBy(vm VMRef) bool {
	return slices.ContainsFunc(j.kept(), func(k KeptItems) bool { return k.By == vm })
}

// KeptBy returns the items without a result that the VM keeps as a former holder; none if it is the holder, whose items all are.
func (j Job) KeptBy(vm VMRef) []int {
	if j.Holder == vm || j.IsOver() || (len(j.Kept) == 0 && len(j.Earlier) == 0) {
		return nil
	}
	var items []int
	for _, k := range j.kept() {
		if k.By != vm {
			continue
		}
		for _, i := range k.Items {
			if !j.IsDone(i) && !slices.Contains(items, i) {
				items = append(items, i)
			}
		}
	}
	return items
}

// Release returns the job without these items among those that the VM keeps, so that they are the holder's to run, and whether
// there was one.
func (j Job) Release(by VMRef, items []int) (Job, bool) {
	isReleased := false
	without := func(kept []int) []int {
		left := slices.DeleteFunc(slices.Clone(kept), func(i int) bool { return slices.Contains(items, i) })
		isReleased = isReleased || len(left) < len(kept)
		return left
	}
	if j.PreviousHolder == by {
		j.Kept = without(j.Kept)
	}
	j.Earlier = slices.Clone(j.Earlier)
	for n, k := range j.Earlier {
		if k.By == by {
			j.Earlier[n].Items = without(k.Items)
		}
	}
	return j, isReleased
}

// Total returns the number of items.
func (j Job) Total() int { return len(j.Tokens) }

// IsComplete reports whether every item has a result.
func (j Job) IsComplete() bool { return len(j.Finished) == len(j.Tokens) }

// IsOver reports whether no item is left to run: the caller ended the job or every item has a result.
func (j Job) IsOver() bool { return j.IsEnded || j.IsComplete() }

// IsDone reports whether the item has a result.
func (j Job) IsDone(item int) bool { return slices.Contains(j.Finished, item) }

// AllTokens returns the sum of the tokens of all items.
func (j Job) AllTokens() int64 {
	sum := int64(0)
	for _, t := range j.Tokens {
		sum += t
	}
	return sum
}

// WaitingTokens returns the sum of the tokens of all items without a result; 0 if the caller ended the job.
func (j Job) WaitingTokens() int64 {
	if j.IsEnded {
		return 0
	}
	sum := j.AllTokens()
	for _, i := range j.Finished {
		sum -= j.Tokens[i]
	}
	return sum
}

// DueTime returns the time by which all results are due.
func (j Job) DueTime() time.Time { return time.UnixMilli(j.Due) }

// Append assigns the next positions to the items, and drops their failures. It skips unknown items and those that have a
// position, and returns the items that it added.
func (j Job) Append(items []int) (Job, []int) {
	order := slices.Clone(j.Finished)
	var added []int
	for _, i := range items {
		if i < 0 || i >= len(j.Tokens) || slices.Contains(order, i) {
			continue
		}
		order = append(order, i)
		added = append(added, i)
	}
	j.Finished = order
	if len(added) > 0 && len(j.Failures) > 0 {
		j.Failures = maps.Clone(j.Failures)
		maps.DeleteFunc(j.Failures, func(i, _ int) bool { return slices.Contains(added, i) })
	}
	return j, added
}

// RecordFailures returns the job with the larger of the known and the given number of failed runs of each item, and whether a
// number changed. It skips unknown items and those that have a result.
//
// The numbers are totals, so that one that is recorded twice counts once.
func (j Job) RecordFailures(totals map[int]int) (Job, bool) {
	var failures map[int]int
	for i, n := range totals {
		if i < 0 || i >= len(j.Tokens) || n <= j.Failures[i] || j.IsDone(i) {
			continue
		}
		if failures == nil {
			failures = map[int]int{}
			maps.Copy(failures, j.Failures)
		}
		failures[i] = n
	}
	if failures == nil {
		return j, false
	}
	j.Failures = failures
	return j, true
}

// End returns the job as ended by its caller.
func (j Job) End() Job {
	j.IsEnded = true
	return j
}

// Adopt returns the job with a new holder, which takes it over from a VM that is lost.
func (j Job) Adopt(by VMRef) Job {
	j.Holder = by
	return j
}

// HandOver returns the job with a new holder, while the previous holder still runs the items in kept, and the holders before it
// those that they kept.
func (j Job) HandOver(to VMRef, kept []int) Job {
	var earlier []KeptItems
	for _, k := range j.kept() {
		items := slices.DeleteFunc(slices.Clone(k.Items), func(i int) bool { return j.IsDone(i) || slices.Contains(kept, i) })
		if k.By != j.Holder && len(items) > 0 {
			earlier = append(earlier, KeptItems{By: k.By, Items: items})
		}
	}
	j.PreviousHolder, j.Kept, j.Holder, j.Earlier = j.Holder, slices.Clone(kept), to, earlier
	return j
}

// Runnable returns the items that the holder should run. isGone says that a former holder has stopped, so that the items that
// it kept are the holder's to run, too, as are those that the holder kept before it got the job back.
func (j Job) Runnable(isGone func(VMRef) bool) []int {
	if j.IsOver() {
		return nil
	}
	isTaken := make([]bool, len(j.Tokens))
	for _, i := range j.Finished {
		isTaken[i] = true
	}
	for _, k := range j.kept() {
		if len(k.Items) == 0 || k.By == j.Holder || isGone(k.By) {
			continue
		}
		for _, i := range k.Items {
			isTaken[i] = true
		}
	}
	var items []int
	for i := range j.Tokens {
		if !isTaken[i] {
			items = append(items, i)
		}
	}
	return items
}
