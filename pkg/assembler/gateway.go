package assembler

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"reflect"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/dogwoodledge/dogwoodledge/pkg/admitter"
	"github.com/dogwoodledge/dogwoodledge/pkg/balancer"
	"github.com/dogwoodledge/dogwoodledge/pkg/bodyreader"
	"github.com/dogwoodledge/dogwoodledge/pkg/clocker"
	"github.com/dogwoodledge/dogwoodledge/pkg/confirmer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/authenticator"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/drainer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/placer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/ratelimiter"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/delegator"
	"github.com/dogwoodledge/dogwoodledge/pkg/dialer"
	"github.com/dogwoodledge/dogwoodledge/pkg/gossiper"
	"github.com/dogwoodledge/dogwoodledge/pkg/isolator"
	"github.com/dogwoodledge/dogwoodledge/pkg/itemrunner"
	"github.com/dogwoodledge/dogwoodledge/pkg/jobmanager"
	"github.com/dogwoodledge/dogwoodledge/pkg/listener"
	"github.com/dogwoodledge/dogwoodledge/pkg/loader"
	"github.com/dogwoodledge/dogwoodledge/pkg/peersyncer"
	"github.com/dogwoodledge/dogwoodledge/pkg/prober"
	"github.com/dogwoodledge/dogwoodledge/pkg/ratesharer"
	"github.com/dogwoodledge/dogwoodledge/pkg/relayer"
	"github.com/dogwoodledge/dogwoodledge/pkg/resumer"
	"github.com/dogwoodledge/dogwoodledge/pkg/scout"
	"github.com/dogwoodledge/dogwoodledge/pkg/sleeper"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
	"github.com/dogwoodledge/dogwoodledge/pkg/tracer"
	"github.com/dogwoodledge/dogwoodledge/pkg/watcher"
	"github.com/dogwoodledge/dogwoodledge/platform"
)

const (
	// metricsPort must match deploy/system.toml.
	metricsPort = 7661
	metricsPath = "/metrics"
	// sweepEvery is how often idle connections to endpoints are closed.
	sweepEvery = time.Second
	// memoryShare is the part of the VM's memory that the Go heap may use, as a soft limit; the rest is left for stacks and
	// sockets.
	memoryShare = 0.6
	// stopMarginShare is the part of the grace period that is left for the final steps of the shutdown.
	stopMarginShare = 0.12
	// endShare is the part of the grace period in which the requests that are unanswered at the end of a stop get their answers;
	// it is taken from the margin.
	endShare = 0.03
	// unreadyPropagationTime is how long the platform's load balancer takes to observe that a VM is not ready: two readiness
	// checks, one a second.
	unreadyPropagationTime = 2200 * time.Millisecond
	stopPoll               = 20 * time.Millisecond
	// reloadEvery is how often the settings file is read again without a SIGHUP.
	reloadEvery = 5 * time.Second
	// gatewayStopTimeout is the limit that fx sets for a stop. It is no grace period: stop ends by the one that is active when
	// the stop begins.
	gatewayStopTimeout = time.Hour
	// closeTimeout bounds the wait for the listener to stop, and then the wait for the log to be written.
	closeTimeout = 100 * time.Millisecond
)

// gatewayParts are the components of the daemon on the users' platform, filled in by fx.
type gatewayParts struct {
	fx.In

	Settings   platform.Settings
	HangUps    hangUps
	Log        logrus.FieldLogger
	LogQueue   *tracer.LogQueue
	Store      *platform.Store
	Watcher    *watcher.Watcher
	Balancer   *balancer.Balancer
	Gossiper   *gossiper.Gossiper
	PeerSyncer *peersyncer.Syncer
	Endpoints  *peersyncer.Table
	Config     configTable
	Prober     *prober.Prober
	Pool       *dialer.Pool
	Isolator   *isolator.Isolator
	Admitter   *admitter.Admitter
	Resumer    *resumer.Resumer
	RateSharer *ratesharer.Sharer
	JobManager *jobmanager.Manager
	ItemRunner *itemrunner.Runner
	Bodies     *bodyreader.Reader
	Listener   *listener.Listener
	Relayer    *relayer.Relayer
	Scout      *scout.Scout
	Delegator  *delegator.Delegator
	Peers      *peerPool
	Meter      *tracer.Meter
}

