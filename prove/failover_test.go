package prove

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/hasher"
	"github.com/dogwoodledge/dogwoodledge/pkg/emulator"
)

// allocatorOf returns the VM whose slot allocator grants the slots of the endpoint.
func (f *fleet) allocatorOf(endpoint string) *vm {
	ids := []string{}
	for _, v := range f.vms {
		ids = append(ids, v.id)
	}
	first := hasher.First(endpoint, ids)
	for _, v := range f.vms {
		if v.id == first {
			return v
		}
	}
	return nil
}

// TestAllocatorKilledWhileRequestsQueue kills the VM that allocates the slots of the only engine, while all of them are taken and
// further requests wait.
func TestAllocatorKilledWhileRequestsQueue(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetSize{vms: 3, engines: 1})
	allocator := f.allocatorOf("engine-1")
	entry := f.otherThan(allocator)
	wg := sync.WaitGroup{}
	for i := range 40 {
		wg.Go(func() {
			prompt := fmt.Sprintf("Card %d", i)
			requireComplete(t, f.chat(entry, prompt, 40), prompt, 40)
		})
	}
	f.await("the engine is full and other requests queue", func() bool { return f.executions(0) >= 16 })
	allocator.kill()
	wg.Wait()
}

// TestTwoHoldersLostInTurn kills one holder, freezes the next, and injects faults of the store in between.
func TestTwoHoldersLostInTurn(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetSize{vms: 4, engines: 2, segmentItems: 10})
	id := f.submit(f.vms[0], f.writeBatch(80, 40))
	first := f.awaitHolder()
	first.kill()
	f.platformFaults(emulator.PlatformFaults{IsDown: true})
	f.platformFaults(emulator.PlatformFaults{LoseAnswers: 4})
	var second *vm
	f.await("another VM holds a segment", func() bool {
		second = f.awaitHolder()
		return second != first
	})
	second.signal(syscall.SIGSTOP)
	var last *vm
	for _, v := range f.vms {
		if v != first && v != second {
			last = v
		}
	}
	f.requireBatchComplete(last, id, 80, 40, 0)
	before := f.segmentRows()
	second.signal(syscall.SIGCONT)
	f.await("the resumed VM counts three live VMs", func() bool { return f.liveMembers(second) == 3 })
	assert.Equal(t, before, f.segmentRows())
}

type span struct {
	Name        string
	SpanContext struct{ TraceID string }
}

// TestASpanForEachHop checks that one request and one booking each left a span for every hop.
func TestASpanForEachHop(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetSize{vms: 2, engines: 1})
	requireComplete(t, f.chat(f.vms[0], "A card", 5), "A card", 5)
	f.book(f.vms[0], "k1", "kiln 1")
	f.vms[0].signal(syscall.SIGTERM)
	<-f.vms[0].done
	raw, err := os.ReadFile(filepath.Join(f.dir, f.vms[0].id+".spans"))
	require.NoError(t, err)
	traces := map[string]map[string]bool{}
	for dec := json.NewDecoder(bytes.NewReader(raw)); ; {
		s := span{}
		if err := dec.Decode(&s); err == io.EOF {
			break
		} else if err != nil {
			require.NoError(t, err)
		}
		if traces[s.SpanContext.TraceID] == nil {
			traces[s.SpanContext.TraceID] = map[string]bool{}
		}
		traces[s.SpanContext.TraceID][s.Name] = true
	}
	hasTrace := func(names ...string) bool {
		for _, seen := range traces {
			isAll := true
			for _, name := range names {
				isAll = isAll && seen[name]
			}
			if isAll {
				return true
			}
		}
		return false
	}
	assert.True(t, hasTrace("entry POST", "keeper reserve", "endpoint chat"), "%v", traces)
	assert.True(t, hasTrace("entry POST", "store POST", "keeper reserve", "endpoint service"), "%v", traces)
}
