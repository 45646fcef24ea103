package runner

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/archiver"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/batcher"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/keeper"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/retrier"
	"github.com/dogwoodledge/dogwoodledge/pkg/declarer"
	"github.com/dogwoodledge/dogwoodledge/pkg/forwarder"
)

const (
	feedEvery     = 100 * time.Millisecond
	callTimeout   = 10 * time.Second
	commitRing    = 64
	maxHeld       = 16
	endpointPause = time.Second
	// seldomWatch is how much longer a VM that is no watcher of a job leaves it alone when it had nothing free.
	seldomWatch = 10
)

// Granter is what the runner needs of the keepers on this VM.
type Granter interface {
	BatchRoom(endpoint string) int
	Tell(endpoint string, in keeper.Input)
}

// Fleet tells which endpoints this VM keeps now and what the preset says of batch.
type Fleet interface {
	KeptEndpoints() []declarer.Endpoint
	// IsWatcher reports whether this VM is one of the few that look often for lapsed leases of the job.
	IsWatcher(job string) bool
	BatchPolicy() declarer.BatchPolicy
	BatchRetryBudget() float64
}

// Config says how leases are held and how often the store is asked for work.
type Config struct {
	VM          string
	LeaseLength time.Duration
	LeaseRenew  time.Duration
	PollEvery   time.Duration
}

// Counts count what the runner did.
type Counts struct {
	ItemsDone, ItemsFailed, ItemsRetried, SegmentsClaimed, SegmentsCommitted, SegmentsLost atomic.Int64
}

// Runner runs batch work.
type Runner struct {
	cfg      Config
	holder   string
	archiver *archiver.Archiver
	granter  Granter
	fleet    Fleet
	pools    *forwarder.Pools
	log      logrus.FieldLogger

	mu       sync.Mutex
	random   *rand.Rand
	held     map[string]*heldSegment
	items    map[string]*item
	jobs     []batcher.Ranked
	rows     map[string]archiver.ActiveRow
	epoch    int64
	left     map[string]int
	restTill map[string]time.Time
	paused   map[string]time.Time
	watch    *batcher.LeaseWatch
	rates    *batcher.RateEstimator
	budget   *retrier.Budget
	isEnding bool

	claimPoke chan struct{}
	feedPoke  chan struct{}
	commits   chan *heldSegment
	stop      context.CancelFunc
	loops     sync.WaitGroup
	running   sync.WaitGroup

	// Counts are readable at any time.
	Counts Counts
}

// New returns a runner that holds nothing.
func New(
	cfg Config, a *archiver.Archiver, g Granter, f Fleet, p *forwarder.Pools, random *rand.Rand, log logrus.FieldLogger,
) *Runner {
	return &Runner{
		cfg: cfg,
		// A VM that starts anew under its old name must not take its earlier leases for its own.
		holder:   cfg.VM + "/" + uuid.NewString(),
		archiver: a, granter: g, fleet: f, pools: p, log: log, random: random,
		held: map[string]*heldSegment{}, items: map[string]*item{},
		rows: map[string]archiver.ActiveRow{}, left: map[string]int{},
		restTill: map[string]time.Time{}, paused: map[string]time.Time{},
		watch: batcher.NewLeaseWatch(cfg.LeaseLength), rates: batcher.NewRateEstimator(),
		budget:    retrier.NewBudget(0),
		claimPoke: make(chan struct{}, 1), feedPoke: make(chan struct{}, 1),
		commits: make(chan *heldSegment, commitRing),
	}
}

// Start begins to take up work.
func (r *Runner) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	for _, loop := range []func(context.Context){r.loopClaim, r.loopFeed, r.loopRenew, r.loopCommit} {
		r.loops.Add(1)
		go func() {
			defer r.loops.Done()
			loop(ctx)
		}()
	}
}

// Stop parks what runs, saves and releases the segments, and ends.
func (r *Runner) Stop(ctx context.Context) {
	r.mu.Lock()
	r.isEnding = true
	for _, it := range r.items {
		it.park()
	}
	r.mu.Unlock()
	r.stop()
	r.running.Wait()
	r.loops.Wait()
	for _, seg := range r.heldSegments() {
		r.release(ctx, seg)
	}
}

// Poke makes the runner look for work at once, after a job came in.
func (r *Runner) Poke() {
	poke(r.claimPoke)
}

func poke(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// wait blocks until poked or for the time, and reports whether to go on.
func wait(ctx context.Context, c chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-c:
	case <-timer.C:
	}
	return true
}

func (r *Runner) heldSegments() []*heldSegment {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]*heldSegment, 0, len(r.held))
	for _, seg := range r.held {
		list = append(list, seg)
	}
	return list
}

// servedModels returns the models of the endpoints that this VM keeps.
func (r *Runner) servedModels() map[string]bool {
	models := map[string]bool{}
	for _, e := range r.fleet.KeptEndpoints() {
		for _, m := range e.Models {
			models[m] = true
		}
	}
	return models
}
