package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

var start = time.UnixMilli(0)

// item returns an item; due and remaining are in seconds, due is counted from start.
func item(id string, due, remaining float64) Item {
	return Item{
		ID: id, Due: start.Add(time.Duration(due * float64(time.Second))),
		Remaining: time.Duration(remaining * float64(time.Second)),
	}
}

func TestOrder(t *testing.T) {
	cases := []struct {
		name  string
		slots float64
		items []Item
		want  string
	}{
		{"all fit: ordered by due time", 1, []Item{item("b", 10, 4), item("a", 5, 4)}, "a b"},
		{"too much work: the longest is late", 1, []Item{item("a", 5, 4), item("b", 6, 2), item("c", 7, 2)}, "b c | a"},
		{"more slots complete more items in time", 2, []Item{item("a", 5, 4), item("b", 6, 2), item("c", 7, 2)}, "a b c"},
		{"an item that can't complete in time goes last", 4, []Item{item("a", 3, 5), item("b", 9, 5)}, "b | a"},
		{"late items are ordered by remaining time", 1, []Item{item("a", 0, 5), item("b", 0, 1)}, "| b a"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, isLate := "", false
			for _, p := range Order(start, c.items, c.slots) {
				if p.IsLate && !isLate {
					isLate = true
					got += "| "
				}
				got += p.ID + " "
			}
			assert.Equal(t, c.want+" ", got)
		})
	}
}

// TestOverloadLosesFew guards against late items under overload: 9 items arrive each second for 40 slots, run for 6 s
// on average, and are due 18 s after their arrival. In plain order by due time, nearly all of them would end late.
func TestOverloadLosesFew(t *testing.T) {
	const (
		slots     = 40
		perSecond = 9
		seconds   = 120
	)
	run := func(plan func(now time.Time, items []Item) []Planned) int {
		var waiting []Item
		running := map[string]time.Time{}
		dues := map[string]time.Time{}
		inTime := 0
		for tick := range seconds * 10 {
			now := start.Add(time.Duration(tick) * 100 * time.Millisecond)
			if tick%10 == 0 {
				for n := range perSecond {
					i := item(fmt.Sprintf("%03d-%d", tick, n), float64(tick)/10+18, 3+float64(n%5)*1.5)
					waiting = append(waiting, i)
					dues[i.ID] = i.Due
				}
			}
			for id, end := range running {
				if !now.Before(end) {
					if !end.After(dues[id]) {
						inTime++
					}
					delete(running, id)
				}
			}
			rest := waiting[:0:0]
			for _, p := range plan(now, waiting) {
				if len(running) < slots {
					running[p.ID] = now.Add(p.Remaining)
					continue
				}
				rest = append(rest, p.Item)
			}
			waiting = rest
		}
		return inTime
	}
	ordered := run(func(now time.Time, items []Item) []Planned { return Order(now, items, slots) })
	// An hour early and with 1e9 slots no item is late, so that Order sorts by due time alone.
	byDue := run(func(_ time.Time, items []Item) []Planned { return Order(start.Add(-time.Hour), items, 1e9) })
	assert.Greater(t, ordered, byDue+byDue/10, "items in time with Order, compared with order by due time alone")
}

// TestOrderKeepsEveryItem checks that Order returns every item, and that those not marked late fit before their due times.
func TestOrderKeepsEveryItem(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 30).Draw(t, "n")
		var items []Item
		for i := range n {
			items = append(items, item(fmt.Sprint(i), rapid.Float64Range(0, 20).Draw(t, "due"),
				rapid.Float64Range(0, 8).Draw(t, "remaining")))
		}
		slots := rapid.Float64Range(0, 5).Draw(t, "slots")
		plan := Order(start, items, slots)
		returned := map[string]bool{}
		work := time.Duration(0)
		for _, p := range plan {
			returned[p.ID] = true
			if !p.IsLate {
				work += p.Remaining
				assert.False(t, start.Add(time.Duration(float64(work)/max(slots, 1))).After(p.Due.Add(time.Microsecond)))
			}
		}
		assert.Len(t, returned, n)
	})
}
