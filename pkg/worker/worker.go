package worker

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/balancer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/jobrecorder"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/placer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/scheduler"
	"github.com/dogwoodledge/dogwoodledge/pkg/dialer"
	"github.com/dogwoodledge/dogwoodledge/pkg/jobmanager"
	"github.com/dogwoodledge/dogwoodledge/pkg/relayer"
	"github.com/dogwoodledge/dogwoodledge/pkg/sleeper"
)

const (
	// tickInterval limits how late the worker reacts to changes that are not signalled, such as peers that stopped sending.
	tickInterval = 100 * time.Millisecond
	// minStepInterval is the pause after each call of step; it is about as long as one decoding step of an engine.
	minStepInterval = 4 * time.Millisecond
	// retryPause is the pause before the next run of an item whose last run failed.
	retryPause = 200 * time.Millisecond
	// loadRetryPause is the pause before the items of a job are read again after a failed read.
	loadRetryPause = 300 * time.Millisecond
)

// Metrics counts the runs of items by outcome; its methods must not block.
type Metrics interface {
	ItemRun(outcome string)
}

// Worker runs the items of the batch jobs that this VM holds.
type Worker struct {
	headers  relayer.Headers
	manager  *jobmanager.Manager
	registry func() *registrar.Registry
	balancer *balancer.Balancer
	pool     *dialer.Pool
	metrics  Metrics
	log      logrus.FieldLogger

	mu        sync.Mutex
	jobs      map[string]*jobState
	estimator *scheduler.Estimator
	// plan holds the unfinished items in the order in which to run them, as computed at plannedAt.
	plan      []*task
	plannedAt time.Time
	isLeaving bool
	ctx       context.Context
}

// jobState is a job that this VM runs.
type jobState struct {
	id  string
	due time.Time
	// host is the Host header of the items' requests.
	host  string
	items []jobmanager.Item
	tasks map[int]*task
	// writer identifies this VM's checkpoints of the job; it is new each time that the job is loaded.
	writer    string
	isLoading bool
	retryLoad time.Time
}

// task is an item of a held job, with the state of its runs on this VM.
type task struct {
	job   *jobState
	index int
	item  jobmanager.Item

	// lastEvent is the id of the last event received, or -1.
	lastEvent int64
	output    []byte
	hasOutput bool
	// failures counts the runs that the endpoint answered with status 500.
	failures  int
	notBefore time.Time
	run       *itemRun
	// runTime is the total time of the earlier runs.
	runTime time.Duration
	// isLate says that the item is planned after all items that can still meet their due time.
	isLate bool
	// savedBytes of the output, up to the event savedEvent, are in checkpoints.
	savedBytes int
	savedEvent int64
	// hasSaved says that this VM has saved a checkpoint of the item since it loaded the job.
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

// New returns a worker; Start starts it.
func New(
	h relayer.Headers, jm *jobmanager.Manager, registry func() *registrar.Registry, b *balancer.Balancer, p *dialer.Pool,
	m Metrics, log logrus.FieldLogger,
) *Worker {
	return &Worker{
		headers: h, manager: jm, registry: registry, balancer: b, pool: p, metrics: m, log: log, jobs: map[string]*jobState{},
		estimator: scheduler.NewEstimator(),
	}
}

// Start runs items until ctx ends.
func (w *Worker) Start(ctx context.Context) {
	w.ctx = ctx
	go w.run(ctx)
	go w.runCheckpoint(ctx)
}

// Leave stops the start of further items and hands the jobs over to other VMs; running items continue.
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
	w.manager.HandOver(w.ctx, running)
}

// Running returns the number of items that run or whose result is not in the store yet.
func (w *Worker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for id, j := range w.jobs {
		for i, t := range j.tasks {
			if t.run != nil || (t.isOver && w.manager.IsUnwritten(id, i)) {
				n++
			}
		}
	}
	return n
}

func (w *Worker) run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-w.manager.Changed():
		case <-w.balancer.SlotsChanged():
		}
		w.step(ctx, time.Now())
		if !sleeper.Sleep(ctx, minStepInterval) {
			return
		}
	}
}

func (w *Worker) step(ctx context.Context, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.syncJobs(ctx, now)
	w.stopUnneededRuns()
	w.preempt(now)
	if !w.isLeaving {
		w.startItems(ctx, now)
	}
}

// syncJobs adds the jobs that this VM holds and their unfinished items, and starts to load new jobs; the lock is held.
func (w *Worker) syncJobs(ctx context.Context, now time.Time) {
	for _, h := range w.manager.Held() {
		j, ok := w.jobs[h.Job.ID]
		if !ok {
			j = &jobState{id: h.Job.ID, due: h.Job.DueTime(), host: h.Job.Host, tasks: map[int]*task{}}
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
				j.tasks[i] = &task{job: j, index: i, item: j.items[i], lastEvent: -1, savedEvent: -1}
			}
		}
	}
}

