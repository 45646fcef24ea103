package batcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC)

// TestSegmentEndsWithEachItemOnce applies random completions, failures and releases to the items of a segment: each item
// must end with one result, an error only for the items that always fail.
func TestSegmentEndsWithEachItemOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 20).Draw(t, "size")
		poison := rapid.SliceOfDistinct(rapid.IntRange(0, size-1), rapid.ID[int]).Draw(t, "poison")
		isPoison := map[int]bool{}
		for _, i := range poison {
			isPoison[i] = true
		}
		s := NewSegment(size, 3, nil)
		running := []int{}
		for step := 0; !s.IsDone(); step++ {
			require.Less(t, step, 2000, "segment has items without a result after 2000 steps")
			if i, ok := s.Next(); ok && rapid.Bool().Draw(t, "start") {
				running = append(running, i)
			} else if ok {
				s.Release(i)
			}
			if len(running) == 0 {
				continue
			}
			at := rapid.IntRange(0, len(running)-1).Draw(t, "which")
			i := running[at]
			running = append(running[:at], running[at+1:]...)
			switch {
			case isPoison[i]:
				s.Fail(ItemResult{Index: i, Error: "item always fails"}, false)
			case rapid.IntRange(0, 5).Draw(t, "end") == 0:
				s.Fail(ItemResult{Index: i, Error: "endpoint left"}, true)
			default:
				s.Finish(ItemResult{Index: i})
				s.Finish(ItemResult{Index: i, Error: "second result of the item"})
			}
		}
		results := s.Results()
		require.Len(t, results, size)
		for n, r := range results {
			require.Equal(t, n, r.Index)
			require.Equal(t, isPoison[n], r.Error != "", "item %d: only items that always fail may end with an error", n)
		}
	})
}

// TestItemsBesideAFailingItemSucceed crashes the endpoint whenever the poisoned item is in flight: the items that were in
// flight with it must still succeed.
func TestItemsBesideAFailingItemSucceed(t *testing.T) {
	const size, poisoned = 10, 4
	s := NewSegment(size, 3, nil)
	for !s.IsDone() {
		batch := []int{}
		for len(batch) < 4 {
			i, ok := s.Next()
			if !ok {
				break
			}
			batch = append(batch, i)
		}
		isCrash := false
		for _, i := range batch {
			isCrash = isCrash || i == poisoned
		}
		for _, i := range batch {
			if isCrash {
				s.Fail(ItemResult{Index: i, Error: "endpoint crashed"}, false)
			} else {
				s.Finish(ItemResult{Index: i})
			}
		}
	}
	for _, r := range s.Results() {
		assert.Equal(t, r.Index == poisoned, r.Error != "", "item %d: only the poisoned item may fail", r.Index)
	}
}

// TestItemThatFailedUnderEarlierHoldersRunsAlone takes a segment over whose item 1 has one attempt left.
func TestItemThatFailedUnderEarlierHoldersRunsAlone(t *testing.T) {
	first := NewSegment(3, 3, nil)
	for range 3 {
		i, _ := first.Next()
		if i == 1 {
			first.Fail(ItemResult{Index: i, Error: "endpoint crashed"}, false)
		} else {
			first.Finish(ItemResult{Index: i})
		}
	}
	assert.Equal(t, map[int]int{1: 1}, first.Attempts())
	s := NewSegment(3, 3, first.Results()[:1])
	s.RestoreAttempts(map[int]int{1: 2})
	i, ok := s.Next()
	require.True(t, ok)
	require.Equal(t, 2, i, "the item without a failed attempt comes first")
	_, ok = s.Next()
	require.False(t, ok, "an item that has failed started beside another one")
	s.Finish(ItemResult{Index: 2})
	i, ok = s.Next()
	require.True(t, ok)
	require.Equal(t, 1, i)
	s.Fail(ItemResult{Index: 1, Error: "endpoint crashed"}, false)
	assert.True(t, s.IsDone())
	assert.Empty(t, s.Attempts())
	assert.Equal(t, "endpoint crashed", s.Results()[1].Error)
}

// TestLeaseExpiresOnOwnClock checks that a lease never expires earlier than its length after the last renewal.
func TestLeaseExpiresOnOwnClock(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := NewLeaseWatch(time.Minute)
		now, changedAt, version := epoch, epoch, int64(1)
		w.IsExpired(now, "k", version)
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "wait")) * time.Second)
			if rapid.IntRange(0, 2).Draw(t, "renew") == 0 {
				version++
				changedAt = now
			}
			isExpired := w.IsExpired(now, "k", version)
			require.False(t, isExpired && now.Sub(changedAt) < time.Minute, "lease expired %s after its renewal", now.Sub(changedAt))
		}
	})
}

func TestRankPutsLeastSlackFirst(t *testing.T) {
	rates := NewRateEstimator()
	for i := range 3 {
		rates.Observe(epoch.Add(time.Duration(i)*time.Second), "long", 10*i)
		rates.Observe(epoch.Add(time.Duration(i)*time.Second), "short", 10*i)
	}
	now := epoch.Add(2 * time.Second)
	ranked := Rank(now, []Job{
		{ID: "short", Due: now.Add(time.Minute), Remaining: 100},
		{ID: "long", Due: now.Add(2 * time.Minute), Remaining: 1150},
		{ID: "new", Due: now.Add(time.Hour), Remaining: 10},
	}, rates)
	ids := []string{}
	for _, r := range ranked {
		ids = append(ids, fmt.Sprintf("%s urgent=%t", r.ID, r.IsUrgent))
	}
	assert.Equal(t, []string{"long urgent=true", "short urgent=false", "new urgent=false"}, ids)
}
