package gossiper

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/detector"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
	"github.com/dogwoodledge/dogwoodledge/pkg/watcher"
)

// changeLog is a store that records the changes applied to it; the first len(errs) changes fail with these errors.
type changeLog struct {
	storer.Table
	errs    []error
	changes []storer.Change
}

func (c *changeLog) Apply(_ context.Context, change storer.Change) (int64, error) {
	c.changes = append(c.changes, change)
	if len(c.errs) > 0 {
		err := c.errs[0]
		c.errs = c.errs[1:]
		return 0, err
	}
	return int64(len(c.changes)), nil
}

func newTestGossiper(vm string, store storer.Table) (*Gossiper, *logtest.Hook) {
	log, hook := logtest.NewNullLogger()
	log.SetLevel(logrus.InfoLevel)
	return New(Config{VM: vm, Incarnation: 1, Region: "r"}, store, rand.New(rand.NewPCG(1, 1)), log), hook
}

func rowsOf(t *testing.T, vms ...string) []storer.Entry {
	t.Helper()
	var rows []storer.Entry
	for i, vm := range vms {
		value, err := json.Marshal(vmRow{Address: netip.MustParseAddrPort("127.0.0.1:1"), Incarnation: 1, Region: "r"})
		require.NoError(t, err)
		rows = append(rows, storer.Entry{Table: VMTable, Key: vm, Value: value, Version: int64(10 + i)})
	}
	return rows
}

// TestRowsOfReplacedVMsAreDropped leaves the rows of 20 replaced VMs behind: exactly one of the live VMs deletes each row, and
// all of them forget the replaced VM.
func TestRowsOfReplacedVMsAreDropped(t *testing.T) {
	names := []string{"v1", "v2", "v3"}
	var gone []string
	for i := range 20 {
		gone = append(gone, fmt.Sprintf("old-%d", i))
	}
	dropped := map[string]int{}
	for _, self := range names {
		store := &changeLog{}
		g, _ := newTestGossiper(self, store)
		g.applyTable(watcher.Update{IsFull: true, Version: 40, Entries: rowsOf(t, slices.Concat(names, gone)...)})
		for _, vm := range gone {
			g.recordChange(time.Now(), detector.Member{VM: vm, Region: "r", State: detector.Lost, Incarnation: 1 << refutationBits})
		}
		g.forget(t.Context(), time.Now())
		assert.Empty(t, store.changes, "rows of VMs that may come back must stay")
		for _, vm := range gone {
			g.members[vm].listedAt = time.Now().Add(-forgetAfter - time.Second)
			g.members[vm].lostAt = time.Now().Add(-forgetAfter - time.Second)
		}
		g.forget(t.Context(), time.Now())
		assert.Equal(t, len(names), g.VMCount())
		assert.Len(t, g.members, len(names)-1)
		for _, c := range store.changes {
			require.Equal(t, c.Expect, c.Deletes, "a row must be deleted only at the version that was read")
			dropped[c.Deletes[0].Key]++
		}
	}
	for _, vm := range gone {
		assert.Equal(t, 1, dropped[vm], vm)
	}
	assert.Len(t, dropped, len(gone))
}

// TestDeletionOfASilentVMIsRetried fails the first deletion of a row because the store is unavailable, and the second because the
// row has changed, as when the VM has written it again.
func TestDeletionOfASilentVMIsRetried(t *testing.T) {
	store := &changeLog{errs: []error{&storer.UnavailableError{Operation: "change"}, &storer.StaleError{}}}
	g, hook := newTestGossiper("v1", store)
	g.applyTable(watcher.Update{IsFull: true, Version: 40, Entries: rowsOf(t, "old")})
	g.recordChange(time.Now(), detector.Member{VM: "old", Region: "r", State: detector.Lost, Incarnation: 1 << refutationBits})
	later := time.Now().Add(2 * forgetAfter)
	g.forget(t.Context(), later)
	assert.Len(t, g.members, 1)
	require.NotNil(t, hook.LastEntry(), "the failure must be logged")
	assert.Equal(t, "old", hook.LastEntry().Data["peer"])
	g.forget(t.Context(), later)
	g.forget(t.Context(), later)
	assert.Empty(t, g.members)
	assert.Len(t, store.changes, 2)
}

// TestVMWhoseRowWasDroppedRegistersAgain deletes the row of a VM that was only partitioned from its peers.
func TestVMWhoseRowWasDroppedRegistersAgain(t *testing.T) {
	store := &changeLog{errs: []error{&storer.UnavailableError{Operation: "change"}}}
	g, hook := newTestGossiper("v1", store)
	g.applyTable(watcher.Update{IsFull: true, Version: 1})
	assert.Empty(t, g.unlisted, "the VM has not registered yet")
	require.True(t, g.register(t.Context()))
	assert.Equal(t, "VM not registered, trying again", hook.AllEntries()[0].Message)
	g.applyTable(watcher.Update{Version: 2, Entries: rowsOf(t, "v1")})
	assert.Empty(t, g.unlisted)
	g.applyTable(watcher.Update{Version: 3, Entries: []storer.Entry{{Key: "v1", IsRemoved: true}}})
	require.Len(t, g.unlisted, 1)
	<-g.unlisted
	g.applyTable(watcher.Update{IsFull: true, Version: 4})
	assert.Len(t, g.unlisted, 1, "a full list without the VM must signal that its row is missing")
}

// TestRowNamesManyEndpoints checks that the row of a VM has no further field in a deployment with few endpoints, and is written
// again when the deployment turns out to have many.
func TestRowNamesManyEndpoints(t *testing.T) {
	store := &changeLog{}
	g, _ := newTestGossiper("v1", store)
	require.True(t, g.register(t.Context()))
	assert.NotContains(t, string(store.changes[0].Puts[0].Value), "manyEndpoints")
	g.SetManyEndpoints(false)
	assert.Empty(t, g.unlisted)
	g.SetManyEndpoints(true)
	require.Len(t, g.unlisted, 1)
	require.True(t, g.register(t.Context()))
	assert.Contains(t, string(store.changes[1].Puts[0].Value), `"manyEndpoints":true`)
}

// TestPlaceIsAmongTheVMsOfTheRegion checks that only live VMs of the own region pass tables on, and none before the list is read.
func TestPlaceIsAmongTheVMsOfTheRegion(t *testing.T) {
	g, _ := newTestGossiper("v1", &changeLog{})
	_, ok := g.Place()
	assert.False(t, ok)
	var rows []storer.Entry
	for i := range 40 {
		region := "r"
		if i%2 == 0 {
			region = "far"
		}
		rows = append(rows, storer.Entry{Table: VMTable, Key: fmt.Sprintf("p%d", i), Version: int64(i + 1), Value: fmt.Appendf(nil,
			`{"address":"127.0.0.1:1","incarnation":2,"region":%q,"capacity":1}`, region)})
	}
	g.cfg.Region, g.cfg.Capacity = "r", 0.1
	g.applyTable(watcher.Update{IsFull: true, Version: 50, Entries: rows})
	p, ok := g.Place()
	assert.True(t, ok)
	assert.False(t, p.IsReader, "a VM with a tenth of the others' capacity serves none")
	assert.Len(t, p.Sources, 5)
	for _, vm := range p.Sources {
		assert.True(t, g.IsNear(vm), vm)
	}
	assert.False(t, g.IsNear("p0"))
	assert.False(t, g.IsNear("unknown"))
}
