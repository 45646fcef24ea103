package bencher

import (
	"bytes"
	"image/png"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestVerdictIsTheSame runs scenarios twice: virtual time and fixed seeds must give identical reports.
func TestVerdictIsTheSame(t *testing.T) {
	first, second := &bytes.Buffer{}, &bytes.Buffer{}
	for _, out := range []*bytes.Buffer{first, second} {
		Main([]string{"idle", "flood", "herd", "tide", "loss"}, out)
	}
	assert.Equal(t, first.String(), second.String())
	assert.NotEmpty(t, first.String())
}

// TestFloodDoesNotSlowOthers runs scenario flood: one account's excess load must not slow down the others.
func TestFloodDoesNotSlowOthers(t *testing.T) {
	out := &bytes.Buffer{}
	assert.Zero(t, Main([]string{"flood"}, out), out.String())
}

// TestNoLiveVMIsReportedLost runs the gossip of the larger fleet with lost datagrams: no VM may be reported lost, and the
// traffic must stay within its bound.
func TestNoLiveVMIsReportedLost(t *testing.T) {
	g := gossipAt(sizeToCome)
	perVM, _ := g.run()
	assert.Zero(t, g.falselyLost)
	assert.LessOrEqual(t, perVM, maxControlBytesPerSecond)
}

func TestUnknownScenarioIsNamed(t *testing.T) {
	assert.Equal(t, 2, Main([]string{"no-such"}, &strings.Builder{}))
}

// TestRecordedDaysAreCompared prints and plots the two days of testdata.
func TestRecordedDaysAreCompared(t *testing.T) {
	out, file := &bytes.Buffer{}, filepath.Join(t.TempDir(), "days.png")
	code := Main([]string{"--day", "testdata/before.json", "--day", "testdata/after.json", "--plot", file}, out)
	assert.Zero(t, code)
	assert.Contains(t, out.String(), "testdata/before.json: worth 0.700\n")
	assert.Contains(t, out.String(), "  second 6: worth 0.900, p50 53 ms, p99 120 ms, 100 requests\n")
	raw, err := os.ReadFile(file)
	require.NoError(t, err)
	picture, err := png.DecodeConfig(bytes.NewReader(raw))
	require.NoError(t, err)
	assert.Greater(t, picture.Height, picture.Width/2)
	for _, bad := range []string{"testdata/none.json", "bencher_test.go"} {
		assert.Equal(t, 2, Main([]string{"--day", bad}, out), bad)
	}
}
