package jobmanager_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/jobrecorder"
)

// TestJobIsKeptDespiteOtherClocks guards against results that are deleted too early since the clock of the VM that accepted their
// job was behind that of the VM that deletes it.
func TestJobIsKeptDespiteOtherClocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, stop := newSimulation(t, plan{}, &history{})
		defer stop()
		p.store.Put("job", "3", "ended", jobrecorder.Job{
			ID: "ended", Tokens: []int64{1}, IsEnded: true, Submitted: time.Now().Add(-2 * keepFor).UnixMilli(),
		})
		time.Sleep(keepFor / 2)
		assert.Equal(t, http.StatusOK, p.read("ended").Status, "deleted before its time")
		time.Sleep(keepFor)
		assert.Equal(t, http.StatusNotFound, p.read("ended").Status)
	})
}