// runLoad reads the items of a job and the checkpoints of their outputs.
func (w *Worker) runLoad(ctx context.Context, j *jobState) {
	items, err := w.manager.Items(ctx, j.id, true)
	saved := map[int]jobmanager.Checkpoint{}
	if err == nil {
		saved, err = w.manager.Checkpoints(ctx, j.id)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	j.isLoading = false
	if err != nil {
		j.retryLoad = time.Now().Add(loadRetryPause)
		w.log.WithError(err).WithField("job", j.id).Warn("items of the job not read; retrying")
		return
	}
	j.items = items
	j.writer = uuid.NewString()
	for i, c := range saved {
		if i < len(items) {
			j.tasks[i] = &task{
				job: j, index: i, item: items[i], lastEvent: c.LastEvent, output: c.Output, hasOutput: true,
				savedBytes: len(c.Output), savedEvent: c.LastEvent,
			}
		}
	}
}

// stopUnneededRuns ends the runs of items that already have a result, or whose job has ended or moved to another VM; the lock
// is held.
func (w *Worker) stopUnneededRuns() {
	for id, j := range w.jobs {
		isHeld := w.manager.IsHeld(id)
		for i, t := range j.tasks {
			if t.run != nil && (!isHeld || w.manager.IsFinished(id, i)) {
				w.cancel(t, errNotNeeded)
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

// preempt ends the runs whose slots online requests need; the lock is held.
func (w *Worker) preempt(now time.Time) {
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
		n := w.balancer.ExcessBatch(e)
		if n == 0 {
			continue
		}
		slices.SortFunc(tasks, preemptedBefore)
		for _, t := range tasks[:min(n, len(tasks))] {
			w.cancel(t, errPreempted)
			t.notBefore = now
		}
	}
}

// preemptedBefore orders tasks for preemption: late ones first, then those with the latest due time, then those that started
// last.
func preemptedBefore(a, b *task) int {
	if a.isLate != b.isLate {
		if a.isLate {
			return -1
		}
		return 1
	}
	if c := b.job.due.Compare(a.job.due); c != 0 {
		return c
	}
	return b.run.started.Compare(a.run.started)
}

// cancel ends the task's run and frees its slot at once; the lock is held.
func (w *Worker) cancel(t *task, cause error) {
	t.run.cancel(cause)
	t.runTime += time.Since(t.run.started)
	w.balancer.End(t.run.ticket, placer.EndedLocally)
	t.run = nil
}

// startItems starts waiting items in the order of the plan while slots are free; the lock is held.
func (w *Worker) startItems(ctx context.Context, now time.Time) {
	w.planItems(now)
	waiting := w.waiting(now)
	w.setPending(waiting)
	full := map[string]bool{}
	started := 0
	for _, t := range waiting {
		reg := w.registry()
		route, ok := reg.Config.Match(t.job.host, t.item.Path)
		if !ok || route.Kind != registrar.KindBatch {
			w.abandonIfGone(t, reg)
			continue
		}
		service := route.ServiceFor(t.item.ID)
		if full[service] {
			continue
		}
		e, ticket, ok := w.balancer.StartBatch(reg.EndpointsOf(service))
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

// lateUrgency is the time until due that the balancer receives for items that can no longer meet their due time.
const lateUrgency = time.Minute

// setPending passes the number of waiting items and the due time of the first to the balancer.
func (w *Worker) setPending(waiting []*task) {
	if len(waiting) == 0 {
		w.balancer.SetPending(0, time.Time{})
		return
	}
	due := waiting[0].job.due
	if waiting[0].isLate {
		due = time.Now().Add(lateUrgency)
	}
	w.balancer.SetPending(len(waiting), due)
}

// planInterval is the minimum time between two plans; an item's run spans many of them.
const planInterval = 50 * time.Millisecond

// planItems orders all unfinished items; the lock is held.
func (w *Worker) planItems(now time.Time) {
	if now.Sub(w.plannedAt) < planInterval {
		return
	}
	w.plannedAt = now
	var items []scheduler.Item
	tasks := map[string]*task{}
	running := 0
	for id, j := range w.jobs {
		if w.manager.IsOver(id) {
			continue
		}
		for i, t := range j.tasks {
			if t.isOver || w.manager.IsFinished(id, i) {
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
				ID: key, Due: j.due, Remaining: w.estimator.Remaining(t.item.Tokens, runTime),
			})
		}
	}
	w.estimator.ObserveRunning(now, running)
	w.plan = w.plan[:0]
	for _, p := range scheduler.Order(now, items, w.estimator.Slots(running)) {
		t := tasks[p.ID]
		t.isLate = p.IsLate
		w.plan = append(w.plan, t)
	}
}

// waiting returns the items of the plan that may be started now; the lock is held.
func (w *Worker) waiting(now time.Time) []*task {
	var waiting []*task
	for _, t := range w.plan {
		if t.run == nil && !t.isOver && !now.Before(t.notBefore) && !w.manager.IsFinished(t.job.id, t.index) {
			waiting = append(waiting, t)
		}
	}
	return waiting
}

// abandonIfGone abandons an item whose route the configuration no longer has. It waits until this VM has the configuration
// that allowed the job.
func (w *Worker) abandonIfGone(t *task, reg *registrar.Registry) {
	if reg.Config.Version < w.manager.ConfigOf(t.job.id) {
		return
	}
	w.log.WithFields(logrus.Fields{
		"job": t.job.id, "item": t.item.ID, "config": reg.Config.Version,
	}).Warn("item abandoned: its route is no longer configured")
	w.finish(t, jobmanager.Result{ID: t.item.ID, State: jobrecorder.Abandoned})
}

// finish passes the final result of an item to the job manager; the lock is held.
func (w *Worker) finish(t *task, r jobmanager.Result) {
	t.isOver = true
	t.output = nil
	w.manager.Finish(w.ctx, t.job.id, t.index, r)
}