// hangUps receives SIGHUP.
type hangUps <-chan os.Signal

func newHangUps() hangUps { return receive(syscall.SIGHUP) }

// NewGateway returns the daemon for the users' platform with these settings, not yet started.
//
// It sets the process's memory limit. The options replace components in tests.
func NewGateway(s platform.Settings, opts ...fx.Option) *fx.App {
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	return fx.New(
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(gatewayStopTimeout),
		fx.Supply(s),
		fx.Provide(
			newRandom, newHangUps, newLogQueue, newGatewayLog, newGatewayTracer, tracer.NewMeter, newStore, newTable, newEndpointTable,
			newConfigTable, newWatcher, newBalancer, newGossiper, newBodies, newPeerSyncer, newProber, newPool, newIsolator,
			newConfirmer, newResumer,
			newRateSharer, newAdmitter, newRelayer, newJobManager, newItemRunner, newListener, newScout, newDelegator, newPeerPool,
		),
		fx.Invoke(runGateway),
		fx.Options(opts...),
	)
}

func newLogQueue() *tracer.LogQueue { return tracer.NewLogQueue(os.Stdout) }

func newGatewayLog(s platform.Settings, q *tracer.LogQueue) logrus.FieldLogger {
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	log.SetOutput(q)
	return log.WithFields(logrus.Fields{"vm": s.VM.ID})
}

func newGatewayTracer(s platform.Settings) (*tracer.Tracer, error) {
	return tracer.New(loader.Settings{VM: s.VM})
}

func newStore(s platform.Settings) *platform.Store { return platform.NewStore(s.Store, s.VM.ID) }

func newTable(s *platform.Store) storer.Table { return s }

// newEndpointTable returns the store with the table of endpoints read from other VMs while it is large.
func newEndpointTable(
	s platform.Settings, t storer.Table, g *gossiper.Gossiper, log logrus.FieldLogger,
) *peersyncer.Table {
	return peersyncer.NewTable(peersyncer.TableConfig{
		Name: platform.EndpointTable, Zone: s.VM.AvailabilityZone, IsLarge: g.HasManyEndpoints(), OnLarge: g.SetManyEndpoints,
	}, t, g, peersyncer.NewConnections(), log)
}

// configTable is the store with the configuration read from other VMs in a region of many VMs.
type configTable struct{ *peersyncer.Table }

func newConfigTable(
	s platform.Settings, t *peersyncer.Table, g *gossiper.Gossiper, log logrus.FieldLogger,
) configTable {
	return configTable{peersyncer.NewTable(peersyncer.TableConfig{
		Name: platform.OperatorTable, Zone: s.VM.AvailabilityZone, HasLargeRow: true,
	}, t, g, peersyncer.NewConfigConnections(), log)}
}

func newWatcher(
	t *peersyncer.Table, c configTable, b *balancer.Balancer, g *gossiper.Gossiper, rs *resumer.Resumer, log logrus.FieldLogger,
) *watcher.Watcher {
	onChange := func(r *registrar.Registry) {
		rs.Observe(r)
		b.Configure(r)
		g.AnnounceConfig(r.ConfigRow.Version)
		t.ObserveRows(len(r.Endpoints))
	}
	return watcher.New(c, watcher.Decoder{
		ConfigTable: platform.OperatorTable, ConfigKey: platform.ConfigKey, EndpointTable: platform.EndpointTable,
		Config: platform.DecodeConfig, Endpoint: platform.DecodeEndpoint,
	}, onChange, log)
}

