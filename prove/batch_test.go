package prove

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/batcher"
	"github.com/dogwoodledge/dogwoodledge/pkg/emulator"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

func batchLine(id string, prompt string, tokens int) string {
	const line = `{"custom_id":%q,"method":"POST","url":"/v1/chat/completions","body":%s}`
	return fmt.Sprintf(line, id, chatBody(prompt, tokens, false))
}

// writeBatch writes a batch file of n items; the items at the positions in poison fail at every attempt.
func (f *fleet) writeBatch(n, tokens int, poison ...int) string {
	f.t.Helper()
	b := bytes.Buffer{}
	for i := range n {
		prompt := fmt.Sprintf("Charge sheet %d", i)
		for _, p := range poison {
			if p == i {
				prompt += " " + emulator.PoisonMark
			}
		}
		_, _ = fmt.Fprintln(&b, batchLine(fmt.Sprintf("sheet-%d", i), prompt, tokens))
	}
	file := filepath.Join(f.dir, fmt.Sprintf("batch-%d.jsonl", n))
	require.NoError(f.t, os.WriteFile(file, b.Bytes(), 0o600))
	return file
}

func (f *fleet) submit(v *vm, file string) string {
	f.t.Helper()
	out, err := f.cli(v, kilnKey, "batch", "submit", file)
	require.NoError(f.t, err, out)
	return strings.Fields(out)[0]
}

type batchState struct {
	Status        string `json:"status"`
	RequestCounts struct {
		Completed int `json:"completed"`
		Failed    int `json:"failed"`
	} `json:"request_counts"`
}

func (f *fleet) batch(v *vm, id string) batchState {
	b := batchState{}
	a := f.do(v, call{method: http.MethodGet, path: "/v1/batches/" + id, key: kilnKey})
	_ = json.Unmarshal([]byte(a.body), &b)
	return b
}

// requireBatchComplete waits until the batch completes and reads its results through v: every item occurs once, as the answer to
// its own prompt or as one of the failed items.
func (f *fleet) requireBatchComplete(v *vm, id string, n, tokens, failed int) {
	f.t.Helper()
	f.await("the batch completes", func() bool { return f.batch(v, id).Status == "completed" })
	rest := strings.TrimPrefix(id, "batch_")
	seen := map[string]int{}
	out := f.do(v, call{method: http.MethodGet, path: "/v1/files/file-out-" + rest + "/content", key: kilnKey})
	for _, line := range strings.Split(strings.TrimSpace(out.body), "\n") {
		item := struct {
			CustomID string `json:"custom_id"`
			Response struct {
				Body struct {
					Choices []struct {
						Message struct{ Content string } `json:"message"`
					} `json:"choices"`
				} `json:"body"`
			} `json:"response"`
		}{}
		require.NoError(f.t, json.Unmarshal([]byte(line), &item), line)
		seen[item.CustomID]++
		prompt := "Charge sheet " + strings.TrimPrefix(item.CustomID, "sheet-")
		require.Equal(f.t, wantText(prompt, tokens), item.Response.Body.Choices[0].Message.Content, item.CustomID)
	}
	errs := f.do(v, call{method: http.MethodGet, path: "/v1/files/file-err-" + rest + "/content", key: kilnKey})
	failures := 0
	for _, line := range strings.Split(strings.TrimSpace(errs.body), "\n") {
		if line != "" {
			failures++
			item := struct {
				CustomID string `json:"custom_id"`
			}{}
			require.NoError(f.t, json.Unmarshal([]byte(line), &item))
			seen[item.CustomID]++
		}
	}
	require.Equal(f.t, failed, failures)
	require.Len(f.t, seen, n)
	for item, count := range seen {
		require.Equal(f.t, 1, count, item)
	}
}

// segmentRows returns the segment rows in the store by key.
func (f *fleet) segmentRows() map[string]batcher.SegmentRow {
	rows := map[string]batcher.SegmentRow{}
	_ = storer.ListAll(context.Background(), f.store, "segment/", func(r storer.Row) bool {
		row := batcher.SegmentRow{}
		if json.Unmarshal(r.Value, &row) == nil {
			rows[r.Key] = row
		}
		return true
	})
	return rows
}

// awaitHolder waits until a VM holds a running segment and returns it.
func (f *fleet) awaitHolder() *vm {
	f.t.Helper()
	var holder *vm
	f.await("a VM holds a segment", func() bool {
		for _, row := range f.segmentRows() {
			for _, v := range f.vms {
				if row.State == batcher.SegmentRunning && strings.HasPrefix(row.Holder, v.id+"/") {
					holder = v
				}
			}
		}
		return holder != nil
	})
	return holder
}

func (f *fleet) otherThan(v *vm) *vm {
	for _, o := range f.vms {
		if o != v {
			return o
		}
	}
	return nil
}

// TestBatchWithFailingItems expects an error for each item that always fails, and the results of all others.
func TestBatchWithFailingItems(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetSize{vms: 2, engines: 2, segmentItems: 10})
	id := f.submit(f.vms[0], f.writeBatch(40, 5, 7, 23))
	f.requireBatchComplete(f.vms[1], id, 40, 5, 2)
}

// TestBatchHolderKilled kills a VM that holds a segment with items in flight.
func TestBatchHolderKilled(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetSize{vms: 3, engines: 2, segmentItems: 10})
	id := f.submit(f.vms[0], f.writeBatch(60, 40))
	holder := f.awaitHolder()
	holder.kill()
	f.requireBatchComplete(f.otherThan(holder), id, 60, 40, 0)
}

