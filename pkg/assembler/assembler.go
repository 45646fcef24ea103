package assembler

import (
	crand "crypto/rand"
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/dogwoodledge/dogwoodledge/pkg/archiver"
	"github.com/dogwoodledge/dogwoodledge/pkg/bodyreader"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/detector"
	"github.com/dogwoodledge/dogwoodledge/pkg/follower"
	"github.com/dogwoodledge/dogwoodledge/pkg/forwarder"
	"github.com/dogwoodledge/dogwoodledge/pkg/granter"
	"github.com/dogwoodledge/dogwoodledge/pkg/loader"
	"github.com/dogwoodledge/dogwoodledge/pkg/messenger"
	"github.com/dogwoodledge/dogwoodledge/pkg/poller"
	"github.com/dogwoodledge/dogwoodledge/pkg/segmentrunner"
	"github.com/dogwoodledge/dogwoodledge/pkg/server"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
	"github.com/dogwoodledge/dogwoodledge/pkg/tracer"
	"github.com/dogwoodledge/dogwoodledge/platform"
)

const (
	startTimeout = 15 * time.Second
	// stopMargin is added to the setting drainLimit for the other steps of the shutdown.
	stopMargin = 30 * time.Second
)

// parts are the daemon's components, filled in by fx.
type parts struct {
	fx.In

	Settings         loader.Settings
	Log              logrus.FieldLogger
	Tracer           *tracer.Tracer
	TableStore       *storer.TableStore
	RateLimitedStore *storer.RateLimitedStore
	Auth             *messenger.Authenticator
	Caller           *messenger.Caller
	Membership       *messenger.Membership
	Follower         *follower.Follower
	Fleet            *Fleet
	Granter          *granter.Granter
	Reserver         *granter.Reserver
	Router           *forwarder.SharedRouter
	Dispatcher       *forwarder.Dispatcher
	SegmentRunner    *segmentrunner.Runner
	Poller           *poller.Poller
	Server           *server.Server
	VMServer         *messenger.Server
	Bodies           *bodyreader.Reader
}

// New returns the daemon with these settings, not yet started.
func New(s loader.Settings) *fx.App {
	return fx.New(
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(s.DrainLimit+stopMargin),
		fx.Supply(s),
		fx.Provide(
			tracer.New, tracer.NewLog, newRandom, newRateLimitedStore, newTableStore, newAuthenticator, newCaller, newFollower, newFleet,
			newMembership, newGranter, newReserver, newSharedRouter, newDispatcher, forwarder.NewPools, newArchiver,
			newSegmentRunner, newPoller, newClaimRunner, newEngineController, newServerBodies, newServer, newVMServer,
		),
		fx.Invoke(runLifecycle),
	)
}

// newRandom returns a constructor of random sources seeded by the operating system; each component that needs random numbers
// gets its own source.
func newRandom() func() *rand.Rand {
	return func() *rand.Rand {
		seed := [16]byte{}
		_, _ = crand.Read(seed[:])
		return rand.New(rand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:])))
	}
}

func newTableStore(s loader.Settings) *storer.TableStore {
	return storer.NewTableStore(platform.NewStore(s.Platform.Address, s.VM.ID, platform.WithCallTimeout(s.Platform.Timeout)))
}

func newRateLimitedStore(s *storer.TableStore) *storer.RateLimitedStore {
	return storer.NewRateLimitedStore(s)
}

func newArchiver(s loader.Settings, p *storer.RateLimitedStore) *archiver.Archiver {
	return archiver.New(p, s.SegmentItems)
}

func newAuthenticator(s loader.Settings) *messenger.Authenticator {
	return messenger.NewAuthenticator(s.FleetKey())
}

func newCaller(s loader.Settings, auth *messenger.Authenticator) (*messenger.Caller, error) {
	creds, err := messenger.Credentials(s.Fleet)
	if err != nil {
		return nil, err
	}
	return messenger.NewCaller(auth, creds), nil
}

func newFollower(
	s loader.Settings, c *storer.TableStore, random func() *rand.Rand, log logrus.FieldLogger,
) *follower.Follower {
	return follower.New(c, s.PollEvery, random(), log)
}

func newMembership(
	s loader.Settings, auth *messenger.Authenticator, p *storer.TableStore, fleet *Fleet,
	random func() *rand.Rand, log logrus.FieldLogger,
) (*messenger.Membership, error) {
	return messenger.NewMembership(messenger.MembershipConfig{
		Self: detector.Member{
			VM: s.VM.ID, Address: s.Listen.VMs, Region: s.VM.Region, AvailabilityZone: s.VM.AvailabilityZone,
			// A restarted VM needs a higher incarnation than before, or peers keep what they know of its previous run.
			Incarnation: uint64(time.Now().UnixMilli()),
		},
		Auth: auth, Store: p, Log: log, Listener: fleet, Random: random(),
	})
}

func newGranter(f *Fleet) *granter.Granter { return granter.New(f.AllocatorPolicy) }

func newReserver(
	g *granter.Granter, m *messenger.Membership, c *messenger.Caller, shared *forwarder.SharedRouter, log logrus.FieldLogger,
) *granter.Reserver {
	return granter.NewReserver(g, m, c, log, shared.ObserveLoad)
}

func newSegmentRunner(
	s loader.Settings, a *archiver.Archiver, g *granter.Granter, f *Fleet, p *forwarder.Pools,
	random func() *rand.Rand, log logrus.FieldLogger,
) *segmentrunner.Runner {
	cfg := segmentrunner.Config{
		VM: s.VM.ID, LeaseLength: s.Lease.Length, LeaseRenew: s.Lease.Renew, PollEvery: s.PollEvery,
	}
	return segmentrunner.New(cfg, a, g, f, p, random(), log)
}

func newPoller(f *Fleet, g *granter.Granter, shared *forwarder.SharedRouter, log logrus.FieldLogger) *poller.Poller {
	return poller.New(f, poller.Handlers{Allocator: g.Submit, Router: shared.Handle}, log)
}

func newSharedRouter(random func() *rand.Rand) *forwarder.SharedRouter {
	return forwarder.NewSharedRouter(random())
}

func newDispatcher(
	r *granter.Reserver, f *Fleet, shared *forwarder.SharedRouter, log logrus.FieldLogger,
) *forwarder.Dispatcher {
	return forwarder.NewDispatcher(r, f, shared, log, func(endpoint string) { f.announce(endpoint, true) })
}

func newClaimRunner(
	s loader.Settings, p *storer.RateLimitedStore, m *messenger.Membership, c *messenger.Caller, log logrus.FieldLogger,
) *server.ClaimRunner {
	return server.NewClaimRunner(s.VM.ID, p, m, c, log)
}

func newVMServer(
	s loader.Settings, auth *messenger.Authenticator, g *granter.Granter, f *follower.Follower, c *server.ClaimRunner,
) (*messenger.Server, error) {
	creds, err := messenger.Credentials(s.Fleet)
	if err != nil {
		return nil, err
	}
	return messenger.NewServer(s.Listen.VMs, auth, creds, server.NewVMHandler(s.VM.ID, g, f, c))
}
