package hasher

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestPickSpreadsKeys picks one of 300 VMs for each of 3,000 engines: each engine gets one VM, and no VM many.
func TestPickSpreadsKeys(t *testing.T) {
	var ids []string
	for i := range 300 {
		ids = append(ids, fmt.Sprintf("vm-%03d", i))
	}
	got := map[string]int{}
	for i := range 3000 {
		got[Pick(fmt.Sprintf("engine-%d", i), ids)]++
	}
	for _, id := range ids {
		assert.LessOrEqual(t, got[id], 30, id)
	}
	assert.Empty(t, Pick("engine", nil))
}