func newBalancer(
	s platform.Settings, g *gossiper.Gossiper, source func() *rand.Rand, log logrus.FieldLogger,
) *balancer.Balancer {
	return balancer.New(balancer.Config{
		VM: s.VM.ID, Incarnation: g.Incarnation(),
		Topology: placer.Topology{AvailabilityZone: s.VM.AvailabilityZone, Regions: s.Regions},
	}, g, source(), log)
}

func newGossiper(
	s platform.Settings, t storer.Table, source func() *rand.Rand, log logrus.FieldLogger,
) *gossiper.Gossiper {
	previous, err := gossiper.ReadPrevious(context.Background(), t, s.VM.ID, time.Now())
	if err != nil {
		log.WithError(err).Warn("row of this VM's earlier process not read; the incarnation is that of the clock")
	}
	return gossiper.New(gossiper.Config{
		VM: s.VM.ID, Incarnation: previous.NextIncarnation, Address: netip.AddrPortFrom(s.IP, s.FirstPort),
		Region: s.VM.Region, AvailabilityZone: s.VM.AvailabilityZone, Capacity: s.Cores, HasManyEndpoints: previous.HadManyEndpoints,
	}, t, source(), log)
}

// leavingNotifier marks endpoints that said that they leave, and notifies the peers of those that it had not marked before.
func leavingNotifier(w *watcher.Watcher, g *gossiper.Gossiper) func(registrar.Endpoint) {
	return func(e registrar.Endpoint) {
		if w.MarkLeaving(e.LeavingKey()) {
			g.AnnounceLeaving(e.LeavingKey())
		}
	}
}

func newPeerSyncer(
	s platform.Settings, w *watcher.Watcher, t *peersyncer.Table, c configTable, g *gossiper.Gossiper, i *isolator.Isolator,
	log logrus.FieldLogger,
) *peersyncer.Syncer {
	p := peersyncer.New(netip.AddrPortFrom(s.IP, s.FirstPort), w, g, log, i)
	p.PassOn(t, s.VM.AvailabilityZone)
	p.PassConfigOn(c.Table, s.VM.AvailabilityZone)
	return p
}

func newProber(
	s platform.Settings, w *watcher.Watcher, g *gossiper.Gossiper, b *balancer.Balancer, p *dialer.Pool,
	log logrus.FieldLogger,
) *prober.Prober {
	return prober.New(s.VM.ID, platform.ReportProtocol(), w.Current, g, b, p, log)
}

func newPool(w *watcher.Watcher, g *gossiper.Gossiper) *dialer.Pool {
	return dialer.NewPool(func(endpoint string) int { return w.Current().IdleShare(endpoint, g.VMCount()) })
}

func newIsolator(
	t storer.Table, p *dialer.Pool, w *watcher.Watcher, g *gossiper.Gossiper, log logrus.FieldLogger,
) *isolator.Isolator {
	rank := func(part string) (int, int) {
		return gossiper.RankOf(isolator.Table+" "+part, g.LiveVMs(), g.Incarnation())
	}
	return isolator.New(t, p, w.Current, rank, log)
}

func newConfirmer(p *dialer.Pool, w *watcher.Watcher) *confirmer.Confirmer {
	return confirmer.New(platform.ConfirmProtocol(), w.Current, p)
}

func newResumer(
	s platform.Settings, t storer.Table, g *gossiper.Gossiper, log logrus.FieldLogger,
) *resumer.Resumer {
	rank := func(service string) int {
		rank, _ := gossiper.RankOf(resumer.Table+" "+service, g.LiveVMs(), g.Incarnation())
		return rank
	}
	return resumer.New(s.VM.ID, g, t, rank, log)
}

// revocation returns the policy for revoked keys.
func revocation(s platform.Settings) authenticator.Policy {
	return authenticator.Policy{IsStrict: s.IsRevocationStrict, RevokeAfter: s.RevokeAfter}
}

