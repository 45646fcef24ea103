package jobmanager

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/jobrecorder"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

// TestResultsRoundTrip encodes results of several rows and decodes a prefix of the rows, as a page of a scan may hold: a
// result must be decoded completely or not at all.
func TestResultsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rowBytes = 4096
		var rows []storer.Entry
		var want []Result
		for position := range rapid.IntRange(1, 5).Draw(t, "results") {
			r := Result{
				ID: rapid.StringMatching(`[a-z0-9]{1,20}`).Draw(t, "id"), State: jobrecorder.Succeeded,
				Output: rapid.SliceOfN(rapid.Byte(), 0, 3*rowBytes).Draw(t, "output"),
			}
			encoded, err := encodeResult("j", position, r, rowBytes)
			require.NoError(t, err)
			for _, e := range encoded {
				assert.LessOrEqual(t, len(e.Value), rowBytes)
			}
			rows = append(rows, encoded...)
			want = append(want, r)
		}
		pageRows := rapid.IntRange(0, len(rows)).Draw(t, "rows of the page")
		got, err := decodeResults("j", 0, rows[:pageRows])
		require.NoError(t, err)
		require.LessOrEqual(t, len(got), len(want))
		for i, r := range got {
			assert.Equal(t, want[i].ID, r.ID)
			assert.Equal(t, string(want[i].Output), string(r.Output), "a result was decoded incompletely")
		}
		if pageRows == len(rows) {
			assert.Len(t, got, len(want))
		}
	})
}

// TestCheckpointsOfTwoWritersJoinWithoutOverlap skips checkpoints that overlap the output before them or leave a gap.
func TestCheckpointsOfTwoWritersJoinWithoutOverlap(t *testing.T) {
	c := joined(
		t,
		Checkpoint{After: -1, LastEvent: 4, OutputID: "a", Output: []byte("0-4")},
		Checkpoint{After: 2, LastEvent: 6, OutputID: "b", Continues: "a", Output: []byte("3-6")},
		Checkpoint{After: 4, LastEvent: 7, OutputID: "c", Continues: "a", Output: []byte(",5-7")},
		Checkpoint{After: 9, LastEvent: 12, OutputID: "c", Output: []byte("10-12")},
	)
	assert.Equal(t, "0-4,5-7", string(c.Output))
	assert.Equal(t, int64(7), c.LastEvent)
}

// TestCheckpointsOfAnotherRunDoNotJoin has a second writer save up to the event at which the first writer's next
// checkpoint starts. That checkpoint continues the first writer's own output, so it must not follow the second's.
func TestCheckpointsOfAnotherRunDoNotJoin(t *testing.T) {
	c := joined(
		t,
		Checkpoint{After: -1, LastEvent: 4, OutputID: "a", Output: []byte("0-4")},
		Checkpoint{After: 4, LastEvent: 7, OutputID: "b", Continues: "a", Output: []byte(",5-7")},
		Checkpoint{After: 7, LastEvent: 9, OutputID: "a", Output: []byte(",8-9")},
	)
	assert.Equal(t, "0-4,5-7", string(c.Output))
}
