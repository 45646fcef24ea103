package quarantiner

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/internal/scripter"
)

func onlyVM(string) (rank, vms int) { return 0, 1 }

// break3 has three endpoints end under the parts at the time.
func break3(q *Quarantiner, name string, at time.Time, parts ...string) {
	for n := range 3 {
		for position, p := range parts {
			q.Add(at, Strike{Part: p, Position: position, Endpoint: fmt.Sprintf("%s%d", name, n), At: at})
		}
	}
}

// TestItemIsTriedBesideTrialsOfAnotherVMThatSayNothing has the trials of one VM be preempted, each 100 ms after it began; an item
// that another VM holds, all of whose engines are idle, lies until these end.
func TestItemIsTriedBesideTrialsOfAnotherVMThatSayNothing(t *testing.T) {
	const step, rowDelay, run = 10 * time.Millisecond, 300 * time.Millisecond, 100 * time.Millisecond
	pressed, idle := New(), New()
	for _, q := range []*Quarantiner{pressed, idle} {
		break3(q, "e", scripter.Epoch, "p")
	}
	rank := func(place int) Rank { return func(string) (int, int) { return place, 12 } }
	var began, row time.Time
	isRunning, trials := false, 0
	for at := time.Duration(0); at < time.Minute; at += step {
		now := scripter.Epoch.Add(at)
		if isRunning && now.Sub(began) == run {
			pressed.AbortTrial(now, []string{"p"}, began)
			isRunning = false
		}
		if !row.IsZero() && now.Sub(row) >= rowDelay {
			idle.Probed(now, "p", row)
			row = time.Time{}
		}
		if h := pressed.HoldOf(now, []string{"p"}, rank(0)); !isRunning && !h.IsHeld(now) {
			if len(pressed.BeginTrial(now, []string{"p"})) > 0 {
				row = now
			}
			began, isRunning = now, true
			trials++
		}
		if h := idle.HoldOf(now, []string{"p"}, rank(10)); !h.IsHeld(now) {
			t.Logf("tried after %s, %d trials of the other VM", at, trials)
			assert.Less(t, at, 8*time.Second)
			return
		}
	}
	t.Errorf("the item of the idle VM was never tried within a minute, beside %d trials that said nothing", trials)
}

// TestOnlineRequestMayProbeBesideTrialsThatSayNothing has each trial of items be preempted: an online request with the part must
// still be sent as a probe.
func TestOnlineRequestMayProbeBesideTrialsThatSayNothing(t *testing.T) {
	const step, run = 10 * time.Millisecond, 100 * time.Millisecond
	q := New()
	break3(q, "e", scripter.Epoch, "p")
	var began time.Time
	isRunning, trials := false, 0
	for at := time.Duration(0); at < time.Minute; at += step {
		now := scripter.Epoch.Add(at)
		if isRunning && now.Sub(began) == run {
			q.AbortTrial(now, []string{"p"}, began)
			isRunning = false
		}
		if h := q.HoldOf(now, []string{"p"}, onlyVM); !isRunning && !h.IsHeld(now) {
			q.BeginTrial(now, []string{"p"})
			began, isRunning = now, true
			trials++
		}
		if v := q.Check(now, []string{"p", "request:online"}); v.IsProbeDue {
			t.Logf("probe due after %s", at)
			return
		}
	}
	t.Errorf("no online request might probe the part within a minute, beside %d trials that said nothing", trials)
}

// witness is an item of one VM whose engines are idle.
type witness struct {
	name  string
	parts []string
	// trial holds the parts of which its run is a trial.
	trial     []string
	isDeadly  bool
	endsAfter time.Duration
	began     time.Time
	isRunning bool
	isDone    bool
	notBefore time.Time
	ends      []time.Duration
}

