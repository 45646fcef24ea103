package itemrunner

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/jobmanager"
	"github.com/dogwoodledge/dogwoodledge/pkg/option"
)

// waitClock drives a recorder by a clock of its own.
type waitClock struct {
	*waitRecorder
	now time.Time
}

func newWaitClock() *waitClock {
	return &waitClock{newWaitRecorder(), time.Date(2026, 12, 6, 9, 0, 0, 0, time.UTC)}
}

// newTasks returns tasks that become idle one second after the other, the last one now.
func (c *waitClock) newTasks(n int) []*task {
	var tasks []*task
	for i := range n {
		tasks = append(tasks, &task{
			item: jobmanager.Item{ID: strconv.Itoa(i)}, idleSince: c.now.Add(time.Duration(i-n+1) * time.Second),
		})
	}
	return tasks
}

// pass lets time pass in steps of 50 ms, in each of which the tasks wait for what is given, and returns the lines.
func (c *waitClock) pass(d time.Duration, tasks []*task, present wait) []waitLine {
	var lines []waitLine
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(50 * time.Millisecond) {
		for _, t := range tasks {
			c.note(c.now, t, present)
		}
		lines = append(lines, c.survey(tasks)...)
	}
	return lines
}

func (c *waitClock) survey(tasks []*task) []waitLine {
	if c.beginSurvey(c.now) {
		for _, t := range tasks {
			c.count(c.now, t)
		}
		c.endSurvey(c.now)
	}
	return c.take()
}

// TestShortWaitsWriteNothing has an item wait for 950 ms again and again, for one cause and for several in turn.
func TestShortWaitsWriteNothing(t *testing.T) {
	c := newWaitClock()
	tasks := c.newTasks(1)
	for i := range 6 {
		assert.Empty(t, c.pass(950*time.Millisecond, tasks, wait{cause: waitCauses[i%3]}))
		if i == 3 {
			c.end(c.now, tasks[0], nextRun)
		}
	}
}

// TestLongWaitHasALineAtItsBeginAndItsEnd has an item wait for each cause, for 5 s, and then run.
func TestLongWaitHasALineAtItsBeginAndItsEnd(t *testing.T) {
	for _, cause := range waitCauses {
		t.Run(string(cause), func(t *testing.T) {
			c := newWaitClock()
			tasks := c.newTasks(1)
			present := wait{cause: cause, part: "p", service: "s", software: 7, due: c.now.Add(9 * time.Second)}
			lines := c.pass(5*time.Second, tasks, present)
			require.Len(t, lines, 1)
			assert.Equal(t, waitLine{task: tasks[0], wait: present, waited: time.Second, idle: time.Second}, lines[0])
			c.end(c.now, tasks[0], nextRun)
			lines = c.survey(nil)
			require.Len(t, lines, 1)
			waited := 5 * time.Second
			assert.Equal(t, waitLine{task: tasks[0], wait: present, waited: waited, idle: waited, next: nextRun}, lines[0])
			assert.Empty(t, c.pass(5*time.Second, nil, wait{}))
		})
	}
}

// TestChangeOfCauseEndsTheLine has an item wait for two parts and for slots in turn. Another part or due time is no change.
func TestChangeOfCauseEndsTheLine(t *testing.T) {
	c := newWaitClock()
	tasks := c.newTasks(1)
	var seen []string
	for _, present := range []wait{
		{cause: quarantinedPart, part: "a", due: c.now},
		{cause: quarantinedPart, part: "a", due: c.now.Add(time.Hour)},
		{cause: quarantinedPart, part: "b"},
		slotWait("s", option.None[registrar.Software]()),
		slotWait("s", option.Some(registrar.Software(7))),
		slotWait("s", option.Some(registrar.Software(8))),
	} {
		for _, l := range c.pass(2*time.Second, tasks, present) {
			seen = append(seen, fmt.Sprintf("%s %s%s%d: %s", l.cause, l.part, l.service, l.software, l.next))
		}
	}
	assert.Equal(t, []string{
		"quarantined part a0: ", "quarantined part b0: no slot",
		"no slot s0: ", "no slot s0: software version", "software version s7: ", "software version s7: software version",
		"software version s8: ",
	}, seen)
}

