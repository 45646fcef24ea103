package isolator

import (
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

// newHolder returns an isolator that isn't started, of a VM that has its place by rank. It knows five strikes against the part:
// three of 8 s ago, and two of trials since.
func newHolder(part string, rank Rank) *Isolator {
	log := logrus.New()
	log.SetOutput(io.Discard)
	i := New(nil, nil, nil, rank, log)
	var rows []storer.Entry
	for n, d := range []time.Duration{0, 0, 0, 4 * time.Second, 8 * time.Second} {
		at := time.Now().Add(d - 8*time.Second)
		rows = append(rows, storer.Entry{Table: Table, Key: fmt.Sprintf("%s/e%d@1", part, n), Value: valueOf(1, at)})
	}
	i.ApplyPeerRows(rows)
	return i
}

// TestTrialThatSaidNothingPutsOffNoTrialForLong aborts a trial after two failed: the next one is due 250 ms after that, also once
// its row has come back. Another VM's trial that began meanwhile is not aborted with it.
func TestTrialThatSaidNothingPutsOffNoTrialForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pause = 18 * time.Second
		parts := []string{"ca"}
		first := func(string) (int, int) { return 0, 4 }
		a, b := newHolder("ca", first), newHolder("ca", first)
		due := func() time.Duration { return time.Until(a.HoldOf(parts).Due) }
		require.Equal(t, pause, due())
		time.Sleep(pause)
		require.False(t, a.HoldOf(parts).IsHeld(time.Now()))
		began := a.BeginTrial("i", parts)
		b.ApplyPeerRows(a.Rows())
		require.Equal(t, pause, due())
		a.AbortTrial(parts, began)
		a.ApplyPeerRows(b.Rows())
		require.Equal(t, 250*time.Millisecond, due())
		time.Sleep(time.Second)
		began = a.BeginTrial("i", parts)
		time.Sleep(time.Second)
		b.BeginTrial("j", parts)
		a.ApplyPeerRows(b.Rows())
		a.AbortTrial(parts, began)
		assert.Equal(t, pause, due(), "the other VM's trial is under way")
	})
}

// TestManyHeldItemsAskForFewRanks asks for the holds of many items again and again: the place of this VM is looked up once in
// rankTime, and forgotten with expired rows.
func TestManyHeldItemsAskForFewRanks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		asked, rank := 0, 1
		i := newHolder("ca", func(string) (int, int) { asked++; return rank, 4 })
		begin := time.Now()
		dueFrom := func() time.Duration { return i.HoldOf([]string{"ca", "request:i"}).Due.Sub(begin) }
		require.Equal(t, 18250*time.Millisecond, dueFrom())
		rank = 2
		for range 1000 {
			require.Equal(t, 18250*time.Millisecond, dueFrom())
		}
		assert.Equal(t, 1, asked)
		time.Sleep(rankTime + time.Millisecond)
		assert.Equal(t, 18500*time.Millisecond, dueFrom(), "the place of a VM changes as others come and go")
		assert.Equal(t, 2, asked)
		rank = 3
		i.expire(time.Now())
		assert.Empty(t, i.ranks)
		assert.Equal(t, 18750*time.Millisecond, dueFrom())
		assert.Equal(t, 3, asked)
	})
}

// TestReleaseIsWrittenAtOnce completes an item with a quarantined part, and has another one go on: the other VMs must not wait
// for their rows for a second more.
func TestReleaseIsWrittenAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := func(string) (int, int) { return 0, 4 }
		for name, release := range map[string]func(i *Isolator){
			refutationKey("ca"): func(i *Isolator) { i.Completed([]string{"ca"}) },
			outlivedKey("ca"):   func(i *Isolator) { i.Outlived([]string{"ca"}, 1) },
		} {
			i := newHolder("ca", first)
			release(i)
			require.Empty(t, i.HoldOf([]string{"ca"}).Part)
			change := i.nextChange(time.Now())
			require.Len(t, change.Puts, 1, name)
			assert.Equal(t, name, change.Puts[0].Key)
		}
	})
}
