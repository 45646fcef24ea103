package itemrunner

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/balancer"
	"github.com/dogwoodledge/dogwoodledge/pkg/bodyreader"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/placer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/quarantiner"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/scheduler"
	"github.com/dogwoodledge/dogwoodledge/pkg/dialer"
	"github.com/dogwoodledge/dogwoodledge/pkg/jobmanager"
	"github.com/dogwoodledge/dogwoodledge/pkg/option"
	"github.com/dogwoodledge/dogwoodledge/pkg/recoverer"
	"github.com/dogwoodledge/dogwoodledge/pkg/relayer"
	"github.com/dogwoodledge/dogwoodledge/pkg/sleeper"
)

const (
	// tickInterval limits how late the runner reacts to changes that are not signalled, such as peers that stopped sending.
	tickInterval = 100 * time.Millisecond
	// minStepInterval is the pause after each call of step; it is about as long as one decoding step of an engine.
	minStepInterval = 4 * time.Millisecond
	// retryPause is the pause before the next run of an item whose last run failed.
	retryPause = 200 * time.Millisecond
	// panicPause is the pause before work that panicked is tried again.
	panicPause = 5 * time.Second
	// loadRetryPause is the pause before the items of a job are read again after a failed read.
	loadRetryPause = 300 * time.Millisecond
)

// Metrics counts the runs of items by outcome, and panics; its methods must not block.
type Metrics interface {
	ItemRun(outcome string)
	// Panicked counts a panic in a part of the work that ended alone.
	Panicked(work string)
}

// Runner runs the items of the batch jobs that this VM holds.
type Runner struct {
	headers   relayer.Headers
	manager   *jobmanager.Manager
	registry  func() *registrar.Registry
	balancer  *balancer.Balancer
	pool      *dialer.Pool
	isolator  Isolator
	confirmer relayer.Confirmer
	// onLeaving is called for each answer whose endpoint says that it leaves.
	onLeaving func(registrar.Endpoint)
	// onlySoftware returns the software version that alone may have begun an output of the service that existed at the time, if
	// there is one; false if that isn't known yet.
	onlySoftware func(service string, at time.Time) (option.Option[registrar.Software], bool)
	metrics      Metrics
	log          logrus.FieldLogger
	// bodies is the budget within which events are held.
	bodies *bodyreader.Reader

	mu        sync.Mutex
	jobs      map[string]*jobState
	estimator *scheduler.Estimator
	// plan holds the unfinished items in the order in which to run them, as computed at plannedAt.
	plan      []*task
	plannedAt time.Time
	isLeaving bool
	// isPartitioned says that this VM reaches no endpoint, isSilent that its open connections are silent, too.
	isPartitioned, isSilent bool
	// checkpointing has room for the one goroutine that may write checkpoints.
	checkpointing chan struct{}
	ctx           context.Context
	// outputBytes are those of the outputs that are held; it is exact after countOutputs, and too high between. outputLimit
	// bounds them with those that are still to be written; 0 for no bound.
	outputBytes, outputLimit int64
	waits                    *waitRecorder
}

// New returns a runner; Start starts it. It calls onLeaving for each answer whose endpoint says that it leaves.
func New(
	h relayer.Headers, jm *jobmanager.Manager, registry func() *registrar.Registry, b *balancer.Balancer, p *dialer.Pool,
	i Isolator, c relayer.Confirmer,
	onlySoftware func(service string, at time.Time) (option.Option[registrar.Software], bool),
	onLeaving func(registrar.Endpoint), m Metrics, log logrus.FieldLogger,
) *Runner {
	return &Runner{
		headers: h, manager: jm, registry: registry, balancer: b, pool: p, isolator: i, confirmer: c, onlySoftware: onlySoftware,
		onLeaving: onLeaving, metrics: m, log: log,
		jobs: map[string]*jobState{}, estimator: scheduler.NewEstimator(), checkpointing: make(chan struct{}, 1),
		waits: newWaitRecorder(),
	}
}

// SetBodies makes the runner hold events within a budget; without it there is none. It must be called before Start.
func (r *Runner) SetBodies(b *bodyreader.Reader) { r.bodies = b }

