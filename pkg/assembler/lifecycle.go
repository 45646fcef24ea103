package assembler

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/fx"
	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding/gzip"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/detector"
	"github.com/dogwoodledge/dogwoodledge/pkg/messenger/wire"
	"github.com/dogwoodledge/dogwoodledge/pkg/sleeper"
)

const (
	// leavePropagationTime is how long a leaving VM still accepts requests, until the load balancer and the other VMs have
	// learned that it leaves.
	leavePropagationTime = 1500 * time.Millisecond
	// releaseLimit is how long the release of the batch work may take.
	releaseLimit = 20 * time.Second
	// finishTime is how much longer than the drain of callers the rest of the requests may take: it is left even if the drain
	// takes its whole limit.
	finishTime = 10 * time.Second
)

// runLifecycle registers the daemon's start and graceful shutdown with fx.
func runLifecycle(lc fx.Lifecycle, p parts) error {
	p.Fleet.bind(&p)
	p.Follower.SetPeer(p.fetchFromPeer)
	if err := p.registerMetrics(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.Bodies.Start(ctx)
	lc.Append(fx.Hook{OnStop: func(context.Context) error {
		cancel()
		return nil
	}})
	lc.Append(fx.Hook{OnStart: p.start, OnStop: p.stop})
	return nil
}

func (p *parts) fetchFromPeer(ctx context.Context, vm, hash string) ([]byte, error) {
	m, ok := p.Membership.View().Member(vm)
	if !ok {
		return nil, errors.Errorf("VM %s is not in the membership view: no address to fetch the snapshot from", vm)
	}
	client, err := p.Caller.VM(m.Address)
	if err != nil {
		return nil, err
	}
	reply, err := client.Snapshot(ctx, &wire.SnapshotRequest{Hash: hash}, grpc.UseCompressor(gzip.Name))
	return reply.GetSnapshot(), err
}

func (p *parts) start(context.Context) error {
	p.VMServer.Start()
	p.Granter.Start(p.SegmentRunner)
	p.Reserver.Start()
	p.Membership.Start()
	p.Follower.Start()
	p.SegmentRunner.Start()
	p.Poller.Start()
	if err := p.Server.Start(); err != nil {
		return err
	}
	p.Log.Info("started")
	return nil
}

// stop shuts the daemon down gracefully: it announces the leave, releases the batch work and completes requests that have
// begun.
func (p *parts) stop(ctx context.Context) error {
	p.Log.Info("leaving")
	p.Server.Leave()
	p.Membership.Submit(detector.LeaveOrdered{})
	err := drain(ctx, p.Settings.DrainLimit, p.Server, p.SegmentRunner)
	p.Poller.Stop()
	p.Follower.Stop()
	p.Reserver.Stop()
	p.Granter.Stop()
	p.VMServer.Stop()
	p.Membership.Stop()
	p.Caller.Close()
	p.Log.Info("stopped")
	if stopErr := p.Tracer.Stop(ctx); err == nil {
		err = stopErr
	}
	return err
}

// requestServer is the part of server.Server that drain uses.
type requestServer interface {
	Drain(ctx context.Context) error
	Stop(ctx context.Context) error
}

// batchRunner is the part of segmentrunner.Runner that drain uses.
type batchRunner interface {
	Stop(ctx context.Context)
}

// drain releases the batch work and meanwhile completes the requests that have begun, those of callers first: neither waits for
// the other. Operators' reads are served until the callers' requests have ended.
func drain(ctx context.Context, limit time.Duration, s requestServer, b batchRunner) error {
	released := make(chan struct{})
	go runRelease(ctx, b, released)
	sleeper.Sleep(ctx, leavePropagationTime)
	finishCtx, cancelFinish := context.WithTimeout(ctx, limit+finishTime)
	defer cancelFinish()
	drainCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	err := s.Drain(drainCtx)
	if stopErr := s.Stop(finishCtx); err == nil {
		err = stopErr
	}
	<-released
	return err
}

func runRelease(ctx context.Context, b batchRunner, released chan<- struct{}) {
	defer close(released)
	ctx, cancel := context.WithTimeout(ctx, releaseLimit)
	defer cancel()
	b.Stop(ctx)
}