// TestBatchKilledAfterAcknowledging kills the VM that accepted the job as soon as it has answered.
func TestBatchKilledAfterAcknowledging(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetSize{vms: 3, engines: 2, segmentItems: 10})
	file := f.writeBatch(40, 10)
	id := f.submit(f.vms[2], file)
	f.vms[2].kill()
	assert.Equal(t, id, f.submit(f.vms[0], file), "the same file submitted through another VM is the same batch")
	f.requireBatchComplete(f.vms[1], id, 40, 10, 0)
}

// TestBatchHolderFrozen freezes a holder past the end of its lease; when it resumes, it must not change a committed segment.
func TestBatchHolderFrozen(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetSize{vms: 3, engines: 2, segmentItems: 10})
	id := f.submit(f.vms[0], f.writeBatch(60, 40))
	holder := f.awaitHolder()
	holder.signal(syscall.SIGSTOP)
	other := f.otherThan(holder)
	f.requireBatchComplete(other, id, 60, 40, 0)
	before := f.segmentRows()
	holder.signal(syscall.SIGCONT)
	f.await("the resumed VM and another count three live VMs", func() bool {
		return f.liveMembers(holder) == 3 && f.liveMembers(other) == 3
	})
	f.requireBatchComplete(holder, id, 60, 40, 0)
	assert.Equal(t, before, f.segmentRows(), "no committed segment changed")
}

// TestBatchCancelled cancels a running batch: no further segment is committed and its items are removed from the engine.
func TestBatchCancelled(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetSize{vms: 2, engines: 1, segmentItems: 10})
	id := f.submit(f.vms[0], f.writeBatch(200, 60))
	f.await("some segments are done", func() bool { return f.batch(f.vms[0], id).RequestCounts.Completed >= 10 })
	out, err := f.cli(f.vms[1], kilnKey, "batch", "cancel", id)
	require.NoError(t, err, out)
	cancelled := f.batch(f.vms[1], id)
	assert.Equal(t, "cancelled", cancelled.Status)
	f.await("the engine has no request running or waiting", func() bool {
		load := f.load(f.engines[0], "/v1/load")
		return load.Running == 0 && load.Waiting == 0
	})
	after := f.batch(f.vms[0], id)
	assert.Equal(t, cancelled, after, "no segment was committed after the cancellation")
	done := 0
	for _, row := range f.segmentRows() {
		if row.State == batcher.SegmentDone {
			done += row.Completed
		}
	}
	assert.Equal(t, cancelled.RequestCounts.Completed, done)
}

func (f *fleet) load(addr netip.AddrPort, path string) emulator.LoadReport {
	res, err := http.Get("http://" + addr.String() + path)
	require.NoError(f.t, err)
	defer func() { _ = res.Body.Close() }()
	load := emulator.LoadReport{}
	require.NoError(f.t, json.NewDecoder(res.Body).Decode(&load))
	return load
}

// TestBatchStoreDown makes the store unavailable while a batch runs, then loses the answers to 8 of its writes.
func TestBatchStoreDown(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetSize{vms: 2, engines: 2, segmentItems: 10})
	id := f.submit(f.vms[0], f.writeBatch(60, 30))
	f.awaitHolder()
	f.platformFaults(emulator.PlatformFaults{IsDown: true})
	a := f.do(f.vms[0], call{
		method: http.MethodPost, path: "/v1/batches", key: kilnKey,
		body: `{"input_file_id":"file-x","endpoint":"/v1/chat/completions","completion_window":"1h"}`,
	})
	assert.Equal(t, http.StatusServiceUnavailable, a.status, a.body)
	assert.Equal(t, "notRun", a.outcome)
	assert.NotEmpty(t, a.retry)
	requireComplete(t, f.chat(f.vms[1], "A card", 5), "A card", 5)
	f.platformFaults(emulator.PlatformFaults{LoseAnswers: 8})
	f.requireBatchComplete(f.vms[1], id, 60, 30, 0)
}

// TestBatchHolderStopped stops a holder as planned: it releases its segments, so that others need not await the end of its lease.
func TestBatchHolderStopped(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetSize{vms: 2, engines: 2, segmentItems: 20})
	id := f.submit(f.vms[0], f.writeBatch(60, 60))
	holder := f.awaitHolder()
	holder.signal(syscall.SIGTERM)
	<-holder.done
	assert.True(t, holder.cmd.ProcessState.Success())
	for key, row := range f.segmentRows() {
		assert.False(t, row.State == batcher.SegmentRunning && strings.HasPrefix(row.Holder, holder.id+"/"), key)
	}
	f.requireBatchComplete(f.otherThan(holder), id, 60, 60, 0)
}

// TestOnlineBeforeBatch fills the engine with batch work; online requests must be served before the batch completes.
func TestOnlineBeforeBatch(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetSize{vms: 2, engines: 1, segmentItems: 100})
	id := f.submit(f.vms[0], f.writeBatch(300, 60))
	f.awaitHolder()
	f.await("the engine runs batch items", func() bool { return f.executions(0) > 10 })
	for i := range 10 {
		prompt := fmt.Sprintf("Card %d", i)
		requireComplete(t, f.chat(f.vms[i%2], prompt, 5), prompt, 5)
	}
	assert.Equal(t, "in_progress", f.batch(f.vms[0], id).Status, "online requests did not wait until the batch completed")
}
