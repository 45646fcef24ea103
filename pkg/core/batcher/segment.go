package batcher

import "slices"

// SegmentState is the state of a segment's row.
type SegmentState string

// The states of a segment's row.
const (
	SegmentRunning SegmentState = "running"
	SegmentDone    SegmentState = "done"
)

// SegmentRow is the row of one segment. Fence is its fencing token, which grows with each holder; Beat grows with each heartbeat
// and each release by the holder. Attempts holds the failed attempts of the unfinished items by index.
type SegmentRow struct {
	Holder     string       `json:"holder"`
	Fence      int64        `json:"fence"`
	State      SegmentState `json:"state"`
	Checkpoint string       `json:"checkpoint,omitempty"`
	Attempts   map[int]int  `json:"attempts,omitempty"`
	Result     string       `json:"result,omitempty"`
	Completed  int          `json:"completed"`
	Failed     int          `json:"failed"`
	Beat       int64        `json:"beat"`
}

// ItemResult is the outcome of one item: Body holds the answer, or Error the reason of the failure.
type ItemResult struct {
	Index  int    `json:"index"`
	ID     string `json:"id"`
	Status int    `json:"status"`
	Body   []byte `json:"body,omitempty"`
	Error  string `json:"error,omitempty"`
}

// Segment tracks the items of one segment that this VM holds; items are named by their index.
type Segment struct {
	size        int
	maxAttempts int
	// attempts counts the failed attempts of each item.
	attempts map[int]int
	results  map[int]ItemResult
	pending  []int
	// retryAlone lists failed items, each to be retried while no other item of the segment runs.
	retryAlone []int
	running    map[int]bool
	isDirty    bool
}

// NewSegment returns a segment of size items; done holds the results in the checkpoint of an earlier holder.
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

// RestoreAttempts records the attempts that failed under earlier holders, before any item has started.
func (s *Segment) RestoreAttempts(attempts map[int]int) {
	waiting := s.pending
	s.pending = nil
	for _, i := range waiting {
		if n := attempts[i]; n > 0 {
			s.attempts[i] = n
			s.retryAlone = append(s.retryAlone, i)
		} else {
			s.pending = append(s.pending, i)
		}
	}
}

// Attempts returns how many attempts of each item without a result have failed, under this and earlier holders; items without a
// failed attempt are absent.
func (s *Segment) Attempts() map[int]int {
	left := map[int]int{}
	for i, n := range s.attempts {
		if _, isDone := s.results[i]; !isDone {
			left[i] = n
		}
	}
	return left
}

// Next marks the next item as running and returns it; false if no item may start now.
//
// Items whose attempt failed, as when an endpoint crashed, are retried one at a time. Only an item that fails again while
// it runs alone can end with an error, so that an item that crashes endpoints does not make others fail.
func (s *Segment) Next() (int, bool) {
	if len(s.pending) > 0 {
		i := s.pending[0]
		s.pending = s.pending[1:]
		s.running[i] = true
		return i, true
	}
	if len(s.retryAlone) > 0 && len(s.running) == 0 {
		i := s.retryAlone[0]
		s.retryAlone = s.retryAlone[1:]
		s.running[i] = true
		return i, true
	}
	return 0, false
}

// Finish records the item's result; a second result of the same item is ignored.
func (s *Segment) Finish(r ItemResult) {
	delete(s.running, r.Index)
	if _, ok := s.results[r.Index]; ok {
		return
	}
	s.results[r.Index] = r
	s.isDirty = true
}

// Fail records a failed attempt of the item. The error becomes the item's result once maxAttempts attempts have failed
// and no other item of the segment ran during the last one; else the item is retried alone.
//
// A failure that the item did not cause (isUnrelated), such as an endpoint that is leaving, is not counted as an attempt.
func (s *Segment) Fail(r ItemResult, isUnrelated bool) {
	wasAlone := len(s.running) == 1
	delete(s.running, r.Index)
	if isUnrelated {
		s.pending = append(s.pending, r.Index)
		return
	}
	s.attempts[r.Index]++
	if s.attempts[r.Index] >= s.maxAttempts && wasAlone {
		s.Finish(r)
		return
	}
	s.retryAlone = append(s.retryAlone, r.Index)
}

// Release makes a running item pending again without counting an attempt.
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

// Results returns the results so far in the order of the items, and clears IsDirty: the caller saves them.
func (s *Segment) Results() []ItemResult {
	list := make([]ItemResult, 0, len(s.results))
	for _, r := range s.results {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b ItemResult) int { return a.Index - b.Index })
	s.isDirty = false
	return list
}

// IsDirty reports whether results were recorded since the last call of Results.
func (s *Segment) IsDirty() bool {
	return s.isDirty
}

// Running returns the number of running items.
func (s *Segment) Running() int {
	return len(s.running)
}

// Pending returns the number of items that wait to run.
func (s *Segment) Pending() int {
	return len(s.pending) + len(s.retryAlone)
}
