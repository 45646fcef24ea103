package continuer

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/option"
)

var start = time.Unix(1_000_000, 0)

// registryOf returns a registry with an endpoint of the service s for each version.
func registryOf(versions ...string) *registrar.Registry {
	endpoints := map[string]registrar.Endpoint{}
	for i, v := range versions {
		id := strconv.Itoa(i)
		endpoints[id] = registrar.Endpoint{ID: id, Service: "s", SoftwareVersion: v, Slots: 1}
	}
	return registrar.NewRegistry(nil, endpoints)
}

func software(version string) registrar.Software {
	return registrar.Endpoint{Service: "s", SoftwareVersion: version}.Software()
}

func assertPossible(t *testing.T, h *History, now time.Time, isComplete bool, versions ...string) {
	t.Helper()
	possible, ok := h.Possible(now, "s")
	want := []registrar.Software{}
	for _, v := range versions {
		want = append(want, software(v))
	}
	assert.ElementsMatch(t, want, possible)
	assert.Equal(t, isComplete, ok)
}

// TestVersionThatLeftStaysPossible guards against a stream that is resumed by the newer version just after the older one has
// left.
func TestVersionThatLeftStaysPossible(t *testing.T) {
	h := NewHistory(start)
	assert.Equal(t, []string{"s"}, h.Observe(start, registryOf("v1", "v1")))
	assertPossible(t, h, start, false, "v1")
	now := start.Add(Memory)
	assertPossible(t, h, now, true, "v1")
	h.Observe(now, registryOf("v1", "v2"))
	assert.Empty(t, h.Observe(now, registryOf("v2", "v1")))
	h.Observe(now, registryOf("v2"))
	assertPossible(t, h, now.Add(Memory-1), true, "v1", "v2")
	assertPossible(t, h, now.Add(Memory), true, "v2")
	h.Observe(now, registryOf())
	assertPossible(t, h, now.Add(Memory-1), true, "v2")
}

// TestRecordTellsOfVersionsBeforeTheStart checks what a VM knows that starts with the record of one that is gone.
func TestRecordTellsOfVersionsBeforeTheStart(t *testing.T) {
	old := NewHistory(start)
	old.Observe(start, registryOf("v0", "v1"))
	old.Observe(start, registryOf("v1"))
	record, _ := old.RecordOf(start.Add(time.Second), "s")
	assert.Equal(t, []registrar.Software{software("v1")}, record.Current)
	assert.Equal(t, map[registrar.Software]time.Duration{software("v0"): time.Second}, record.Ended)

	now := start.Add(2 * time.Second)
	h := NewHistory(now)
	h.Observe(now, registryOf("v2"))
	h.Restore(now, "s", record, now)
	assertPossible(t, h, now, true, "v0", "v1", "v2")
	assertPossible(t, h, now.Add(Memory-time.Second), true, "v1", "v2")
	assertPossible(t, h, now.Add(Memory), true, "v2")
}

// TestVersionThatWasNotHeardOfIsNotRuledOut guards against a stream that goes on at the only version that a VM knows, while it
// has not heard of another one.
func TestVersionThatWasNotHeardOfIsNotRuledOut(t *testing.T) {
	h := NewHistory(start)
	now := start.Add(Memory)
	h.Observe(now, registryOf("v1"))
	only := func(at time.Time) option.Option[registrar.Software] { return h.Only(now, []string{"s"}, at) }
	assert.Equal(t, option.None[registrar.Software](), only(now), "nothing is confirmed yet")
	h.Confirm(now)
	assert.Equal(t, option.Some(software("v1")), only(now))
	assert.Equal(t, option.None[registrar.Software](), only(now.Add(1)))
	h.Confirm(now.Add(-1))
	assert.Equal(t, option.Some(software("v1")), only(now), "an older read does not undo a newer one")

	gap := registryOf("v1")
	gap.HasGap = true
	h.Observe(now, gap)
	h.Confirm(now)
	assert.Equal(t, option.None[registrar.Software](), only(now), "a version may have come and gone")
	record, _ := h.RecordOf(now, "s")
	h.Restore(now, "s", record, now.Add(-1))
	assert.Equal(t, option.None[registrar.Software](), only(now), "the record may be older than the gap")
	h.Restore(now, "s", record, now)
	assert.Equal(t, option.Some(software("v1")), only(now))
}

