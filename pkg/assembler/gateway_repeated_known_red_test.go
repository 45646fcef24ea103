//go:build knownred

package assembler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestRequestIsNotSentAgainWhileItsThirdEndIsConfirmed sends a request that crashes endpoints twice at one VM, which may send it
// to two endpoints each time.
func TestRequestIsNotSentAgainWhileItsThirdEndIsConfirmed(t *testing.T) {
	f := newFragileFleet(t, 1, 6, "app")
	f.backTime = time.Minute
	f.repeat(2, "/status/7")
	time.Sleep(time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	require.GreaterOrEqual(t, f.crashes, 3)
	assert.Equal(t, 3, f.crashes, "the request was sent on after three endpoints had ended under it")
}