func newAdmitter(
	s platform.Settings, w *watcher.Watcher, rs *ratesharer.Sharer, m *tracer.Meter, log logrus.FieldLogger,
) *admitter.Admitter {
	h := platform.Headers()
	a := admitter.New(
		admitter.Headers{RequestID: h.RequestID, Credentials: h.Credentials}, revocation(s), w.Current, w.ConfigAsOf, clocker.Now,
		rs, m, log)
	w.SetMaxConfigWatch(a.MaxWatch)
	return a
}

func newRateSharer(s platform.Settings, g *gossiper.Gossiper, log logrus.FieldLogger) *ratesharer.Sharer {
	return ratesharer.New(ratelimiter.Config{
		VM: s.VM.ID, Incarnation: g.Incarnation(), Window: s.QuotaWindow, Overage: s.QuotaOverage, Slack: s.QuotaSlack,
	}, g, log)
}

func newRelayer(
	w *watcher.Watcher, g *gossiper.Gossiper, b *balancer.Balancer, p *dialer.Pool, i *isolator.Isolator,
	c *confirmer.Confirmer, rs *resumer.Resumer, a *admitter.Admitter, bodies *bodyreader.Reader, sc *scout.Scout,
	d *delegator.Delegator, peers *peerPool, m *tracer.Meter, log logrus.FieldLogger,
) *relayer.Relayer {
	rl := relayer.New(platform.Headers(), w.Current, b, p, i, c, rs, a, leavingNotifier(w, g), m, log)
	rl.SetBodies(bodies)
	rl.SetHandover(relayer.Handover{Links: sc, Delegator: d, Pool: peers.Pool, HasPeers: d.HasPeers})
	return rl
}

func newJobManager(
	s platform.Settings, t storer.Table, w *watcher.Watcher, g *gossiper.Gossiper, bodies *bodyreader.Reader,
	log logrus.FieldLogger,
) *jobmanager.Manager {
	return jobmanager.New(jobmanager.Config{
		VM: s.VM.ID, Incarnation: g.Incarnation(), RowBytes: s.RowBytes,
		KeepFor: s.JobStatus + jobmanager.KeepMargin, Bodies: bodies,
	}, t, platform.JobCodec{}, w.Current, g, log)
}

func newItemRunner(
	s platform.Settings, jm *jobmanager.Manager, w *watcher.Watcher, g *gossiper.Gossiper, b *balancer.Balancer, p *dialer.Pool,
	i *isolator.Isolator, c *confirmer.Confirmer, rs *resumer.Resumer, bodies *bodyreader.Reader, m *tracer.Meter,
	log logrus.FieldLogger,
) *itemrunner.Runner {
	r := itemrunner.New(platform.Headers(), jm, w.Current, b, p, i, c, rs.OnlySoftware, leavingNotifier(w, g), m, log)
	r.SetBodies(bodies)
	r.SetOutputLimit(clientLimits(s).Outputs)
	return r
}

func newListener(
	s platform.Settings, w *watcher.Watcher, g *gossiper.Gossiper, rl *relayer.Relayer, jm *jobmanager.Manager,
	bodies *bodyreader.Reader, sc *scout.Scout, d *delegator.Delegator, t *tracer.Tracer, log logrus.FieldLogger,
) *listener.Listener {
	return listener.New(listener.Config{
		Callers: s.Callers, Ready: s.Ready, ReadyPath: platform.ReadyPath,
		Metrics: netip.AddrPortFrom(s.IP, metricsPort), MetricsPath: metricsPath,
		HasPeers: g.HasVMList, IsAway: isAway(sc, d), Limits: clientLimits(s), Bodies: bodies,
	}, w.Current, rl, jm, t.Handler(), log)
}

// gateway is the daemon running on the users' platform.
type gateway struct {
	gatewayParts
	ctx    context.Context
	cancel context.CancelFunc
	// active holds the settings that were last read without an error.
	active atomic.Pointer[platform.Settings]
}

