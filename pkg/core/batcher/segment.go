package batcher

import "slices"

// SegmentState is the state of a segment's row.
type SegmentState string

// The states of a segment's row.
const (
	SegmentRunning SegmentState = "running"
	SegmentDone    SegmentState = "done"
)

// SegmentRow is the row of one segment; Fence grows with each holder.
type SegmentRow struct {
	Holder     string       `json:"holder"`
	Fence      int64        `json:"fence"`
	State      SegmentState `json:"state"`
	Checkpoint string       `json:"checkpoint,omitempty"`
	Result     string       `json:"result,omitempty"`
	Completed  int          `json:"completed"`
	Failed     int          `json:"failed"`
	Beat       int64        `json:"beat"`
}

// ItemResult is how one item ended: Body holds the answer, or Error what is wrong with it.
type ItemResult struct {
	Index  int    `json:"index"`
	ID     string `json:"id"`
	Status int    `json:"status"`
	Body   []byte `json:"body,omitempty"`
	Error  string `json:"error,omitempty"`
}

// Segment follows the items of one segment that this VM holds.
type Segment struct {
	size        int
	maxAttempts int
	attempts    map[int]int
	results     map[int]ItemResult
	pending     []int
	alone       []int
	running     map[int]bool
	isDirty     bool
}

// NewSegment returns a segment of size items with the results of an earlier holder's checkpoint.
func NewSegment(size, maxAttempts int, done []ItemResult) *Segment {
	s := &Segment{
		size: size, maxAttempts: maxAttempts,
		attempts: map[int]int{}, results: map[int]ItemResult{}, running: map[int]bool{},
	}
	for _, r := range done {
		s.results[r.Index] = r
	}
	for i := range size {
		if _, ok := s.results[i]; !ok {
			s.pending = append(s.pending, i)
		}
	}
	return s
}

// Next takes the next item to run.
//
// Items that were in flight when an endpoint crashed run again one at a time, so that only an item that takes an
// endpoint down alone is blamed for it.
func (s *Segment) Next() (int, bool) {
	if len(s.pending) > 0 {
		i := s.pending[0]
		s.pending = s.pending[1:]
		s.running[i] = true
		return i, true
	}
	if len(s.alone) > 0 && len(s.running) == 0 {
		i := s.alone[0]
		s.alone = s.alone[1:]
		s.running[i] = true
		return i, true
	}
	return 0, false
}

// Finish records the item's result; a second result of the same item is dropped.
func (s *Segment) Finish(r ItemResult) {
	delete(s.running, r.Index)
	if _, ok := s.results[r.Index]; ok {
		return
	}
	s.results[r.Index] = r
	s.isDirty = true
}

// Fail takes in that the item's attempt failed; after the last attempt the error becomes its result.
//
// A blameless failure, such as an endpoint that is leaving, costs the item no attempt. A crash that took other
// items with it is blameless until the item was alone.
func (s *Segment) Fail(r ItemResult, isBlameless bool) {
	wasAlone := len(s.running) == 1
	delete(s.running, r.Index)
	if isBlameless {
		s.pending = append(s.pending, r.Index)
		return
	}
	s.attempts[r.Index]++
	if s.attempts[r.Index] >= s.maxAttempts && wasAlone {
		s.Finish(r)
		return
	}
	s.alone = append(s.alone, r.Index)
}

// Release puts a running item back without an attempt counted.
func (s *Segment) Release(i int) {
	if s.running[i] {
		delete(s.running, i)
		s.pending = append(s.pending, i)
	}
}

// IsDone reports whether every item has a result.
func (s *Segment) IsDone() bool {
	return len(s.results) == s.size
}

// Results returns the results so far in the order of the items, and marks them as saved.
func (s *Segment) Results() []ItemResult {
	list := make([]ItemResult, 0, len(s.results))
	for _, r := range s.results {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b ItemResult) int { return a.Index - b.Index })
	s.isDirty = false
	return list
}

// IsDirty reports whether there are results that no checkpoint holds yet.
func (s *Segment) IsDirty() bool {
	return s.isDirty
}

// Running returns how many items run.
func (s *Segment) Running() int {
	return len(s.running)
}

// Pending returns how many items wait to run.
func (s *Segment) Pending() int {
	return len(s.pending) + len(s.alone)
}
