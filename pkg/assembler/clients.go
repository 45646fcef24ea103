package assembler

import (
	"sync/atomic"

	"github.com/dogwoodledge/dogwoodledge/pkg/acceptor"
	"github.com/dogwoodledge/dogwoodledge/pkg/bodyreader"
	"github.com/dogwoodledge/dogwoodledge/pkg/delegator"
	"github.com/dogwoodledge/dogwoodledge/pkg/loader"
	"github.com/dogwoodledge/dogwoodledge/pkg/messenger"
	"github.com/dogwoodledge/dogwoodledge/pkg/peersyncer"
	"github.com/dogwoodledge/dogwoodledge/platform"
)

// clientLimits returns what clients may take of the VM.
func clientLimits(s platform.Settings) acceptor.ClientLimits {
	return acceptor.VM{
		Memory: s.MemoryBytes, Descriptors: s.FileDescriptors,
		Peers: peersyncer.MaxConnections + delegator.MaxConnections + delegator.MaxRequests,
		Stall: s.ClientStall, Bytes: s.ClientBytes, Connections: s.ClientConnections,
	}.Limits()
}

// serverLimits returns what clients of the product's own interface may take of the VM.
func serverLimits(s loader.Settings) acceptor.ClientLimits {
	return acceptor.VM{
		Memory: int64(s.Clients.MemoryMb) << 20, Descriptors: s.Clients.Descriptors, Peers: messenger.MaxConnections,
		Stall: s.Clients.StallTime,
	}.Limits()
}

func newServerBodies(s loader.Settings) *bodyreader.Reader {
	return bodyreader.New(serverLimits(s).Budget)
}

func newBodies(s platform.Settings) *bodyreader.Reader { return bodyreader.New(clientLimits(s).Budget) }

// exportClients exports what is held for clients, the counters of those that were refused or closed, and the waits of items.
func (g *gateway) exportClients() error {
	for name, value := range map[string]func() int64{
		"client_bytes_held": g.Bodies.Held, "client_connections": g.Listener.Connections.Open.Load,
		"vm_connections": g.PeerSyncer.Connections.Open.Load, "output_bytes_held": g.ItemRunner.OutputBytes,
	} {
		if err := g.Meter.Gauge(name, clientGauges[name], value); err != nil {
			return err
		}
	}
	b := &g.Bodies.Counters
	for _, c := range []struct {
		name, description string
		counter           *atomic.Int64
	}{
		{"client_no_room", "requests refused with 503 since the budget of bytes was used up", &b.NoRoom},
		{"client_shed", "incomplete bodies given up for others since they made no progress", &b.Shed},
		{"client_stalled", "bodies refused with 408 since they made no progress for too long", &b.Stalled},
	} {
		if err := g.Meter.Count(c.name, c.description, c.counter.Load); err != nil {
			return err
		}
	}
	if err := g.exportConnections("client", &g.Listener.Connections); err != nil {
		return err
	}
	if err := g.exportConnections("delegation", &g.Delegator.Connections); err != nil {
		return err
	}
	if err := g.exportConnections("vm", &g.PeerSyncer.Connections); err != nil {
		return err
	}
	return g.exportWaits()
}

// exportWaits exports what batch items wait for.
func (g *gateway) exportWaits() error {
	if err := g.Meter.GaugesBy("items_waiting",
		"batch items of this VM that wait, by what they wait for", "cause", g.ItemRunner.WaitingItems); err != nil {
		return err
	}
	return g.Meter.GaugesBy("items_waiting_oldest_ms",
		"ms since the first of the waiting items had its last run or came to this VM, by what it waits for", "cause",
		g.ItemRunner.OldestWaits)
}

var clientGauges = map[string]string{
	"client_bytes_held":  "bytes of the budget that are held for callers",
	"client_connections": "open connections of callers, readiness checks and the scraper",
	"vm_connections":     "open connections of other VMs",
	"output_bytes_held":  "bytes of outputs of batch items that have not ended or are not written yet",
}

// exportConnections exports the counters of ports; whose names their clients.
func (g *gateway) exportConnections(whose string, n *acceptor.Counters) error {
	for _, c := range []struct {
		name, description string
		counter           *atomic.Int64
	}{
		{"connections_refused", "connections closed at once since there were too many", &n.Refused},
		{"connections_evicted", "connections without a request closed for new ones", &n.Evicted},
		{"heads_no_room", "large heads refused with 503 since the budget of bytes was used up", &n.NoRoom},
		{"heads_too_large", "heads refused with 431 before their end", &n.HeadsTooLarge},
		{"heads_too_slow", "heads refused with 408", &n.HeadsTooSlow},
		{"answers_stalled", "connections closed since their callers took nothing of an answer", &n.AnswersStalled},
	} {
		if err := g.Meter.Count(whose+"_"+c.name, c.description, c.counter.Load); err != nil {
			return err
		}
	}
	return nil
}