// TestItemThatLeavesThisVMEndsItsWait has an item with a line disappear without a run.
func TestItemThatLeavesThisVMEndsItsWait(t *testing.T) {
	c := newWaitClock()
	tasks := c.newTasks(1)
	require.Len(t, c.pass(2*time.Second, tasks, wait{cause: noSlot}), 1)
	lines := c.pass(time.Second, nil, wait{})
	require.Len(t, lines, 1)
	assert.Equal(t, nextGone, lines[0].next)
	assert.Empty(t, c.logged, "tasks that are gone are kept")
}

// TestLinesOfWaitsAreBounded has 300 items wait for slots, and then one that lies for a part: it gets its line at once, and each
// second has ten lines at most for the others, those that wait longest first.
func TestLinesOfWaitsAreBounded(t *testing.T) {
	c := newWaitClock()
	const items, early = 300, 15
	tasks := c.newTasks(items)
	slices.Reverse(tasks)
	first, logged := c.pass(300*time.Millisecond, tasks[items-early:], wait{cause: noSlot}), []string{}
	require.Empty(t, first)
	begin := c.now
	for c.now.Sub(begin) < 5*time.Second {
		lines := c.pass(time.Second, tasks, wait{cause: noSlot})
		assert.LessOrEqual(t, len(lines), 2*maxWaitLines, "of two seconds that the step overlaps")
		for _, l := range lines {
			logged = append(logged, l.item.ID)
			assert.Zero(t, l.unlogged, "a line that comes later is not left out")
		}
	}
	assert.LessOrEqual(t, len(logged), 6*maxWaitLines)
	require.Greater(t, len(logged), early)
	for _, item := range tasks[items-early:] {
		assert.Contains(t, logged[:early], item.item.ID, "an item that waits longer has no line before others")
	}
	lying := &task{item: jobmanager.Item{ID: "lying"}, idleSince: c.now}
	c.note(c.now, lying, wait{cause: quarantinedPart, part: "p"})
	c.now = c.now.Add(waitNotice)
	lines := c.survey(append([]*task{lying}, tasks...))
	assert.True(t, slices.ContainsFunc(lines, func(l waitLine) bool { return l.item.ID == "lying" }), "other waits silence one")
	for _, item := range tasks {
		c.end(c.now, item, nextRun)
	}
	ended, unlogged := 0, 0
	for _, l := range c.take() {
		ended++
		unlogged += l.unlogged
	}
	assert.LessOrEqual(t, ended, maxWaitLines)
	c.now = c.now.Add(time.Second)
	c.note(c.now, lying, wait{cause: noSlot})
	c.now = c.now.Add(waitNotice)
	lines = c.survey([]*task{lying})
	last := lines[len(lines)-1]
	assert.Equal(t, noSlot, last.cause)
	assert.Equal(t, items, ended+unlogged+last.unlogged, "ends of waits with a line, and of those that were left out")
}

// TestWaitsAreCountedByCause counts items that wait for two causes.
func TestWaitsAreCountedByCause(t *testing.T) {
	c := newWaitClock()
	tasks := c.newTasks(5)
	for i, item := range tasks {
		c.note(c.now, item, wait{cause: waitCauses[min(i, 3)/3]})
	}
	c.survey(tasks)
	assert.Equal(t, map[waitCause]waitCount{
		waitCauses[0]: {items: 3, oldest: tasks[0].idleSince}, waitCauses[1]: {items: 2, oldest: tasks[3].idleSince},
	}, c.counts)
	c.now = c.now.Add(time.Second)
	c.survey(tasks[4:])
	assert.Equal(t, map[waitCause]waitCount{waitCauses[1]: {items: 1, oldest: tasks[4].idleSince}}, c.counts)
}
