package assembler_test

import (
	"io"
	"net/http"
	"regexp"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// gaugeOf returns the largest value that the VM exports of a gauge for the cause.
func (vm *testVM) gaugeOf(t *testing.T, name, cause string) int {
	t.Helper()
	res, err := http.Get("http://" + vm.ip.String() + ":7661/metrics")
	require.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	page, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	highest := -1
	line := regexp.MustCompile(`(?m)^` + name + `\{[^}]*cause="` + cause + `"[^}]*\} ([0-9.e+]+)$`)
	for _, m := range line.FindAllStringSubmatch(string(page), -1) {
		value, err := strconv.ParseFloat(m[1], 64)
		require.NoError(t, err)
		highest = max(highest, int(value))
	}
	return highest
}

// TestMetricsSayForWhatItemsWait submits a job whose items no engine takes. It runs alone: the VMs of a process share the place
// that they export their metrics to.
func TestMetricsSayForWhatItemsWait(t *testing.T) {
	f := newFleet(t, 1)
	for _, e := range f.endpoints {
		e.Close()
	}
	require.Equal(t, http.StatusAccepted, f.submit(f.vms[0], newID("job"), newItems(3)).status)
	isSaid := func() bool {
		return f.vms[0].gaugeOf(t, "items_waiting", "no slot") >= 3 && f.vms[0].gaugeOf(t, "items_waiting_oldest_ms", "no slot") >= 1000
	}
	require.Eventually(t, isSaid, maxWait, 100*time.Millisecond, "items that wait are not counted")
	require.GreaterOrEqual(t, f.vms[0].gaugeOf(t, "items_waiting", "no configuration"), 0, "a cause without items has no value")
}
