package bencher

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestVerdictIsTheSame runs a scenario twice: virtual time and fixed seeds give the same report to the letter.
func TestVerdictIsTheSame(t *testing.T) {
	first, second := &bytes.Buffer{}, &bytes.Buffer{}
	for _, out := range []*bytes.Buffer{first, second} {
		Main([]string{"idle", "flood", "herd", "tide", "loss"}, out)
	}
	assert.Equal(t, first.String(), second.String())
	assert.NotEmpty(t, first.String())
}

func TestFloodIsNotFelt(t *testing.T) {
	out := &bytes.Buffer{}
	assert.Zero(t, Main([]string{"flood"}, out), out.String())
}

func TestNoLiveVMIsCalledLost(t *testing.T) {
	g := gossipAt(sizeToCom)
	perVM, _ := g.run()
	assert.Zero(t, g.lostSeen)
	assert.LessOrEqual(t, perVM, mostControl)
}

func TestUnknownScenarioIsNamed(t *testing.T) {
	assert.Equal(t, 2, Main([]string{"no-such"}, &strings.Builder{}))
}
