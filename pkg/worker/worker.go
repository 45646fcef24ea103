package worker

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/balancer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/jobber"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/placer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/scheduler"
	"github.com/dogwoodledge/dogwoodledge/pkg/dialer"
	"github.com/dogwoodledge/dogwoodledge/pkg/jobkeeper"
	"github.com/dogwoodledge/dogwoodledge/pkg/pauser"
	"github.com/dogwoodledge/dogwoodledge/pkg/relayer"
)

const (
	// tickEvery bounds how late the worker sees what nobody signals, such as peers that fell silent.
	tickEvery = 100 * time.Millisecond
	// stepGap spaces rounds of decisions: about a step of an engine.
	stepGap = 4 * time.Millisecond
	// retryAfter is the pause of an item after a failure that says nothing of the item itself.
	retryAfter = 200 * time.Millisecond
	// loadRetry is the pause after a job's items could not be read.
	loadRetry = 300 * time.Millisecond
)

// Metrics counts runs; its methods must not block.
type Metrics interface {
	ItemRun(outcome string)
}

// Worker runs items.
type Worker struct {
	headers  relayer.Headers
	keeper   *jobkeeper.Keeper
	registry func() *registrar.Registry
	balancer *balancer.Balancer
	pool     *dialer.Pool
	metrics  Metrics
	log      logrus.FieldLogger

	mu        sync.Mutex
	jobs      map[string]*work
	estimator *scheduler.Estimator
	// plan holds the items in the order in which to run them, as of plannedAt.
	plan      []*task
	plannedAt time.Time
	isLeaving bool
	ctx       context.Context
}

// work is a job that this VM runs.
type work struct {
	id    string
	due   time.Time
	host  string
	items []jobkeeper.Item
	tasks map[int]*task
	// writer names this VM's work on the job in checkpoints.
	writer    string
	isLoading bool
	retryLoad time.Time
}

// task is an item that is not at its end.
type task struct {
	work  *work
	index int
	item  jobkeeper.Item

	// events had so far.
	lastEvent int64
	output    []byte
	hasOutput bool
	// failures counts the endpoints' own failures.
	failures  int
	notBefore time.Time
	run       *itemRun
	// ran is how long earlier runs took.
	ran time.Duration
	// isLate says that the plan puts the item behind those that can be done in time.
	isLate bool
	// saved is how much of the output, up to which event, is in checkpoints.
	saved      int
	savedEvent int64
	// hasSaved says that this VM saved a checkpoint of the item.
	hasSaved bool
	isOver   bool
}

// itemRun is one run of an item at an endpoint.
type itemRun struct {
	endpoint registrar.Endpoint
	ticket   *placer.Ticket
	cancel   context.CancelCauseFunc
	started  time.Time
}

// New returns a worker.
func New(
	h relayer.Headers, k *jobkeeper.Keeper, registry func() *registrar.Registry, b *balancer.Balancer, p *dialer.Pool,
	m Metrics, log logrus.FieldLogger,
) *Worker {
	return &Worker{
		headers: h, keeper: k, registry: registry, balancer: b, pool: p, metrics: m, log: log, jobs: map[string]*work{},
		estimator: scheduler.NewEstimator(),
	}
}

// Start runs items until ctx ends.
func (w *Worker) Start(ctx context.Context) {
	w.ctx = ctx
	go w.run(ctx)
	go w.runCheckpoint(ctx)
}

// Leave starts no further item and hands the jobs over; items under way go on.
func (w *Worker) Leave() {
	w.mu.Lock()
	w.isLeaving = true
	running := map[string][]int{}
	for id, j := range w.jobs {
		for i, t := range j.tasks {
			if t.run != nil {
				running[id] = append(running[id], i)
			}
		}
	}
	w.mu.Unlock()
	w.balancer.SetPending(0, time.Time{})
	w.keeper.HandOver(w.ctx, running)
}

// Running returns how many items are under way or wait to be written.
func (w *Worker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for id, j := range w.jobs {
		for i, t := range j.tasks {
			if t.run != nil || (t.isOver && w.keeper.IsUnwritten(id, i)) {
				n++
			}
		}
	}
	return n
}