func runGateway(lc fx.Lifecycle, p gatewayParts) {
	ctx, cancel := context.WithCancel(context.Background())
	g := &gateway{gatewayParts: p, ctx: ctx, cancel: cancel}
	g.active.Store(&p.Settings)
	lc.Append(fx.Hook{OnStart: g.start, OnStop: g.stop})
}

func (g *gateway) start(context.Context) error {
	g.Gossiper.SetHandler(gossiper.Handler{
		Payload:         g.receivePayload,
		EndpointLeaving: func(key string) { g.Watcher.MarkLeaving(key) },
		ConfigLearned:   g.PeerSyncer.ConfigLearned,
	})
	g.Resumer.SetSource(g.Watcher)
	if err := g.exportCounters(); err != nil {
		return err
	}
	g.Watcher.Start(g.ctx)
	g.Balancer.Start(g.ctx)
	if err := g.Gossiper.Start(g.ctx); err != nil {
		return err
	}
	if err := g.PeerSyncer.Start(g.ctx); err != nil {
		return err
	}
	g.Bodies.Start(g.ctx)
	g.Isolator.Start(g.ctx)
	g.Resumer.Start(g.ctx)
	g.RateSharer.Start(g.ctx)
	g.Prober.Start(g.ctx)
	g.Scout.OnChange(g.linksChanged)
	g.Scout.Start(g.ctx)
	g.Delegator.SetHandler(http.HandlerFunc(g.Relayer.ServeDelegated))
	if err := g.Delegator.Start(context.Background()); err != nil {
		return err
	}
	g.JobManager.Start(g.ctx)
	g.ItemRunner.Start(g.ctx)
	go g.runSweep()
	go g.runReload()
	if err := g.Listener.Start(); err != nil {
		return err
	}
	g.Log.WithFields(logrus.Fields{
		"availabilityZone": g.Settings.VM.AvailabilityZone, "callers": g.Settings.Callers.String(),
		"store": g.Settings.Store.String(),
	}).Info("started")
	return nil
}

// receivePayload passes a payload of another VM to the component that it is for.
func (g *gateway) receivePayload(payload []byte) {
	if !g.Resumer.Receive(payload) && !g.RateSharer.Receive(payload) && !g.Scout.Receive(g.ctx, payload) {
		g.Balancer.Receive(payload)
	}
}

// exportCounters exports the counters of the messages between VMs and of the quarantine.
func (g *gateway) exportCounters() error {
	b, m, i, rs := &g.Balancer.Counters, &g.Gossiper.Counters, &g.Isolator.Counters, &g.Resumer.Counters
	q := &g.RateSharer.Counters
	for _, c := range []struct {
		name, description string
		counter           *atomic.Int64
	}{
		{"assigner_reports", "reports sent to assigners, with and without a question", &b.Reports},
		{"assigner_orders", "messages with orders and replies sent by the assigners of this VM", &b.Orders},
		{"assigner_unanswered", "questions to assigners without a reply in time", &b.Unanswered},
		{"assigner_alone", "online requests placed without an assigner's reply", &b.Alone},
		{"assigner_held", "times that a retry waited at this VM for a slot", &b.Held},
		{
			"assigner_lowered", "questions over which accounts within their share, or more urgent requests, had precedence",
			&b.Lowered,
		},
		{"assigner_ignored", "orders ignored: repeated, or of a former assigner", &b.Ignored},
		{"assigner_malformed", "messages that can't be decoded or are about unknown groups", &b.Malformed},
		{"endpoint_limits", "answers in which an endpoint named a rate limit", &b.Limited},
		{"datagrams_sent", "datagrams sent to other VMs", &m.Sent},
		{"datagrams_received", "datagrams received from other VMs", &m.Received},
		{"datagrams_malformed", "datagrams dropped because they can't be decoded", &m.Malformed},
		{"quarantine_strikes", "endpoints that ended under a request, by part of its prompt", &i.Strikes},
		{"quarantine_parts", "parts of prompts that were quarantined", &i.Quarantined},
		{"resumed_known", "resumed streams of which it is known which software version began them", &rs.Known},
		{"resumed_unknown", "resumed streams that were refused, since it can't be told which software version began them", &rs.Unknown},
		{"resumer_malformed", "messages about the beginnings of streams that can't be decoded", &rs.Malformed},
		{"rate_questions", "questions to the coordinators of accounts on other VMs", &q.Questions},
		{"rate_answers", "answers of this VM as the coordinator of accounts", &q.Answers},
		{"rate_notifications", "messages to other VMs that an account is metered", &q.Notifications},
		{"rate_claims", "messages that this VM has become the coordinator of an account", &q.Claims},
		{"rate_refused", "requests refused because of their account's rate", &q.Refused},
		{"rate_alone", "requests refused because no coordinator of their account was reached", &q.Alone},
		{"rate_metered", "how often this VM, as the coordinator, made an account metered", &q.Metered},
		{"rate_malformed", "messages about the rates of accounts that can't be decoded", &q.Malformed},
		{"quarantine_probes", "requests sent to probe a quarantined part", &i.Probes},
	} {
		if err := g.Meter.Count(c.name, c.description, c.counter.Load); err != nil {
			return err
		}
	}
	if err := g.exportClients(); err != nil {
		return err
	}
	if err := g.exportLinks(); err != nil {
		return err
	}
	return g.exportReads()
}

