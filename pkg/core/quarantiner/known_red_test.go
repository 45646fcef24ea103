//go:build knownred

package quarantiner

import "testing"

// TestKnownRedScripts replays scripts that fail, see KNOWN-RED.txt.
func TestKnownRedScripts(t *testing.T) {
	replay(t, "testdata/known_red/*.txt")
}

// TestKnownRedBurstsOfRequests lets eight requests with the cause come at once, to random VMs, every ten seconds.
func TestKnownRedBurstsOfRequests(t *testing.T) {
	seldomTest{vms: 195, rate: 0.1, burst: 8, last: Duration}.run(t)
}