func (w *Worker) run(ctx context.Context) {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-w.keeper.Changed():
		case <-w.balancer.Freed():
		}
		w.step(ctx, time.Now())
		if !pauser.Pause(ctx, stepGap) {
			return
		}
	}
}

func (w *Worker) step(ctx context.Context, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.syncJobs(ctx, now)
	w.stopNeedless()
	w.yield(now)
	if !w.isLeaving {
		w.startItems(ctx, now)
	}
}

// syncJobs takes over which jobs this VM holds and which of their items are left; the lock is held.
func (w *Worker) syncJobs(ctx context.Context, now time.Time) {
	for _, h := range w.keeper.Held() {
		j, ok := w.jobs[h.Job.ID]
		if !ok {
			j = &work{id: h.Job.ID, due: h.Job.DueTime(), host: h.Job.Host, tasks: map[int]*task{}}
			w.jobs[h.Job.ID] = j
		}
		if j.items == nil {
			if !j.isLoading && now.After(j.retryLoad) {
				j.isLoading = true
				go w.runLoad(ctx, j)
			}
			continue
		}
		for _, i := range h.Items {
			if _, ok := j.tasks[i]; !ok && i < len(j.items) {
				j.tasks[i] = &task{work: j, index: i, item: j.items[i], lastEvent: -1, savedEvent: -1}
			}
		}
	}
}

