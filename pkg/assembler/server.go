package assembler

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/archiver"
	"github.com/dogwoodledge/dogwoodledge/pkg/bodyreader"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/outcome"
	"github.com/dogwoodledge/dogwoodledge/pkg/declarer"
	"github.com/dogwoodledge/dogwoodledge/pkg/enginecontroller"
	"github.com/dogwoodledge/dogwoodledge/pkg/follower"
	"github.com/dogwoodledge/dogwoodledge/pkg/forwarder"
	"github.com/dogwoodledge/dogwoodledge/pkg/loader"
	"github.com/dogwoodledge/dogwoodledge/pkg/messenger"
	"github.com/dogwoodledge/dogwoodledge/pkg/segmentrunner"
	"github.com/dogwoodledge/dogwoodledge/pkg/server"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
	"github.com/dogwoodledge/dogwoodledge/pkg/tracer"
)

func newServer(
	s loader.Settings, client *storer.TableStore, a *archiver.Archiver, f *follower.Follower, d *forwarder.Dispatcher,
	p *forwarder.Pools, m *messenger.Membership, c *messenger.Caller, claims *server.ClaimRunner, t *tracer.Tracer,
	r *segmentrunner.Runner, fleet *Fleet, o *enginecontroller.Controller, bodies *bodyreader.Reader, log logrus.FieldLogger,
) *server.Server {
	cfg := server.Config{
		VM: s.VM.ID, Callers: s.Listen.Callers, Operators: s.Listen.Operators,
		OperatorKeyHashes: s.Operators.KeyHashes, DrainLimit: s.DrainLimit,
		Connections: serverLimits(s).Connections,
	}
	return server.New(cfg, server.Parts{
		Store: client, Archiver: a, Follower: f, Dispatcher: d, Pools: p, Membership: m, Caller: c, Claims: claims, EngineController: o,
		Metrics: t.Handler(), Bodies: bodies, Log: log, OnBatch: r.Wake,
		OnEndpointUpdate: fleet.announce,
	})
}

func newEngineController(s loader.Settings, client *storer.TableStore, p *forwarder.Pools) *enginecontroller.Controller {
	send := func(ctx context.Context, e declarer.Endpoint, o enginecontroller.Order, fence int64) (outcome.Outcome, error) {
		return p.Order(ctx, e, string(o.Kind), o.Name, fence)
	}
	return enginecontroller.New(s.VM.ID, client, send, time.Now)
}
