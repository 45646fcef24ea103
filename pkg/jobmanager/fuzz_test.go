package jobmanager

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/jobrecorder"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

// FuzzRows decodes arbitrary bytes as rows of each kind: no decoder may panic, and the rows of one position are at most one
// result.
func FuzzRows(f *testing.F) {
	rows, err := encodeResult("j", 0, Result{ID: "i", State: jobrecorder.Succeeded, Output: []byte("out")}, 4096)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(rows[0].Value, []byte("rest"))
	f.Add([]byte(`{"id":"i","state":"succeeded","rows":-1}`+"\nout"), []byte(nil))
	f.Add([]byte(`{"id":"i","rows":2}`+"\nout"), []byte("more"))
	f.Add([]byte(`{"tokens":[1],"order":[4]}`), []byte(nil))
	f.Add([]byte(`{"tokens":[1],"order":[0]}`), []byte(`{"accepted":1}`))
	f.Add([]byte(`{"tokens":[1],"earlier":[{"by":{"vm":"a"},"items":[-1]}]}`), []byte(nil))
	for _, failures := range []string{`{"0":2}`, `{"0":-1}`, `{"0":9223372036854775807}`, `{"1":1}`, `{"x":1}`, `null`} {
		f.Add([]byte(`{"tokens":[1],"failures":`+failures+`}`), []byte(nil))
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		entry := func(row int, value []byte) storer.Entry {
			return storer.Entry{Table: resultTable, Key: resultKey("j", 0, row), Value: value}
		}
		results, err := decodeResults("j", 0, []storer.Entry{entry(0, first), entry(1, second)})
		if err == nil {
			assert.LessOrEqual(t, len(results), 1, "two rows of one position gave several results")
		}
		if j, err := decodeJob(storer.Entry{Value: first}); err == nil {
			done, _ := j.Append([]int{0})
			assert.Zero(t, done.Failures[0], "an item has a result and failures")
			failed, _ := j.RecordFailures(map[int]int{0: 1, 1: 1})
			assert.NoError(t, failed.Check())
			assert.GreaterOrEqual(t, failed.Failures[0], j.Failures[0])
			_, _, _ = j.WaitingTokens(), j.Runnable(func(vm jobrecorder.VMRef) bool { return vm.VM == "" }), j.IsOver()
		}
		_, _ = decodeCheckpoint(storer.Entry{Value: first})
	})
}
