package jobmanager_test

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/jobmanager"
	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

// withJob submits a job to a VM, passes both to f, and returns the statuses and results that a later read gets.
func withJob(t *testing.T, f func(p *simulation, m *jobmanager.Manager, job string)) output {
	t.Helper()
	var out output
	synctest.Test(t, func(t *testing.T) {
		p, stop := newSimulation(t, plan{Actions: []action{{At: time.Millisecond, VM: 0, Do: "submit", Job: 0}}}, &history{})
		defer stop()
		time.Sleep(time.Second)
		f(p, p.vms[0], jobName(0))
		time.Sleep(2 * time.Second)
		out = p.read(jobName(0))
	})
	return out
}

// read reads the job's results at a VM.
func (p *simulation) read(job string) output { return p.readAt(job, 0) }

func (p *simulation) readAt(job string, after int) output {
	w := httptest.NewRecorder()
	r := httptest.NewRequestWithContext(p.contexts[1], http.MethodPost, fmt.Sprintf("http://h/read/%s?%d", job, after), nil)
	p.vms[1].HandlerOf(r, p.config)(w, r)
	return outcomeOf(p.contexts[1], w)
}

// TestResultOfAnItemWithManyCheckpointsIsListed finishes an item with more checkpoints than a transaction has entries.
func TestResultOfAnItemWithManyCheckpointsIsListed(t *testing.T) {
	const checkpoints = 150
	out := withJob(t, func(p *simulation, m *jobmanager.Manager, job string) {
		for n := range checkpoints {
			c := jobmanager.Checkpoint{After: int64(n - 1), LastEvent: int64(n), OutputID: "o"}
			_, err := m.Save(p.contexts[0], job, []jobmanager.Checkpoint{c})
			require.NoError(t, err)
		}
		m.Finish(p.contexts[0], job, 0, jobmanager.Result{ID: "i0", State: "succeeded", Output: []byte("text")})
		m.Finish(p.contexts[0], job, 1, jobmanager.Result{ID: "i1", State: "succeeded", Output: []byte("text")})
	})
	assert.Equal(t, []string{"i0=text", "i1=text"}, out.Results)
}

// TestLargeResultIsListed finishes an item whose result fits into no transaction, and another one after it.
func TestLargeResultIsListed(t *testing.T) {
	large := bytes.Repeat([]byte("0123456789abcdef"), 1<<16)
	out := withJob(t, func(p *simulation, m *jobmanager.Manager, job string) {
		m.Finish(p.contexts[0], job, 0, jobmanager.Result{ID: "i0", State: "succeeded", Output: large})
		m.Finish(p.contexts[0], job, 1, jobmanager.Result{ID: "i1", State: "succeeded", Output: []byte("text")})
	})
	require.Equal(t, http.StatusOK, out.Status)
	var short []string
	for _, r := range out.Results {
		short = append(short, fmt.Sprintf("%.2s %d", r, len(r)))
	}
	assert.Contains(t, short, fmt.Sprintf("i0 %d", len(large)+len("i0=")))
}

// TestResultThatCannotBeWrittenKeepsNoOthersBack has the store refuse all objects for a while.
func TestResultThatCannotBeWrittenKeepsNoOthersBack(t *testing.T) {
	large := bytes.Repeat([]byte("0123456789abcdef"), 1<<16)
	var during, after output
	withJob(t, func(p *simulation, m *jobmanager.Manager, job string) {
		p.store.SetFault(func(r *http.Request) standin.StoreFault {
			if r.Method == http.MethodPut {
				return standin.Busy
			}
			return standin.NoFault
		})
		m.Finish(p.contexts[0], job, 0, jobmanager.Result{ID: "i0", State: "succeeded", Output: large})
		m.Finish(p.contexts[0], job, 1, jobmanager.Result{ID: "i1", State: "succeeded", Output: []byte("text")})
		time.Sleep(2 * time.Second)
		during = p.read(job)
		p.store.SetFault(func(*http.Request) standin.StoreFault { return standin.NoFault })
		time.Sleep(2 * time.Second)
		after = p.readAt(job, 1)
	})
	assert.Equal(t, []string{"i1=text"}, during.Results)
	require.Len(t, after.Results, 1)
	assert.Len(t, after.Results[0], len(large)+len("i0="))
}

// TestCheckpointsOfManyItemsAreSaved saves more checkpoints at once than fit into a transaction.
func TestCheckpointsOfManyItemsAreSaved(t *testing.T) {
	withJob(t, func(p *simulation, m *jobmanager.Manager, job string) {
		var list []jobmanager.Checkpoint
		for item := range 150 {
			list = append(list, jobmanager.Checkpoint{Item: item, After: -1, LastEvent: 40, OutputID: "o", Output: []byte("text")})
		}
		n, err := m.Save(p.contexts[0], job, list)
		require.NoError(t, err)
		assert.Equal(t, len(list), n)
		saved, err := m.Checkpoints(p.contexts[0], job, 0)
		require.NoError(t, err)
		assert.Len(t, saved, len(list))
	})
}

// TestCheckpointsOfManyItemsAreReadWithinTheLimit reads more bytes of outputs than a VM that takes a job over has room for.
func TestCheckpointsOfManyItemsAreReadWithinTheLimit(t *testing.T) {
	const items, bytesEach, limit = 40, 300, 3000
	withJob(t, func(p *simulation, m *jobmanager.Manager, job string) {
		var list []jobmanager.Checkpoint
		for item := range items {
			list = append(list, jobmanager.Checkpoint{
				Item: item, After: -1, LastEvent: 40, OutputID: "o", Output: bytes.Repeat([]byte("x"), bytesEach),
			})
		}
		n, err := m.Save(p.contexts[0], job, list)
		require.NoError(t, err)
		require.Equal(t, items, n)
		saved, err := m.Checkpoints(p.contexts[0], job, limit)
		require.NoError(t, err)
		assert.Len(t, saved, limit/bytesEach)
		for item, c := range saved {
			assert.Equal(t, item, c.Item)
			assert.Len(t, c.Output, bytesEach)
		}
	})
}
