package assembler

import (
	"context"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// gauge is one observable metric; docs/OPERATORS.md describes each.
type gauge struct {
	name  string
	help  string
	value func() int64
}

func (p *parts) gauges() []gauge {
	return []gauge{
		{"dogwoodledge.config.revision", "Revision of the configuration in force", func() int64 {
			return p.Follower.Current().Head.Revision
		}},
		{"dogwoodledge.config.fetches.peer", "Snapshots fetched from peers", p.Follower.PeerFetches.Load},
		{"dogwoodledge.config.fetches.store", "Snapshots fetched from the store", p.Follower.StoreFetches.Load},
		{"dogwoodledge.members.live", "Live VMs as this VM sees them", func() int64 {
			return int64(len(p.Membership.View().Live("")))
		}},
		{"dogwoodledge.clients.bytes.held", "Bytes held for callers", p.Bodies.Held},
		{"dogwoodledge.clients.noroom", "Requests refused since the budget of bytes was used up", p.Bodies.Counters.NoRoom.Load},
		{"dogwoodledge.clients.shed", "Incomplete bodies given up for others", p.Bodies.Counters.Shed.Load},
		{"dogwoodledge.clients.stalled", "Bodies refused since they came too slowly", p.Bodies.Counters.Stalled.Load},
		{"dogwoodledge.connections.open", "Open connections of callers and operators", p.Server.Connections.Open.Load},
		{"dogwoodledge.connections.refused", "Connections closed since there were too many", p.Server.Connections.Refused.Load},
		{"dogwoodledge.connections.evicted", "Connections without a request closed for new ones", p.Server.Connections.Evicted.Load},
		{"dogwoodledge.heads.toolarge", "Heads refused with 431 before their end", p.Server.Connections.HeadsTooLarge.Load},
		{"dogwoodledge.heads.tooslow", "Heads refused with 408", p.Server.Connections.HeadsTooSlow.Load},
		{"dogwoodledge.answers.stalled", "Connections closed since the answer was not taken", p.Server.Connections.AnswersStalled.Load},
		{"dogwoodledge.vm.dropped", "Messages of VMs without a good authenticator", p.Auth.Dropped},
		{"dogwoodledge.vm.datagrams.sent", "Datagrams sent", p.Membership.Counters.Sent.Load},
		{"dogwoodledge.vm.datagrams.bytes", "Bytes of datagrams sent", p.Membership.Counters.SentBytes.Load},
		{"dogwoodledge.vm.datagrams.malformed", "Datagrams that can't be read", p.Membership.Counters.Malformed.Load},
		{"dogwoodledge.store.reads", "Reads of the table service", func() int64 { return p.TableStore.Counts().Reads }},
		{"dogwoodledge.store.writes", "Writes to the table service", func() int64 { return p.TableStore.Counts().Writes }},
		{"dogwoodledge.store.objects", "Object calls", func() int64 { return p.TableStore.Counts().Objects }},
		{"dogwoodledge.store.failures", "Calls of the platform without an answer", func() int64 {
			return p.TableStore.Counts().Failures
		}},
		{"dogwoodledge.link.bulk.sent", "Bytes of objects sent", func() int64 { sent, _ := p.RateLimitedStore.Bytes(); return sent }},
		{"dogwoodledge.link.bulk.received", "Bytes of objects received", func() int64 {
			_, got := p.RateLimitedStore.Bytes()
			return got
		}},
		{"dogwoodledge.keeper.granted", "Slots granted", p.Granter.Granted.Load},
		{"dogwoodledge.keeper.refused", "Slots refused", p.Granter.Refused.Load},
		{"dogwoodledge.keeper.parked", "Batch items that yielded", p.Granter.Preempted.Load},
		{"dogwoodledge.online.requests", "Requests dispatched", p.Dispatcher.Counts.Requests.Load},
		{"dogwoodledge.online.attempts", "Attempts at endpoints", p.Dispatcher.Counts.Attempts.Load},
		{"dogwoodledge.online.retries", "Retries", p.Dispatcher.Counts.Retries.Load},
		{"dogwoodledge.online.budget.spent", "Retries refused by the budget", p.Dispatcher.Counts.BudgetSpent.Load},
		{"dogwoodledge.batch.items.done", "Batch items completed", p.SegmentRunner.Counts.ItemsDone.Load},
		{"dogwoodledge.batch.items.failed", "Batch items that ended in an error", p.SegmentRunner.Counts.ItemsFailed.Load},
		{"dogwoodledge.batch.items.retried", "Attempts of batch items that failed", p.SegmentRunner.Counts.ItemsRetried.Load},
		{"dogwoodledge.batch.segments.claimed", "Segments claimed", p.SegmentRunner.Counts.SegmentsClaimed.Load},
		{"dogwoodledge.batch.segments.committed", "Segments committed", p.SegmentRunner.Counts.SegmentsCommitted.Load},
		{"dogwoodledge.batch.segments.lost", "Segments lost to another holder", p.SegmentRunner.Counts.SegmentsLost.Load},
	}
}

func (p *parts) registerMetrics() error {
	meter := otel.Meter("daemon")
	for _, g := range p.gauges() {
		observe := func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(g.value())
			return nil
		}
		if _, err := meter.Int64ObservableGauge(g.name, metric.WithDescription(g.help), metric.WithInt64Callback(observe)); err != nil {
			return errors.Wrap(err, "register metrics")
		}
	}
	return p.registerLoads(meter)
}

// registerLoads registers the gauge of slots by use for each endpoint whose slot allocator runs on this VM.
func (p *parts) registerLoads(meter metric.Meter) error {
	observe := func(_ context.Context, o metric.Int64Observer) error {
		for name, l := range p.Granter.Loads() {
			attr := func(what string) metric.MeasurementOption {
				return metric.WithAttributes(attribute.String("endpoint", name), attribute.String("what", what))
			}
			o.Observe(int64(l.Online), attr("online"))
			o.Observe(int64(l.Queued), attr("queued"))
			o.Observe(int64(l.Batch), attr("batch"))
			o.Observe(int64(l.Slots), attr("slots"))
		}
		return nil
	}
	_, err := meter.Int64ObservableGauge("dogwoodledge.endpoint.slots",
		metric.WithDescription("Slots of kept endpoints by use"), metric.WithInt64Callback(observe))
	return errors.Wrap(err, "register metrics")
}