// exportReads exports the counters of what this VM reads from the store and from other VMs.
func (g *gateway) exportReads() error {
	p, e, cfg := &g.PeerSyncer.Counters, &g.Endpoints.Counters, &g.Config.Counters
	for _, c := range []struct {
		name, description string
		counter           *atomic.Int64
	}{
		{"peer_bytes", "bytes of rows fetched from peers while the store was lost or behind", &p.BytesFetched},
		{"peer_rows", "rows fetched from peers while the store was lost or behind", &p.RowsFetched},
		{"endpoints_store_calls", "calls to the store for the table of endpoints", &e.StoreCalls},
		{"endpoints_peer_calls", "calls to peers for the table of endpoints that brought an answer", &e.PeerCalls},
		{"endpoints_peer_bytes", "bytes of rows of endpoints read from peers", &e.PeerBytes},
		{"endpoints_peer_rows", "rows of endpoints read from peers", &e.PeerRows},
		{"endpoints_peer_failures", "calls to peers for the table of endpoints that failed, or whose answer was old", &e.PeerFailures},
		{"config_store_calls", "calls to the store for the configuration", &cfg.StoreCalls},
		{"config_peer_calls", "calls to peers for the configuration that brought an answer", &cfg.PeerCalls},
		{"config_peer_bytes", "bytes of configurations read from peers", &cfg.PeerBytes},
		{"config_peer_failures", "calls to peers for the configuration that failed, or whose answer was old", &cfg.PeerFailures},
		{"config_source_changes", "changes of the peer that the configuration is read from", &cfg.SourceChanges},
		{"endpoints_source_changes", "changes of the peer that the table of endpoints is read from", &e.SourceChanges},
	} {
		if err := g.Meter.Count(c.name, c.description, c.counter.Load); err != nil {
			return err
		}
	}
	for _, c := range []struct {
		name, description string
		values            func() map[string]int64
	}{
		{"store_bytes", "bytes of rows read from the store, by table", g.Store.BytesRead},
		{"store_rows", "rows read from the store, by table", g.Store.RowsRead},
		{"store_bytes_abandoned", "bytes of answers of the store that did not arrive whole, by table", g.Store.BytesAbandoned},
	} {
		if err := g.Meter.CountBy(c.name, c.description, "table", c.values); err != nil {
			return err
		}
	}
	return g.Meter.GaugeBy("endpoints_age_ms",
		"ms since which changes of endpoints may be unknown, by the source: a peer, or store", "source", g.endpointsAge)
}

