package prober

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/balancer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/hasher"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/placer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/dialer"
	"github.com/dogwoodledge/dogwoodledge/pkg/gossiper"
	"github.com/dogwoodledge/dogwoodledge/pkg/sleeper"
)

const (
	// pollInterval is about half the time for which an engine's load report counts as current.
	pollInterval   = 400 * time.Millisecond
	pollTimeout    = 500 * time.Millisecond
	maxReportBytes = 64 << 10
	// startupWindow is how long a VM polls after its start. When all VMs have lost power at once, engines still run their requests,
	// which no VM knows, and a stalled reader keeps a slot for seconds.
	startupWindow = 10 * time.Second
)

// Members provides the state of the VMs.
type Members interface {
	// HasSilentVM reports whether a VM is silent that may still send requests to endpoints.
	HasSilentVM() bool
	// LiveVMs returns the VMs that accept work.
	LiveVMs() []gossiper.VMIncarnation
}

// Protocol describes an engine's load report.
type Protocol struct {
	// Path is the path of the report.
	Path string
	// Load decodes a report into the number of requests that run or wait at the engine.
	Load func(body []byte) (int, error)
}

// Prober polls the engines that are assigned to this VM.
type Prober struct {
	vm       string
	protocol Protocol
	registry func() *registrar.Registry
	members  Members
	balancer *balancer.Balancer
	pool     *dialer.Pool
	log      logrus.FieldLogger
	started  time.Time
}

// New returns a prober that is not started.
func New(
	vm string, p Protocol, registry func() *registrar.Registry, m Members, b *balancer.Balancer, pool *dialer.Pool,
	log logrus.FieldLogger,
) *Prober {
	return &Prober{vm: vm, protocol: p, registry: registry, members: m, balancer: b, pool: pool, log: log}
}

// Start polls the engines at intervals until ctx ends: for startupWindow, and while a VM is silent.
func (p *Prober) Start(ctx context.Context) {
	p.started = time.Now()
	go p.run(ctx)
}

func (p *Prober) run(ctx context.Context) {
	sleeper.Every(ctx, pollInterval, func(time.Time) {
		if p.members.HasSilentVM() || time.Since(p.started) < startupWindow {
			p.pollEngines(ctx)
		}
	})
}

// pollEngines polls all engines that hasher.Pick assigns to this VM, concurrently, except those with a rate limit: their few
// requests are for callers.
func (p *Prober) pollEngines(ctx context.Context) {
	live := p.members.LiveVMs()
	names := make([]string, 0, len(live))
	for _, vm := range live {
		names = append(names, vm.Name)
	}
	slices.Sort(names)
	reg := p.registry()
	for _, e := range reg.Endpoints {
		if reg.Config == nil || !reg.Config.Services[e.Service].IsEngine || e.IsDraining {
			continue
		}
		if hasher.Pick(e.ID, names) == p.vm && !p.balancer.IsLimited(placer.KeyOf(e.ID)) {
			go p.runPoll(ctx, e)
		}
	}
}

func (p *Prober) runPoll(ctx context.Context, e registrar.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	n, err := p.poll(ctx, e)
	if err != nil {
		p.log.WithError(err).WithField("endpoint", e.ID).Info("engine did not report its load")
		return
	}
	p.balancer.ObserveEngineLoad(placer.KeyOf(e.ID), n)
}

func (p *Prober) poll(ctx context.Context, e registrar.Endpoint) (int, error) {
	conn, err := p.pool.GetAny(ctx, e.ID, e.Address)
	if err != nil {
		return 0, err
	}
	x, err := p.pool.Do(ctx, conn, dialer.Request{
		Method: http.MethodGet, Target: p.protocol.Path, Host: e.Address.String(), Header: http.Header{},
	})
	if err != nil {
		return 0, err
	}
	defer x.Close()
	body, err := io.ReadAll(io.LimitReader(x, maxReportBytes))
	if err != nil {
		return 0, errors.Wrap(err, "read load report")
	}
	if x.Response.StatusCode != http.StatusOK {
		return 0, errors.Errorf("engine answered status %d to the request for its load report", x.Response.StatusCode)
	}
	return p.protocol.Load(body)
}