// TestVersionThatServedForAMomentIsPossible checks versions that no registry has among those that accept requests.
func TestVersionThatServedForAMomentIsPossible(t *testing.T) {
	h := NewHistory(start)
	now := start.Add(Memory)
	h.Observe(now, registryOf("v1"))
	passed := registryOf("v1")
	passed.Passed = []registrar.Endpoint{{ID: "2", Service: "s", SoftwareVersion: "v2"}}
	assert.Equal(t, []string{"s"}, h.Observe(now, passed))
	assertPossible(t, h, now, true, "v1", "v2")
	assert.Empty(t, h.Observe(now, registryOf("v1")))
	now = now.Add(Memory)
	assertPossible(t, h, now, true, "v1")
	h.Observe(now, passed)
	assertPossible(t, h, now, true, "v1", "v2")

	now = now.Add(Memory)
	draining := registrar.NewRegistry(nil, map[string]registrar.Endpoint{
		"1": {ID: "1", Service: "s", SoftwareVersion: "v1"},
		"3": {ID: "3", Service: "s", SoftwareVersion: "v3", IsDraining: true},
	})
	assert.Equal(t, []string{"s"}, h.Observe(now, draining))
	assertPossible(t, h, now, true, "v1", "v3")
	now = now.Add(Memory)
	assert.Empty(t, h.Observe(now, draining))
	assertPossible(t, h, now, true, "v1")
}

// TestServicesThatARouteHadArePossible checks which services may have begun a stream whose route moved.
func TestServicesThatARouteHadArePossible(t *testing.T) {
	h := NewHistory(start)
	assert.Empty(t, h.ServicesFor(start, "host", "/a/1", "x"))
	observe := func(now time.Time, service string) {
		c := &registrar.Config{Routes: []registrar.Route{
			{Host: "host", PathPrefix: "/a/", Splits: []registrar.Split{{Service: service, Weight: 1}}},
		}}
		h.Observe(now, registrar.NewRegistry(c.Index(), nil))
	}
	observe(start, "s")
	observe(start.Add(time.Second), "other")
	observe(start.Add(2*time.Second), "other")
	assert.Equal(t, []string{"other", "s"}, h.ServicesFor(start.Add(Memory), "host", "/a/1", "x"))
	assert.Empty(t, h.ServicesFor(start.Add(Memory), "host", "/b/1", "x"))
	assert.Equal(t, []string{"other"}, h.ServicesFor(start.Add(Memory+time.Second), "host", "/a/1", "x"))
	observe(start.Add(Memory+time.Second), "other")
	assert.Len(t, h.replaced, 2)
}

func TestLedger(t *testing.T) {
	l := NewLedger()
	find := func(now time.Time, id string) (registrar.Software, bool) { return l.Find(now, StreamOf(id)).Get() }
	l.Add(start, Beginning{StreamOf("a"), 1}, "e1")
	l.Add(start, Beginning{StreamOf("b"), 2}, "")
	got, ok := find(start, "a")
	assert.True(t, ok)
	assert.Equal(t, registrar.Software(1), got)
	_, ok = find(start, "c")
	assert.False(t, ok)
	_, ok = find(start.Add(Memory), "a")
	assert.False(t, ok, "older than Memory")
	assert.Equal(t, []Beginning{{StreamOf("a"), 1}}, l.Since(start.Add(-1)), "only those that this VM sent")
	assert.Empty(t, l.Since(start))

	l.Add(start, Beginning{StreamOf("b"), 3}, "")
	got, ok = find(start, "b")
	assert.True(t, ok)
	assert.Equal(t, Ambiguous, got, "two versions are said to have begun it")
	assert.Equal(t, []Beginning{{StreamOf("a"), Ambiguous}}, l.Doubt("e1"))
	got, _ = find(start, "a")
	assert.Equal(t, Ambiguous, got)

	for i := range 2 * maxStreams {
		l.Add(start.Add(time.Second), Beginning{StreamOf("x" + strconv.Itoa(i)), 1}, "")
	}
	assert.LessOrEqual(t, len(l.entries), maxStreams)
	l.Add(start.Add(2*Memory), Beginning{StreamOf("y"), 1}, "")
	assert.Len(t, l.entries, 1)
}

func TestContinuation(t *testing.T) {
	v1, v2 := software("v1"), software("v2")
	none, begun := option.None[registrar.Software](), option.Some(v1)
	e := registrar.Endpoint{Service: "s", SoftwareVersion: "v2"}
	both, only := []registrar.Software{v1, v2}, []registrar.Software{v2}
	assert.Equal(t, Continue, At(none, e, both, 0))
	assert.Equal(t, Continue, At(option.Some(v2), e, both, 0))
	assert.Equal(t, Await, At(begun, e, both, 0))
	assert.Equal(t, Restart, At(begun, e, both, MaxAwait), "a version with few slots must not hold an item back")
	assert.Equal(t, Restart, At(begun, e, only, 0), "the version that began it is gone")
	_, isBound := BoundTo(begun, only).Get()
	assert.False(t, isBound)
	got, isBound := BoundTo(begun, both).Get()
	assert.True(t, isBound)
	assert.Equal(t, v1, got)
	_, isBound = BoundTo(none, both).Get()
	assert.False(t, isBound)
	reg := registryOf("v1", "v2", "v2")
	assert.Len(t, Candidates(none, reg.EndpointsOf("s")), 3)
	assert.Len(t, Candidates(begun, reg.EndpointsOf("s")), 1)
	other := registrar.Endpoint{Service: "other", SoftwareVersion: "v1"}
	assert.NotEqual(t, v1, other.Software(), "another service's version of the same name writes something else")
}
