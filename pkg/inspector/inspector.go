package inspector

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/balancer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/placer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/dialer"
	"github.com/dogwoodledge/dogwoodledge/pkg/gossiper"
	"github.com/dogwoodledge/dogwoodledge/pkg/pauser"
)

const (
	// pollInterval is about half the time for which an engine's load report counts as current.
	pollInterval   = 400 * time.Millisecond
	pollTimeout    = 500 * time.Millisecond
	maxReportBytes = 64 << 10
)

// Members provides the state of the VMs.
type Members interface {
	// HasSilentVM reports whether a VM is silent that may still send requests to endpoints.
	HasSilentVM() bool
	// LiveVMs returns the VMs that accept work.
	LiveVMs() []gossiper.VM
}

// Protocol describes an engine's load report.
type Protocol struct {
	// Path is the path of the report.
	Path string
	// Load decodes a report into the number of requests that run or wait at the engine.
	Load func(body []byte) (int, error)
}

// Inspector polls the engines that are assigned to this VM.
type Inspector struct {
	vm       string
	protocol Protocol
	registry func() *registrar.Registry
	members  Members
	balancer *balancer.Balancer
	pool     *dialer.Pool
	log      logrus.FieldLogger
}

// New returns an inspector that is not started.
func New(
	vm string, p Protocol, registry func() *registrar.Registry, m Members, b *balancer.Balancer, pool *dialer.Pool,
	log logrus.FieldLogger,
) *Inspector {
	return &Inspector{vm: vm, protocol: p, registry: registry, members: m, balancer: b, pool: pool, log: log}
}

// Start polls the engines at intervals, while a VM is silent, until ctx ends.
func (i *Inspector) Start(ctx context.Context) { go i.run(ctx) }

func (i *Inspector) run(ctx context.Context) {
	pauser.Every(ctx, pollInterval, func(time.Time) {
		if i.members.HasSilentVM() {
			i.pollEngines(ctx)
		}
	})
}

// pollEngines polls all engines that gossiper.Choose assigns to this VM, concurrently.
func (i *Inspector) pollEngines(ctx context.Context) {
	live := i.members.LiveVMs()
	reg := i.registry()
	for _, e := range reg.Endpoints {
		if reg.Config == nil || !reg.Config.Services[e.Service].IsEngine || e.IsDraining {
			continue
		}
		if vm, ok := gossiper.Choose("engine "+e.ID, live); ok && vm.Name == i.vm {
			go i.runPoll(ctx, e)
		}
	}
}

func (i *Inspector) runPoll(ctx context.Context, e registrar.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	n, err := i.poll(ctx, e)
	if err != nil {
		i.log.WithError(err).WithField("endpoint", e.ID).Info("engine did not report its load")
		return
	}
	i.balancer.ObserveEngineLoad(placer.KeyOf(e.ID), n)
}

func (i *Inspector) poll(ctx context.Context, e registrar.Endpoint) (int, error) {
	conn, err := i.pool.Get(ctx, e.ID, e.Address)
	if err != nil {
		return 0, err
	}
	x, err := i.pool.Do(ctx, conn, dialer.Request{
		Method: http.MethodGet, Target: i.protocol.Path, Host: e.Address.String(), Header: http.Header{},
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
	return i.protocol.Load(body)
}
