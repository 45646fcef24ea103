package jobmanager

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestCheckpointsOfTwoSoftwareVersionsAreNotJoined guards against an output that goes on with what an earlier run, at another
// software version, had saved.
func TestCheckpointsOfTwoSoftwareVersionsAreNotJoined(t *testing.T) {
	saved := map[int]Checkpoint{}
	for _, c := range []Checkpoint{
		{After: noEvent, LastEvent: 3, Writer: "b", IsFirstOfWriter: true, Software: 2, Output: []byte("new")},
		{After: 3, LastEvent: 7, Writer: "a", IsFirstOfWriter: true, Software: 1, Output: []byte("old")},
		{After: 3, LastEvent: 5, Writer: "b", Software: 2, Output: []byte(" one")},
	} {
		joinCheckpoint(saved, c)
	}
	assert.Equal(t, "new one", string(saved[0].Output))
	assert.EqualValues(t, 2, saved[0].Software)
	assert.EqualValues(t, 5, saved[0].LastEvent)
}
