package segmentrunner

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/archiver"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/allocator"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/batcher"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/retrier"
	"github.com/dogwoodledge/dogwoodledge/pkg/declarer"
	"github.com/dogwoodledge/dogwoodledge/pkg/forwarder"
)

const (
	feedInterval    = 100 * time.Millisecond
	callTimeout     = 10 * time.Second
	commitQueueSize = 64
	maxHeldSegments = 16
	// endpointPause is the time without new items at an endpoint after failures.
	endpointPause = time.Second
	// nonWatcherFactor lengthens the time for which a VM that is not a lease watcher of a job skips the job after finding no
	// free segment.
	nonWatcherFactor = 10
)

// Granter gives access to the slot allocators of this VM.
type Granter interface {
	BatchRoom(endpoint string) int
	Submit(endpoint string, in allocator.Input)
}

// Fleet returns the endpoints whose slots this VM allocates now, and the settings for batch of the active preset.
type Fleet interface {
	AllocatedEndpoints() []declarer.Endpoint
	// IsLeaseWatcher reports whether this VM is one of the few that check often for expired leases of the job.
	IsLeaseWatcher(job string) bool
	BatchPolicy() declarer.BatchPolicy
	BatchRetryBudget() float64
}

// Config holds this VM's id, the length and renewal interval of leases, and the mean interval between polls for jobs.
type Config struct {
	VM          string
	LeaseLength time.Duration
	LeaseRenew  time.Duration
	PollEvery   time.Duration
}

// Counts counts the items and segments that the runner has handled.
type Counts struct {
	ItemsDone, ItemsFailed, ItemsRetried, SegmentsClaimed, SegmentsCommitted, SegmentsLost atomic.Int64
}

// Runner claims segments of batch jobs and runs their items.
type Runner struct {
	cfg      Config
	holder   string
	archiver *archiver.Archiver
	granter  Granter
	fleet    Fleet
	pools    *forwarder.Pools
	log      logrus.FieldLogger

	mu     sync.Mutex
	random *rand.Rand
	held   map[string]*heldSegment
	items  map[string]*item
	jobs   []batcher.Ranked
	rows   map[string]archiver.ActiveRow
	// epoch is the version of the list of active jobs at which rows was read.
	epoch int64
	// remaining is the number of unfinished items by job.
	remaining map[string]int
	// skipUntil is the time by job until which it is skipped, because it had no free segment.
	skipUntil map[string]time.Time
	// pausedUntil is the time by endpoint until which it gets no new items, because attempts failed there.
	pausedUntil map[string]time.Time
	watch       *batcher.LeaseWatch
	rates       *batcher.RateEstimator
	budget      *retrier.Budget
	isStopping  bool

	claimSignal chan struct{}
	feedSignal  chan struct{}
	commits     chan *heldSegment
	stop        context.CancelFunc
	loops       sync.WaitGroup
	running     sync.WaitGroup

	// Counts is safe for concurrent use.
	Counts Counts
}

// New returns a runner that holds nothing.
func New(
	cfg Config, a *archiver.Archiver, g Granter, f Fleet, p *forwarder.Pools, random *rand.Rand, log logrus.FieldLogger,
) *Runner {
	return &Runner{
		cfg: cfg,
		// A VM that restarts under the same id must not treat its earlier leases as its own.
		holder:   cfg.VM + "/" + uuid.NewString(),
		archiver: a, granter: g, fleet: f, pools: p, log: log, random: random,
		held: map[string]*heldSegment{}, items: map[string]*item{},
		rows: map[string]archiver.ActiveRow{}, remaining: map[string]int{},
		skipUntil: map[string]time.Time{}, pausedUntil: map[string]time.Time{},
		watch: batcher.NewLeaseWatch(cfg.LeaseLength), rates: batcher.NewRateEstimator(),
		budget:      retrier.NewBudget(0),
		claimSignal: make(chan struct{}, 1), feedSignal: make(chan struct{}, 1),
		commits: make(chan *heldSegment, commitQueueSize),
	}
}

// Start starts the loops that claim segments, offer items, renew leases and commit results.
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

// Stop suspends the running items, and saves and releases the held segments. It returns when all loops have ended, or when ctx
// ends; leases that are not released by then must expire.
func (r *Runner) Stop(ctx context.Context) {
	r.mu.Lock()
	r.isStopping = true
	for _, it := range r.items {
		it.withdraw()
	}
	r.mu.Unlock()
	r.stop()
	done := make(chan struct{})
	go r.runStop(ctx, done)
	select {
	case <-done:
	case <-ctx.Done():
		r.log.WithField("segments", len(r.heldSegments())).Warn("segments not released within the stop; their leases must expire")
	}
}

// runStop releases the held segments once nothing uses them, and closes done.
func (r *Runner) runStop(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	r.running.Wait()
	r.loops.Wait()
	releases := sync.WaitGroup{}
	for _, seg := range r.heldSegments() {
		releases.Add(1)
		go r.runRelease(ctx, seg, &releases)
	}
	releases.Wait()
}

func (r *Runner) runRelease(ctx context.Context, seg *heldSegment, releases *sync.WaitGroup) {
	defer releases.Done()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r.release(ctx, seg)
}

// Wake makes the runner check for jobs at once; it is called when the jobs or this VM's endpoints may have changed.
func (r *Runner) Wake() {
	notify(r.claimSignal)
}

// notify signals c unless a signal is pending.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// waitFor blocks until c is signalled or d has passed; it returns false if ctx has ended.
func waitFor(ctx context.Context, c chan struct{}, d time.Duration) bool {
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

// servedModels returns the models of the endpoints whose slots this VM allocates.
func (r *Runner) servedModels() map[string]bool {
	models := map[string]bool{}
	for _, e := range r.fleet.AllocatedEndpoints() {
		for _, m := range e.Models {
			models[m] = true
		}
	}
	return models
}
