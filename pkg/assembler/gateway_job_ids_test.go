package assembler_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// submitID submits a job of one item with any id.
func (f *testFleet) submitID(vm *testVM, id string) answer {
	f.t.Helper()
	body := string(mustJSON(f.t, map[string]any{"items": newItems(1)}))
	return f.call(context.Background(), vm, http.MethodPost, "/batch/x", id, body)
}

// TestJobIDNamesNoOtherRow guards against a job whose id makes its rows those of another job, or of the route: the items of the
// other job could not be read any more.
func TestJobIDNamesNoOtherRow(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	f.awaitPeers()
	route := "gate/" + strconv.FormatUint(xxhash.Sum64String(testHost+"\x00/batch/"), 16)
	assert.Equal(t, http.StatusBadRequest, f.submitID(f.vms[0], route).status, "a job has the row of its route")
	for _, id := range []string{"a/b", "/", "a\xff"} {
		assert.Equal(t, http.StatusBadRequest, f.submitID(f.vms[0], id).status, "id %q", id)
	}
	job, items := newID("job"), newItems(2)
	for _, e := range f.endpoints {
		e.Events = 100
	}
	require.Equal(t, http.StatusAccepted, f.submit(f.vms[0], job, items).status)
	below := ""
	for n := 0; below == ""; n++ {
		if id := fmt.Sprintf("%s/%d", job, n); partitionFor(id) == partitionFor(job) {
			below = id
		}
	}
	assert.Equal(t, http.StatusBadRequest, f.submitID(f.vms[0], below).status, "a job has rows of another one")
	a := f.call(t.Context(), f.vms[1], http.MethodGet, "/items/"+job+"?id="+items[1].ID, newID("b"), "")
	assert.Equal(t, string(items[1].Body), a.body, "status %d", a.status)
}
