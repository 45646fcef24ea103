package jobkeeper

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/jobber"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

func TestResultsComeBackWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rowBytes = 4096
		var rows []storer.Entry
		var want []Result
		for position := range rapid.IntRange(1, 5).Draw(t, "results") {
			r := Result{
				ID: rapid.StringMatching(`[a-z0-9]{1,20}`).Draw(t, "id"), State: jobber.Succeeded,
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
		cut := rapid.IntRange(0, len(rows)).Draw(t, "rows that a page held")
		got, err := decodeResults("j", 0, rows[:cut])
		require.NoError(t, err)
		require.LessOrEqual(t, len(got), len(want))
		for i, r := range got {
			assert.Equal(t, want[i].ID, r.ID)
			assert.Equal(t, string(want[i].Output), string(r.Output), "a result is whole or not there")
		}
		if cut == len(rows) {
			assert.Len(t, got, len(want))
		}
	})
}

func TestCheckpointsOfTwoWritersJoinWithoutOverlap(t *testing.T) {
	saved := map[int]Checkpoint{}
	for _, c := range []Checkpoint{
		{After: -1, LastEvent: 4, Writer: "a", IsFirst: true, Output: []byte("0-4")},
		{After: 2, LastEvent: 6, Writer: "b", IsFirst: true, Output: []byte("3-6")},
		{After: 4, LastEvent: 7, Writer: "b", IsFirst: true, Output: []byte(",5-7")},
		{After: 9, LastEvent: 12, Writer: "b", Output: []byte("10-12")},
	} {
		joinCheckpoint(saved, c)
	}
	assert.Equal(t, "0-4,5-7", string(saved[0].Output))
	assert.Equal(t, int64(7), saved[0].LastEvent)
}

// TestCheckpointsOfARunThatWasNotAskedDoNotJoin has two VMs save up to the same event by chance: what the first saved next
// comes from a run that went on behind its own event, not behind the second's.
func TestCheckpointsOfARunThatWasNotAskedDoNotJoin(t *testing.T) {
	saved := map[int]Checkpoint{}
	for _, c := range []Checkpoint{
		{After: -1, LastEvent: 4, Writer: "a", IsFirst: true, Output: []byte("0-4")},
		{After: 4, LastEvent: 7, Writer: "b", IsFirst: true, Output: []byte(",5-7")},
		{After: 7, LastEvent: 9, Writer: "a", Output: []byte(",8-9")},
	} {
		joinCheckpoint(saved, c)
	}
	assert.Equal(t, "0-4,5-7", string(saved[0].Output))
}
