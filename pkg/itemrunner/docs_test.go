package itemrunner

import (
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestEveryCauseOfAWaitIsDescribed checks that docs/OPERATIONS.md says what to do about each.
func TestEveryCauseOfAWaitIsDescribed(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	for _, cause := range waitCauses {
		assert.Contains(t, string(page), "`"+string(cause)+"`")
	}
	for _, gauge := range []string{"items_waiting", "items_waiting_oldest_ms"} {
		assert.Contains(t, string(page), "`"+gauge+"`")
	}
}
