package jobmanager

import (
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

// joined returns what is saved of the latest output of one item.
func joined(t *testing.T, list ...Checkpoint) Checkpoint {
	t.Helper()
	var rows []storer.Entry
	for n, c := range list {
		row, err := encodeCheckpoint("j", c)
		require.NoError(t, err)
		row.Version = int64(n + 1)
		rows = slices.DeleteFunc(rows, func(e storer.Entry) bool { return e.Key == row.Key })
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b storer.Entry) int { return strings.Compare(a.Key, b.Key) })
	outputs := savedOutputs{}
	for _, e := range rows {
		c, err := decodeCheckpoint(e)
		require.NoError(t, err)
		outputs.add(c)
	}
	c, _ := outputs.latest()
	return c
}

// TestCheckpointsOfTwoSoftwareVersionsAreNotJoined guards against an output that goes on with what an earlier run, at another
// software version, had saved.
func TestCheckpointsOfTwoSoftwareVersionsAreNotJoined(t *testing.T) {
	c := joined(
		t,
		Checkpoint{After: noEvent, LastEvent: 3, OutputID: "b", Software: 2, Output: []byte("new")},
		Checkpoint{After: 3, LastEvent: 7, OutputID: "a", Continues: "b", Software: 1, Output: []byte("old")},
		Checkpoint{After: 3, LastEvent: 5, OutputID: "b", Software: 2, Output: []byte(" one")},
	)
	assert.Equal(t, "new one", string(c.Output))
	assert.EqualValues(t, 2, c.Software)
	assert.EqualValues(t, 5, c.LastEvent)
}

// TestCheckpointsOfADiscardedOutputAreNotJoined guards against an output that goes on with the second part of the one that was
// discarded before it, at the same holder and software version.
func TestCheckpointsOfADiscardedOutputAreNotJoined(t *testing.T) {
	c := joined(
		t,
		Checkpoint{After: noEvent, LastEvent: 4, OutputID: "old", Output: []byte("old 0-4")},
		Checkpoint{After: 4, LastEvent: 9, OutputID: "old", Output: []byte("old 5-9")},
		Checkpoint{After: noEvent, LastEvent: 4, OutputID: "new", Output: []byte("new 0-4")},
	)
	assert.Equal(t, "new 0-4", string(c.Output))
	assert.Equal(t, "new", c.OutputID)
}

// TestCheckpointThatArrivesLateIsNotJoined writes a checkpoint of a former holder after two other VMs went on without it: the
// output of the second one continues that of the first, and not the late one, which ends at the same event.
func TestCheckpointThatArrivesLateIsNotJoined(t *testing.T) {
	c := joined(
		t,
		Checkpoint{After: noEvent, LastEvent: 4, OutputID: "b", Output: []byte("b 0-4,")},
		Checkpoint{After: 4, LastEvent: 7, OutputID: "c", Continues: "b", Output: []byte("c 5-7")},
		Checkpoint{After: noEvent, LastEvent: 4, OutputID: "late", Output: []byte("late 0-4,")},
	)
	assert.Contains(t, []string{"b 0-4,c 5-7", "late 0-4,"}, string(c.Output))
}

// TestCheckpointsOfEarlierBuildsAreNotJoined reads rows that name their writer only: those of one writer are one output, and it
// can't be told what the first one of another writer continues.
func TestCheckpointsOfEarlierBuildsAreNotJoined(t *testing.T) {
	outputs := savedOutputs{}
	for _, row := range []string{
		`{"item":0,"after":-1,"lastEvent":4,"writer":"a","isFirst":true}` + "\n0-4",
		`{"item":0,"after":4,"lastEvent":6,"writer":"a"}` + "\n,5-6",
		`{"item":0,"after":6,"lastEvent":9,"writer":"b","isFirst":true}` + "\n,7-9",
	} {
		c, err := decodeCheckpoint(storer.Entry{Value: []byte(row)})
		require.NoError(t, err)
		outputs.add(c)
	}
	c, ok := outputs.latest()
	require.True(t, ok)
	assert.Equal(t, "0-4,5-6", string(c.Output))
}

// TestCheckpointsThatContinueEachOther decodes rows of a cycle, which no VM writes.
func TestCheckpointsThatContinueEachOther(t *testing.T) {
	assert.Empty(t, joined(
		t,
		Checkpoint{After: 4, LastEvent: 7, OutputID: "a", Continues: "b"},
		Checkpoint{After: 4, LastEvent: 9, OutputID: "b", Continues: "a"},
		Checkpoint{After: 3, LastEvent: 9, OutputID: "c", Continues: "c"},
	))
}