// runItems starts items as the itemrunner does for the time, and returns when endpoints ended. Deadly items end theirs endsAfter
// they began, sound ones make progress after 800 ms.
func runItems(q *Quarantiner, begin, last time.Duration, items []*witness) (ends []time.Duration) {
	const step, soundTime = 10 * time.Millisecond, 800 * time.Millisecond
	for at := begin; at < last; at += step {
		now := scripter.Epoch.Add(at)
		for _, it := range items {
			switch {
			case it.isRunning && it.isDeadly && now.Sub(it.began) >= it.endsAfter:
				it.isRunning, it.notBefore = false, now.Add(200*time.Millisecond)
				it.ends = append(it.ends, at)
				ends = append(ends, at)
				parts := it.parts
				if len(it.trial) > 0 && IsRequest(it.trial[0]) {
					parts = it.trial
				}
				for position, p := range q.Suspects(now, parts) {
					q.Add(now, Strike{Part: p, Position: position, Endpoint: fmt.Sprintf("%s-%d", it.name, len(it.ends)), At: now})
				}
			case it.isRunning && !it.isDeadly && now.Sub(it.began) >= soundTime:
				it.isRunning, it.isDone = false, true
				q.Completed(now, it.parts)
			}
		}
		type candidate struct {
			*witness
			hold Hold
		}
		var list []candidate
		for _, it := range items {
			if !it.isRunning && !it.isDone && !now.Before(it.notBefore) {
				if h := q.HoldOf(now, it.parts, onlyVM); !h.IsHeld(now) {
					list = append(list, candidate{it, h})
				}
			}
		}
		slices.SortStableFunc(list, func(a, b candidate) int { return cmp.Compare(a.hold.Ends, b.hold.Ends) })
		tried := map[string]bool{}
		for _, c := range list {
			if slices.ContainsFunc(c.hold.Parts, func(p string) bool { return tried[p] }) {
				continue
			}
			for _, p := range c.hold.Parts {
				tried[p] = true
			}
			c.began, c.isRunning, c.trial = now, true, c.hold.Parts
			q.BeginTrial(now, c.hold.Parts)
		}
	}
	return ends
}

// TestSoundItemIsTriedBesideDeadlyItems has deadly items, each with a quarantined part of its own, be tried again and again: a
// sound item that shares another part with them must begin meanwhile.
func TestSoundItemIsTriedBesideDeadlyItems(t *testing.T) {
	for _, deadly := range []int{2, 12, 20} {
		t.Run(fmt.Sprint(deadly), soundBesideDeadly(deadly))
	}
}

// soundBesideDeadly returns the test with a number of deadly items.
func soundBesideDeadly(deadly int) func(t *testing.T) {
	return func(t *testing.T) {
		for seed := range uint64(5) {
			source := rand.New(rand.NewPCG(seed, 0))
			q := New()
			var items []*witness
			for n := range deadly {
				it := &witness{name: fmt.Sprint(n), parts: []string{"shared", fmt.Sprintf("request:%d", n)}, isDeadly: true}
				it.endsAfter = 100*time.Millisecond + time.Duration(source.IntN(40))*10*time.Millisecond
				it.notBefore = scripter.Epoch.Add(time.Duration(source.IntN(1000)) * 10 * time.Millisecond)
				items = append(items, it)
			}
			const comes = 60 * time.Second
			sound := &witness{name: "sound", parts: []string{"shared", "request:sound"}, notBefore: scripter.Epoch.Add(comes)}
			// It comes first, so that it is the witness as soon as a trial is due.
			ends := runItems(q, 0, comes+time.Minute, append([]*witness{sound}, items...))
			if assert.False(t, sound.began.IsZero(), "seed %d: the sound item never began beside %d ends", seed, len(ends)) {
				lay := sound.began.Sub(scripter.Epoch.Add(comes))
				assert.LessOrEqual(t, lay, lieTime, "seed %d: the sound item lay beside %d ends", seed, len(ends))
			}
		}
	}
}

// TestTwoDeadlyPartsAreTriedSeldom has two parts that are each a cause be tried: that one's endpoints end beside the other's says
// nothing for either.
func TestTwoDeadlyPartsAreTriedSeldom(t *testing.T) {
	for _, parts := range []int{1, 2, 3} {
		t.Run(fmt.Sprint(parts), func(t *testing.T) {
			q := New()
			var items []*witness
			for p := range parts {
				part := fmt.Sprintf("cause%d", p)
				break3(q, part, scripter.Epoch.Add(time.Duration(p)*500*time.Millisecond), part)
				for n := range 10 {
					name := fmt.Sprintf("%s-%d", part, n)
					items = append(items, &witness{
						name: name, parts: []string{part, "request:" + name}, isDeadly: true, endsAfter: 100 * time.Millisecond,
					})
				}
			}
			ends := runItems(q, 2*time.Second, time.Minute, items)
			t.Logf("%d ends in a minute for %d causes", len(ends), parts)
			assert.LessOrEqual(t, len(ends), 6*parts)
		})
	}
}