// runLoad reads the items of a job, and what was saved of their outputs.
func (w *Worker) runLoad(ctx context.Context, j *work) {
	items, err := w.keeper.Items(ctx, j.id, true)
	saved := map[int]jobkeeper.Checkpoint{}
	if err == nil {
		saved, err = w.keeper.Checkpoints(ctx, j.id)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	j.isLoading = false
	if err != nil {
		j.retryLoad = time.Now().Add(loadRetry)
		w.log.WithError(err).WithField("job", j.id).Warn("job's items can't be read yet")
		return
	}
	j.items = items
	j.writer = uuid.NewString()
	for i, c := range saved {
		if i < len(items) {
			j.tasks[i] = &task{
				work: j, index: i, item: items[i], lastEvent: c.LastEvent, output: c.Output, hasOutput: true,
				saved: len(c.Output), savedEvent: c.LastEvent,
			}
		}
	}
}

// stopNeedless ends the runs of items that have their result or whose job is over or elsewhere; the lock is held.
func (w *Worker) stopNeedless() {
	for id, j := range w.jobs {
		isHeld := w.keeper.IsHeld(id)
		for i, t := range j.tasks {
			if t.run != nil && (!isHeld || w.keeper.IsFinished(id, i)) {
				w.cancel(t, errNeedless)
			}
			if !isHeld && t.run == nil {
				delete(j.tasks, i)
			}
		}
		if !isHeld && len(j.tasks) == 0 && !j.isLoading {
			delete(w.jobs, id)
		}
	}
}

// yield gives slots up that online requests need; the lock is held.
func (w *Worker) yield(now time.Time) {
	byEndpoint := map[string][]*task{}
	for _, j := range w.jobs {
		for _, t := range j.tasks {
			if t.run != nil {
				byEndpoint[t.run.endpoint.ID] = append(byEndpoint[t.run.endpoint.ID], t)
			}
		}
	}
	reg := w.registry()
	for id, tasks := range byEndpoint {
		e, ok := reg.Endpoints[id]
		if !ok {
			e = tasks[0].run.endpoint
		}
		n := w.balancer.Excess(e)
		if n == 0 {
			continue
		}
		slices.SortFunc(tasks, yieldsBefore)
		for _, t := range tasks[:min(n, len(tasks))] {
			w.cancel(t, errYield)
			t.notBefore = now
		}
	}
}

// yieldsBefore orders tasks by which gives up its slot first: late ones, then those due last.
func yieldsBefore(a, b *task) int {
	if a.isLate != b.isLate {
		if a.isLate {
			return -1
		}
		return 1
	}
	if c := b.work.due.Compare(a.work.due); c != 0 {
		return c
	}
	return b.run.started.Compare(a.run.started)
}

// cancel ends the task's run; its slot counts as free at once.
func (w *Worker) cancel(t *task, cause error) {
	t.run.cancel(cause)
	t.ran += time.Since(t.run.started)
	w.balancer.End(t.run.ticket, placer.EndedHere)
	t.run = nil
}

// startItems starts waiting items while there is room, in the order of the plan; the lock is held.
func (w *Worker) startItems(ctx context.Context, now time.Time) {
	w.planItems(now)
	waiting := w.waiting(now)
	w.setPending(waiting)
	full := map[string]bool{}
	started := 0
	for _, t := range waiting {
		reg := w.registry()
		route, ok := reg.Config.Match(t.work.host, t.item.Path)
		if !ok || route.Kind != registrar.KindBatch {
			w.abandonIfGone(t, reg)
			continue
		}
		service := route.ServiceFor(t.item.ID)
		if full[service] {
			continue
		}
		e, ticket, ok := w.balancer.StartBatch(reg.Of(service))
		if !ok {
			full[service] = true
			continue
		}
		runCtx, cancel := context.WithCancelCause(ctx)
		t.run = &itemRun{endpoint: e, ticket: ticket, cancel: cancel, started: now}
		started++
		go w.runItem(runCtx, t, t.run, route)
	}
	if started > 0 {
		w.setPending(w.waiting(now))
	}
}

// lateUrgency is the urgency of items that are late whatever is done.
const lateUrgency = time.Minute

func (w *Worker) setPending(waiting []*task) {
	if len(waiting) == 0 {
		w.balancer.SetPending(0, time.Time{})
		return
	}
	due := waiting[0].work.due
	if waiting[0].isLate {
		due = time.Now().Add(lateUrgency)
	}
	w.balancer.SetPending(len(waiting), due)
}

// planEvery is how often the order of items is worked out: many times in an item's run.
const planEvery = 50 * time.Millisecond

// planItems orders all items that are not at their end; the lock is held.
func (w *Worker) planItems(now time.Time) {
	if now.Sub(w.plannedAt) < planEvery {
		return
	}
	w.plannedAt = now
	var items []scheduler.Item
	tasks := map[string]*task{}
	running := 0
	for id, j := range w.jobs {
		if w.keeper.IsOver(id) {
			continue
		}
		for i, t := range j.tasks {
			if t.isOver || w.keeper.IsFinished(id, i) {
				continue
			}
			ran := t.ran
			if t.run != nil {
				running++
				ran += now.Sub(t.run.started)
			}
			key := id + "/" + t.item.ID
			tasks[key] = t
			items = append(items, scheduler.Item{
				ID: key, Due: j.due, Remaining: w.estimator.Remaining(t.item.Tokens, ran),
			})
		}
	}
	w.estimator.Running(now, running)
	w.plan = w.plan[:0]
	for _, p := range scheduler.Order(now, items, w.estimator.Slots(running)) {
		t := tasks[p.ID]
		t.isLate = p.IsLate
		w.plan = append(w.plan, t)
	}
}

// waiting returns the items of the plan that may be started; the lock is held.
func (w *Worker) waiting(now time.Time) []*task {
	var waiting []*task
	for _, t := range w.plan {
		if t.run == nil && !t.isOver && !now.Before(t.notBefore) && !w.keeper.IsFinished(t.work.id, t.index) {
			waiting = append(waiting, t)
		}
	}
	return waiting
}

// abandonIfGone gives an item up whose route the configuration no longer has.
func (w *Worker) abandonIfGone(t *task, reg *registrar.Registry) {
	if reg.Config.Version < w.keeper.ConfigOf(t.work.id) {
		return
	}
	w.log.WithFields(logrus.Fields{
		"job": t.work.id, "item": t.item.ID, "config": reg.Config.Version,
	}).Warn("item given up: its route is gone")
	w.finish(t, jobkeeper.Result{ID: t.item.ID, State: jobber.Abandoned})
}

func (w *Worker) finish(t *task, r jobkeeper.Result) {
	t.isOver = true
	t.output = nil
	w.keeper.Finish(w.ctx, t.work.id, t.index, r)
}