// Start runs items until ctx ends.
func (r *Runner) Start(ctx context.Context) {
	r.ctx = ctx
	go r.run(ctx)
	go r.runCheckpoint(ctx)
	go r.runRelease(ctx)
}

// Leave stops the start of further items and hands the jobs over to other VMs; running items continue.
func (r *Runner) Leave() {
	r.mu.Lock()
	r.isLeaving = true
	r.mu.Unlock()
	r.balancer.SetWaiting(nil)
	r.manager.HandOver(r.ctx, r.runningItems)
}

// runningItems returns the items of the job that run now.
func (r *Runner) runningItems(job string) []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	j, ok := r.jobs[job]
	if !ok {
		return nil
	}
	var items []int
	for i, t := range j.tasks {
		if t.run != nil {
			items = append(items, i)
		}
	}
	return items
}

// Running returns the number of items that run or whose result is not in the store yet, and of jobs with failures that are not.
func (r *Runner) Running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for id, j := range r.jobs {
		for i, t := range j.tasks {
			if t.run != nil || (t.isOver && r.manager.IsUnwritten(id, i)) {
				n++
			}
		}
		if r.manager.IsSavingFailures(id) {
			n++
		}
	}
	return n
}

func (r *Runner) run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-r.manager.Changed():
		case <-r.balancer.SlotsChanged():
		}
		r.step(ctx, time.Now())
		if !sleeper.Sleep(ctx, minStepInterval) {
			return
		}
	}
}

func (r *Runner) step(ctx context.Context, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.syncJobs(ctx, now)
	r.stopUnneededRuns()
	r.dropMoved()
	r.preempt(now)
	if !r.isLeaving && !r.isPartitioned {
		r.startItems(ctx, now)
	}
	r.surveyWaits(now)
}

// syncJobs adds the jobs that this VM holds and their unfinished items, and starts to load what is new; the lock is held.
func (r *Runner) syncJobs(ctx context.Context, now time.Time) {
	runnable := map[string][]int{}
	for _, h := range r.manager.Held() {
		runnable[h.Job.ID] = h.Items
		j, ok := r.jobs[h.Job.ID]
		if !ok {
			j = &jobState{
				id: h.Job.ID, due: h.Job.DueTime(), host: h.Job.Host, pathPrefix: h.Job.PathPrefix,
				tasks: map[int]*task{},
			}
			r.jobs[h.Job.ID] = j
		}
		missing := r.addTasks(j, h.Items)
		if (j.items == nil || len(missing) > 0) && !j.isLoading && now.After(j.retryLoad) {
			j.isLoading = true
			go r.runLoad(ctx, j, missing)
		}
	}
	for id, j := range r.jobs {
		for i, t := range j.tasks {
			_, t.isHere = slices.BinarySearch(runnable[id], i)
		}
		maps.DeleteFunc(j.loaded, func(i int, _ bool) bool { return !slices.Contains(runnable[id], i) })
	}
}

// addTasks adds the tasks of those items that are loaded, and returns the items that have to be loaded first; the lock is held.
func (r *Runner) addTasks(j *jobState, items []int) []int {
	var missing []int
	for _, i := range items {
		if _, ok := j.tasks[i]; ok || (j.items != nil && i >= len(j.items)) {
			continue
		}
		if !j.loaded[i] {
			missing = append(missing, i)
			continue
		}
		j.tasks[i] = r.newTask(j, i)
		delete(j.loaded, i)
	}
	return missing
}

// newTask returns the task of an item, which continues after the item's saved output.
func (r *Runner) newTask(j *jobState, i int) *task {
	item := j.items[i]
	t := &task{
		job: j, index: i, item: item, itemOutput: newItemOutput(), idleSince: time.Now(),
		parts: slices.Concat(
			r.headers.PartsOf(item.Header), []string{quarantiner.RequestPart(http.MethodPost, j.host, item.Path, item.Body)},
		),
	}
	if c, ok := j.saved[i]; ok {
		if r.outputLimit == 0 || r.outputBytes+int64(len(c.Output)) <= r.outputLimit {
			t.itemOutput = continued(c)
			r.outputBytes += int64(len(c.Output))
		}
		delete(j.saved, i)
	}
	return t
}