func (g *gateway) endpointsAge() (int64, string) {
	source := g.Endpoints.Source()
	if source == "" {
		source = "store"
	}
	return g.Endpoints.Age(time.Now()).Milliseconds(), source
}

// stop shuts the daemon down gracefully: it hands batch jobs over to other VMs and completes requests that have begun, until
// shortly before the grace period ends. Then it answers those that have no answer.
func (g *gateway) stop(ctx context.Context) error {
	start := stopTimeOf(ctx)
	// The file may have changed without a SIGHUP.
	g.reload()
	grace := float64(g.active.Load().Grace)
	limit := start.Add(time.Duration(grace * (1 - stopMarginShare)))
	g.Log.Info("leaving")
	drain := drainer.Drain{Begun: start, End: limit, Propagation: unreadyPropagationTime}
	g.Listener.Leave(drain)
	g.Delegator.Leave(drain)
	g.Gossiper.Leave()
	g.ItemRunner.Leave()
	for time.Now().Before(limit) {
		isUnreadyKnown := time.Since(start) > unreadyPropagationTime
		if isUnreadyKnown && g.inFlight() == 0 && g.ItemRunner.Running() == 0 {
			break
		}
		time.Sleep(stopPoll)
	}
	g.Listener.Close()
	g.Delegator.Close()
	g.awaitAnswers(limit)
	g.Listener.EndUnanswered()
	g.awaitAnswers(limit.Add(time.Duration(grace * endShare)))
	g.Log.WithFields(logrus.Fields{"open": g.inFlight(), "items": g.ItemRunner.Running()}).Info("stopped")
	g.cancel()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	var ports sync.WaitGroup
	ports.Go(func() { g.Delegator.Stop(ctx) })
	g.Listener.Stop(ctx)
	ports.Wait()
	g.LogQueue.Close(closeTimeout)
	return nil
}

// awaitAnswers waits until no caller's request is in flight, at most until the limit.
func (g *gateway) awaitAnswers(limit time.Time) {
	for g.inFlight() > 0 && time.Now().Before(limit) {
		time.Sleep(stopPoll)
	}
}

// inFlight returns the number of requests of callers, and of other VMs, in flight.
func (g *gateway) inFlight() int64 { return g.Listener.InFlight() + g.Delegator.InFlight() }

// runReload reloads the settings file at every SIGHUP and every reloadEvery.
func (g *gateway) runReload() {
	tick := time.NewTicker(reloadEvery)
	defer tick.Stop()
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-g.HangUps:
			g.Log.Info("received SIGHUP; reloading the settings file")
		case <-tick.C:
		}
		g.reload()
	}
}

// reload reads the settings file and makes changed settings active; a file with errors is logged and changes nothing.
func (g *gateway) reload() {
	s, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		g.Log.WithError(err).Warn("settings file can't be read or is invalid; keeping the active settings")
		return
	}
	if reflect.DeepEqual(s, *g.active.Load()) {
		return
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	g.Bodies.SetLimits(clientLimits(s).Budget)
	g.ItemRunner.SetOutputLimit(clientLimits(s).Outputs)
	g.active.Store(&s)
	g.Admitter.SetPolicy(revocation(s))
	g.Log.Info("settings reloaded; changed addresses take effect at the next start")
}

func (g *gateway) runSweep() {
	sleeper.Every(g.ctx, sweepEvery, func(now time.Time) {
		g.Pool.Sweep(now)
		g.Peers.Sweep(now)
	})
}

func runOnPlatform() error {
	stop, hup := receiveStop(), newHangUps()
	file := os.Getenv(platform.SettingsVariable)
	if file == "" {
		return errors.Errorf("environment variable %s is empty: set it to the settings file's path", platform.SettingsVariable)
	}
	s, err := platform.ReadSettings(file)
	if err != nil {
		return err
	}
	return runApp(NewGateway(s, fx.Replace(hup)), stop)
}
