//go:build knownred

package gossiper

import (
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"

	"github.com/dogwoodledge/dogwoodledge/pkg/balancer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/placer"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
	"github.com/dogwoodledge/dogwoodledge/pkg/watcher"
)

// TestRestartedVMIsLive checks that the reports of a VM restarted under the same name count, also if its new row arrives
// before them. It fails (KNOWN-RED.txt).
func TestRestartedVMIsLive(t *testing.T) {
	b := balancer.New("a", placer.Topology{}, rand.New(rand.NewPCG(1, 1)))
	g := New(Config{VM: "a", Incarnation: 1}, nil, b, logrus.New())
	from := netip.MustParseAddrPort("127.0.0.1:1")
	g.receive(message{VM: "b", Incarnation: 1, Sequence: 2000}, from)
	g.receive(message{VM: "b", Incarnation: 1, Sequence: 2001, IsLeaving: true}, from)
	row := []byte(`{"address":"127.0.0.1:1","incarnation":2,"region":""}`)
	g.applyTable(watcher.Update{Entries: []storer.Entry{{Table: VMTable, Key: "b", Version: 9, Value: row}}})
	for n := range 10 {
		g.receive(message{VM: "b", Incarnation: 2, Sequence: uint64(n + 1)}, from)
	}
	assert.Equal(t, Live, g.StateOf("b", 2))
	assert.Len(t, g.LiveVMs(), 2)
}