// runLoad reads the job's items, and the checkpoints of the outputs of those that are missing here.
func (r *Runner) runLoad(ctx context.Context, j *jobState, missing []int) {
	var items []jobmanager.Item
	var saved map[int]jobmanager.Checkpoint
	account := ""
	r.mu.Lock()
	limit := r.outputLimit / 4
	r.mu.Unlock()
	err := recoverer.Call(func() (err error) {
		if items, err = r.manager.Items(ctx, j.id, true); err == nil {
			saved, err = r.manager.Checkpoints(ctx, j.id, limit)
		}
		if err == nil {
			account, err = r.manager.AccountOf(ctx, j.id)
		}
		return err
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	j.isLoading = false
	if err != nil {
		pause := loadRetryPause
		if r.reportPanic("load", j.id, err) {
			pause = panicPause
		}
		j.retryLoad = time.Now().Add(pause)
		r.log.WithError(err).WithField("job", j.id).Warn("items of the job not read; retrying")
		return
	}
	j.items, j.saved, j.loaded, j.account = items, saved, map[int]bool{}, account
	for _, i := range missing {
		j.loaded[i] = true
	}
}

// reportPanic logs and counts err if it is a panic in the work on a job, and reports whether it is.
func (r *Runner) reportPanic(work, job string, err error) bool {
	panicked := (*recoverer.PanicError)(nil)
	if !errors.As(err, &panicked) {
		return false
	}
	r.metrics.Panicked(work)
	r.log.WithError(err).WithFields(logrus.Fields{"work": work, "job": job, "stack": string(panicked.Stack)}).
		Error("panic in the work on a batch job; the rest goes on")
	return true
}

// stopUnneededRuns ends the runs of items that already have a result, or whose job has ended or moved to another VM; the lock
// is held.
func (r *Runner) stopUnneededRuns() {
	for id, j := range r.jobs {
		isHeld := r.manager.IsHeld(id)
		for i, t := range j.tasks {
			if t.run != nil && (!isHeld || r.manager.IsFinished(id, i)) {
				r.cancel(t, errNotNeeded)
			}
			if !isHeld && t.run == nil {
				delete(j.tasks, i)
			}
		}
		if !isHeld && len(j.tasks) == 0 && !j.isLoading {
			delete(r.jobs, id)
		}
	}
}

// cancel ends the task's run and frees its slot at once; the lock is held.
func (r *Runner) cancel(t *task, cause error) {
	t.run.cancel(cause)
	t.runTime += time.Since(t.run.started)
	r.balancer.End(t.run.ticket, placer.EndedLocally)
	t.run, t.idleSince = nil, time.Now()
}

// planInterval is the minimum time between two plans; an item's run spans many of them.
const planInterval = 50 * time.Millisecond

// planItems orders all unfinished items; the lock is held.
func (r *Runner) planItems(now time.Time) {
	if now.Sub(r.plannedAt) < planInterval {
		return
	}
	r.plannedAt = now
	r.countOutputs()
	var items []scheduler.Item
	tasks := map[string]*task{}
	running := 0
	for id, j := range r.jobs {
		if r.manager.IsOver(id) {
			continue
		}
		for i, t := range j.tasks {
			if t.isOver || (!t.isHere && t.run == nil) || r.manager.IsFinished(id, i) {
				continue
			}
			runTime := t.runTime
			if t.run != nil {
				running++
				runTime += now.Sub(t.run.started)
			}
			key := id + "/" + t.item.ID
			tasks[key] = t
			items = append(items, scheduler.Item{
				ID: key, Due: j.due, Remaining: r.estimator.Remaining(t.item.Tokens, runTime),
			})
		}
	}
	r.estimator.ObserveRunning(now, running)
	r.plan = r.plan[:0]
	for _, p := range scheduler.Order(now, items, r.estimator.Slots(running)) {
		t := tasks[p.ID]
		t.isLate = p.IsLate
		r.plan = append(r.plan, t)
	}
}

// finish passes the final result of an item to the job manager; the lock is held.
func (r *Runner) finish(t *task, result jobmanager.Result) {
	t.isOver = true
	t.output = nil
	r.manager.Finish(r.ctx, t.job.id, t.index, result)
}
