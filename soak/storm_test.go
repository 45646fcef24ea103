package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

const (
	// Engines end for stormTime, some endGap to endGap+endGapSpan after the others; another one comes in the place of each after
	// downTime to downTime+downTimeSpan.
	stormTime    = 9 * time.Second
	leastShare   = 0.25
	endGap       = 200 * time.Millisecond
	endGapSpan   = 800 * time.Millisecond
	downTime     = 500 * time.Millisecond
	downTimeSpan = 1500 * time.Millisecond
	// Each run of a long item sends nothing for beforeLong, and then the rest of longEvents, longItemStep apart. Long items share a
	// part of their prompts; their jobs come longJobGap apart.
	longPrefix   = "long"
	longEvents   = 80
	beforeLong   = 300 * time.Millisecond
	longItemStep = 40 * time.Millisecond
	longJobs     = 4
	longJobGap   = 3 * time.Second
	sharedPart   = "5a7e0f"
	// failedTime is how long after an endpoint ended under it an item may lie, and lyingTime how long any other; a run that its
	// sender ends within shortRun counts as none.
	failedTime = 20 * time.Second
	lyingTime  = 5 * time.Second
	shortRun   = time.Second
)

// isLong reports whether an item is a long one, by its id.
func isLong(id string) bool { return strings.HasPrefix(id, longPrefix) }

// crashEnginesInSeries ends a share of the engines again and again beside long items, at times before these have made progress.
func (s *soak) crashEnginesInSeries(inj *injection) {
	inj.duration = stormTime
	random := rand.New(rand.NewPCG(uint64(inj.n), 8))
	wg := sync.WaitGroup{}
	wg.Go(func() { s.submitLong("a") })
	share := leastShare + (1-leastShare)*random.Float64()
	s.recordInjection(inj, fmt.Sprintf("%.2f of the engines end in series", share))
	for began := time.Now(); time.Since(began) < inj.duration; {
		for _, e := range s.fleet.runningEngines() {
			if after := downTime + time.Duration(random.Int64N(int64(downTimeSpan))); random.Float64() < share {
				wg.Go(func() { s.fleet.replace(e, after) })
			}
		}
		time.Sleep(endGap + time.Duration(random.Int64N(int64(endGapSpan))))
	}
	wg.Wait()
}

// repeatCrashingStream sends a stream that crashes engines again and again to random VMs, beside long items.
func (s *soak) repeatCrashingStream(inj *injection) {
	wg := sync.WaitGroup{}
	wg.Go(func() { s.submitLong("b") })
	s.repeatCrashing(inj, note)
	wg.Wait()
}

// submitLong submits jobs of long items. One that isn't accepted in time is submitted no more.
func (s *soak) submitLong(name string) {
	for n := range longJobs {
		j := s.callers.newJob(fmt.Sprintf("%s-%s%d-%d", longPrefix, name, s.seed, n), kind{})
		for i, began := n, time.Now(); time.Since(began) < longJobGap; i++ {
			if !j.isAccepted() {
				s.callers.submit(j, s.fleet.vms[i%len(s.fleet.vms)])
			}
			time.Sleep(retryPause)
		}
	}
}

func (c *callers) longJobs() []*job {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(c.jobs), func(j *job) bool { return !isLong(j.id) })
}

func (f *fleet) runningEngines() []*endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(f.endpoints), func(e *endpoint) bool {
		return e.Service != batchJobs.service || e.HasEnded()
	})
}

// checkLying returns how long an accepted item lay at most after the faults, and violations for those that lay too long.
func checkLying(jobs []*job, runs []standin.Run, from, until time.Time) (longest time.Duration, violations []string) {
	of := map[string][]standin.Run{}
	for _, r := range runs {
		of[r.ID] = append(of[r.ID], r)
	}
	for _, j := range jobs {
		j.mu.Lock()
		for _, item := range j.items {
			end := until
			if n := slices.IndexFunc(j.listed, func(r result) bool { return r.ID == item }); n >= 0 {
				end = j.listedAt[n]
			}
			if j.acceptedAt.IsZero() || j.isEnded || end.Before(from) {
				continue
			}
			lay := longestGap(of[item], from, end)
			longest = max(longest, lay)
			if bound := lyingTime + timeToReact; lay > bound {
				violations = append(violations, fmt.Sprintf("LOST: item %s lay for %s after the faults, bound %s", item, lay, bound))
			}
		}
		j.mu.Unlock()
	}
	return longest, violations
}

// longestGap returns the longest time in which no engine had an item, without failedTime after each engine that ended under it.
func longestGap(runs []standin.Run, from, until time.Time) time.Duration {
	longest, free := time.Duration(0), from
	slices.SortFunc(runs, func(a, b standin.Run) int { return a.At.Compare(b.At) })
	for _, r := range runs {
		if r.At.After(until) {
			break
		}
		end := r.Ended
		switch {
		case end.IsZero():
			end = until
		case r.WasBroken:
			end = end.Add(failedTime)
		case r.WasCancelled && end.Sub(r.At) < shortRun:
			continue
		}
		longest = max(longest, r.At.Sub(free))
		if end.After(free) {
			free = end
		}
	}
	return max(longest, until.Sub(free))
}

// TestCheckLyingCatches gives checkLying items that lay in the calm, and those that may.
func TestCheckLyingCatches(t *testing.T) {
	from := time.Now()
	at := func(seconds float64) time.Time { return from.Add(time.Duration(seconds * float64(time.Second))) }
	run := func(began, ended float64) standin.Run { return standin.Run{ID: "x", At: at(began), Ended: at(ended)} }
	broken, cancelled, running := run(-1, 0), run(5, 5.9), run(8, 0)
	broken.WasBroken, cancelled.WasCancelled, running.Ended = true, true, time.Time{}
	tests := []struct {
		name       string
		runs       []standin.Run
		until, lay float64
	}{
		{name: "never at an engine", until: 10, lay: 10},
		{name: "at engines again and again", runs: []standin.Run{run(8, 9), run(17.9, 18), run(-5, -4)}, until: 20, lay: 8.9},
		{name: "at an engine until the end", runs: []standin.Run{running}, until: 60, lay: 8},
		{name: "lies between two runs", runs: []standin.Run{run(1, 2), run(12, 13)}, until: 14, lay: 10},
		{name: "an engine ended under it", runs: []standin.Run{broken, run(28, 29)}, until: 29, lay: 8},
		{name: "lies long after an engine ended under it", runs: []standin.Run{broken}, until: 30, lay: 10},
		{name: "cancelled at once", runs: []standin.Run{cancelled}, until: 12, lay: 12},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			j := &job{id: "j", items: []string{"x"}, acceptedAt: at(-10)}
			check := func(want, until float64) {
				lay, violations := checkLying([]*job{j}, tt.runs, from, at(until))
				assert.Equal(t, at(want).Sub(from), lay)
				assert.Equal(t, lay > 9*time.Second, len(violations) == 1, "%v", violations)
			}
			check(tt.lay, tt.until)
			j.listed, j.listedAt = []result{{ID: "x"}}, []time.Time{at(tt.until)}
			check(tt.lay, 60)
			j.listedAt[0] = at(-1)
			check(0, 60)
		})
	}
}
