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
	// askEvery is about half the time for which a report is taken to hold.
	askEvery   = 400 * time.Millisecond
	askTimeout = 500 * time.Millisecond
	maxReport  = 64 << 10
)

// Members tells which VMs are silent and which are live.
type Members interface {
	IsPartial() bool
	LiveVMs() []gossiper.VM
}

// Protocol says how to ask an engine and what its answer means.
type Protocol struct {
	Path string
	// Load decodes the number of requests that run and wait at the engine.
	Load func(body []byte) (int, error)
}

// Inspector asks the engines that fall to this VM.
type Inspector struct {
	vm       string
	protocol Protocol
	registry func() *registrar.Registry
	members  Members
	balancer *balancer.Balancer
	pool     *dialer.Pool
	log      logrus.FieldLogger
}

// New returns an inspector.
func New(
	vm string, p Protocol, registry func() *registrar.Registry, m Members, b *balancer.Balancer, pool *dialer.Pool,
	log logrus.FieldLogger,
) *Inspector {
	return &Inspector{vm: vm, protocol: p, registry: registry, members: m, balancer: b, pool: pool, log: log}
}

// Start asks until ctx ends.
func (i *Inspector) Start(ctx context.Context) { go i.run(ctx) }

func (i *Inspector) run(ctx context.Context) {
	pauser.Every(ctx, askEvery, func(time.Time) {
		if i.members.IsPartial() {
			i.askEngines(ctx)
		}
	})
}

// askEngines asks the engines that fall to this VM, all at once.
func (i *Inspector) askEngines(ctx context.Context) {
	live := i.members.LiveVMs()
	reg := i.registry()
	for _, e := range reg.Endpoints {
		if reg.Config == nil || !reg.Config.Services[e.Service].IsEngine || e.IsDraining {
			continue
		}
		if vm, ok := gossiper.Choose("engine "+e.ID, live); ok && vm.Name == i.vm {
			go i.runAsk(ctx, e)
		}
	}
}

func (i *Inspector) runAsk(ctx context.Context, e registrar.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	n, err := i.ask(ctx, e)
	if err != nil {
		i.log.WithError(err).WithField("endpoint", e.ID).Info("engine did not report its load")
		return
	}
	i.balancer.HearEngine(placer.KeyOf(e.ID), n)
}

func (i *Inspector) ask(ctx context.Context, e registrar.Endpoint) (int, error) {
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
	body, err := io.ReadAll(io.LimitReader(x, maxReport))
	if err != nil {
		return 0, errors.Wrap(err, "read report")
	}
	if x.Response.StatusCode != http.StatusOK {
		return 0, errors.Errorf("report has status %d", x.Response.StatusCode)
	}
	return i.protocol.Load(body)
}
