package allocator

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/option"
)

const (
	tickInterval = 250 * time.Millisecond
	// grantGrace is how long after its latest release time a grant is kept before its slot is freed.
	grantGrace = 30 * time.Second
	// peakWindow is how long an account's peak use counts.
	peakWindow = 10 * time.Second
	// releasedTimeout is how long the release of an unknown slot is kept, in case its declaration arrives later.
	releasedTimeout = 10 * time.Second
	minRetryAfter   = time.Second
)

// grant is one online slot in use.
type grant struct {
	id        string
	vm        string
	account   string
	expiresAt time.Time
}

// accountUse is the number of slots that an account holds, and the recent peak of that number with its time.
type accountUse struct {
	held   int
	peak   int
	peakAt time.Time
}

// Allocator allocates the slots of one endpoint. It is not safe for concurrent use.
type Allocator struct {
	policy    Policy
	estimator estimator
	queue     *fairQueue
	grants    map[string]*grant
	use       map[string]*accountUse
	batch     batchPool
	// released holds the release times of slots that this allocator did not know, in case their declarations arrive later.
	released     map[string]time.Time
	isConfigured bool
	nextTick     time.Time
}

// New returns an allocator without a policy; it refuses all requests until it receives Configured.
func New() *Allocator {
	return &Allocator{
		queue: newFairQueue(), grants: map[string]*grant{}, use: map[string]*accountUse{}, released: map[string]time.Time{},
	}
}

// Load is the load of one endpoint: the online slots and batch slots in use, the queued requests, the total number of
// slots, and the expected wait of the last queued request.
type Load struct {
	Online  int
	Queued  int
	Batch   int
	Slots   int
	Waiting time.Duration
}

// Load returns the endpoint's current load.
func (a *Allocator) Load() Load {
	slots := a.estimator.slots(a.policy)
	return Load{
		Online:  len(a.grants),
		Queued:  a.queue.length,
		Batch:   len(a.batch.running),
		Slots:   slots,
		Waiting: a.waitFor(a.queue.length, slots),
	}
}

// BatchRoom returns how many more batch items should be offered to keep enough of them ready to start.
func (a *Allocator) BatchRoom() int {
	if a.policy.IsBatchPaused || a.policy.IsLeaving {
		return 0
	}
	return max(0, 2*a.policy.Slots-len(a.batch.ready)-len(a.batch.running))
}

// Handle processes one input and returns the outputs to carry out, in order.
func (a *Allocator) Handle(now time.Time, in Input) []Output {
	out := []Output{}
	switch in := in.(type) {
	case Configured:
		a.configure(in.Policy)
	case SlotRequested:
		out = a.enqueue(now, in, out)
	case Withdrawn:
		a.queue.remove(func(w *SlotRequested) bool { return w.ID == in.ID })
	case SlotReleased:
		a.handleReleased(now, in)
	case SlotDeclared:
		a.declare(now, in)
	case VMLost:
		a.releaseVM(now, in.VM)
	case LoadReported:
		a.estimator.observeLoad(now, in)
	case BatchOffered:
		a.batch.offer(in)
	case BatchEnded:
		a.batch.end(in.ID)
	case Woken:
		a.tick(now)
	}
	return a.settle(now, out)
}

// NextWake returns the time at which Handle is to be called with Woken, or none while nothing is pending.
func (a *Allocator) NextWake() option.Option[time.Time] {
	if a.queue.length == 0 && len(a.batch.ready) == 0 && len(a.grants) == 0 && len(a.released) == 0 {
		return option.None[time.Time]()
	}
	wake := a.nextTick
	if first := a.queue.earliest(); !first.IsZero() && first.Before(wake) {
		wake = first
	}
	return option.Some(wake)
}

func (a *Allocator) configure(p Policy) {
	if !a.isConfigured {
		a.estimator = newEstimator(p.Slots)
		a.isConfigured = true
	}
	if p.Slots != a.policy.Slots {
		a.estimator.limit = float64(p.Slots)
	}
	a.policy = p
	a.queue.weights = p.AccountWeights
}

// enqueue queues a request for a slot, or refuses it if its expected wait ends after its deadline or the queue is full.
func (a *Allocator) enqueue(now time.Time, in SlotRequested, out []Output) []Output {
	if a.policy.IsLeaving || !a.isConfigured {
		return append(out, Refused{ID: in.ID, Reason: ReasonLeaving, RetryAfter: minRetryAfter})
	}
	slots := a.estimator.slots(a.policy)
	wait := time.Duration(0)
	if a.queue.length > 0 || !a.shares(now, slots).isOpen(in.Account) {
		wait = a.waitFor(a.queue.ahead(in.Account)+1, slots)
	}
	if now.Add(wait).After(in.Deadline) {
		return append(out, Refused{ID: in.ID, Reason: ReasonDeadline, RetryAfter: a.retryAfter(slots)})
	}
	a.queue.push(&in)
	if a.queue.length > a.policy.QueueLimit {
		w := a.queue.dropFromLongest()
		out = append(out, Refused{ID: w.ID, Reason: ReasonQueueFull, RetryAfter: a.retryAfter(slots)})
	}
	return out
}

// waitFor returns the expected wait of the request at a position of the queue.
func (a *Allocator) waitFor(position, slots int) time.Duration {
	return time.Duration(float64(position) * float64(a.estimator.serviceTime) / float64(max(1, slots)))
}

func (a *Allocator) retryAfter(slots int) time.Duration {
	return max(minRetryAfter, a.waitFor(a.queue.length, slots))
}

// handleReleased releases a slot and passes its report to the estimator.
func (a *Allocator) handleReleased(now time.Time, in SlotReleased) {
	if _, ok := a.grants[in.ID]; !ok {
		a.released[in.ID] = now
		return
	}
	a.release(in.ID)
	a.estimator.observeOnline(now, a.policy, in.Report, a.queue.length > 0)
}

// declare records a slot that is already held, unless its release has arrived before: declaration and release reach a new
// allocator in either order.
func (a *Allocator) declare(now time.Time, in SlotDeclared) {
	if _, ok := a.released[in.ID]; ok {
		return
	}
	a.hold(now, &grant{id: in.ID, vm: in.VM, account: in.Account, expiresAt: in.HoldUntil.Add(grantGrace)})
}

// hold records a grant, unless it is recorded already, and counts it for its account.
func (a *Allocator) hold(now time.Time, g *grant) {
	if _, ok := a.grants[g.id]; ok {
		return
	}
	a.grants[g.id] = g
	u, ok := a.use[g.account]
	if !ok {
		u = &accountUse{}
		a.use[g.account] = u
	}
	u.held++
	if u.held >= u.peak {
		u.peak, u.peakAt = u.held, now
	}
}

func (a *Allocator) release(id string) {
	g := a.grants[id]
	delete(a.grants, id)
	a.use[g.account].held--
}

// releaseVM frees the slots of a lost VM and removes its requests from the queue.
func (a *Allocator) releaseVM(now time.Time, vm string) {
	for _, id := range a.grantIDs(func(g *grant) bool { return g.vm == vm }) {
		a.release(id)
	}
	a.queue.remove(func(w *SlotRequested) bool { return w.VM == vm })
	a.expirePeaks(now)
}

// grantIDs returns the ids of the matching grants, sorted.
func (a *Allocator) grantIDs(match func(*grant) bool) []string {
	ids := []string{}
	for id, g := range a.grants {
		if match(g) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, strings.Compare)
	return ids
}

// tick frees expired grants and lets the batch window and the peaks of use recover.
func (a *Allocator) tick(now time.Time) {
	for _, id := range a.grantIDs(func(g *grant) bool { return g.expiresAt.Before(now) }) {
		a.release(id)
	}
	maps.DeleteFunc(a.released, func(_ string, at time.Time) bool { return now.Sub(at) >= releasedTimeout })
	a.estimator.growWindow(now, a.policy)
	a.expirePeaks(now)
}

// expirePeaks replaces peaks older than peakWindow by the current use, and drops accounts without slots.
func (a *Allocator) expirePeaks(now time.Time) {
	for account, u := range a.use {
		if now.Sub(u.peakAt) < peakWindow {
			continue
		}
		u.peak, u.peakAt = u.held, now
		if u.held == 0 {
			delete(a.use, account)
		}
	}
}

// settle refuses queued requests whose deadline has passed, or all of them when the endpoint is leaving, grants free slots to
// the others, and starts or suspends batch items to fit the slots that remain.
func (a *Allocator) settle(now time.Time, out []Output) []Output {
	if !a.nextTick.After(now) {
		a.nextTick = now.Add(tickInterval)
	}
	slots := a.estimator.slots(a.policy)
	for _, w := range a.queue.remove(func(w *SlotRequested) bool { return !w.Deadline.After(now) || a.policy.IsLeaving }) {
		reason := ReasonDeadline
		if a.policy.IsLeaving {
			reason = ReasonLeaving
		}
		out = append(out, Refused{ID: w.ID, Reason: reason, RetryAfter: a.retryAfter(slots)})
	}
	out = a.grantQueued(now, slots, out)
	if a.queue.length > 0 {
		// A queue shows an overload seconds before the resulting latency is reported.
		a.estimator.shrinkWindow(now)
	}
	return a.settleBatch(slots, out)
}

// grantQueued grants free slots to queued requests, except those that running urgent batch items keep.
func (a *Allocator) grantQueued(now time.Time, slots int, out []Output) []Output {
	kept := min(urgentSlots(a.policy, slots, a.batch.hasUrgent()), a.batch.urgentRunning())
	for a.queue.length > 0 && len(a.grants) < slots-kept {
		w := a.queue.pop(a.shares(now, slots).isOpen)
		if w == nil {
			return out
		}
		a.hold(now, &grant{id: w.ID, vm: w.VM, account: w.Account, expiresAt: w.HoldUntil.Add(grantGrace)})
		out = append(out, Granted{ID: w.ID})
	}
	return out
}

// settleBatch suspends running batch items above the allowance and starts ready ones below it.
//
// Suspensions come before grants in the outputs, so an online request waits for batch work at most one step of the engine.
func (a *Allocator) settleBatch(slots int, out []Output) []Output {
	allowed := a.batchAllowance(slots)
	suspended := []Output{}
	for len(a.batch.running) > allowed {
		suspended = append(suspended, BatchSuspended{ID: a.batch.suspend().id})
	}
	if len(suspended) > 0 {
		out = append(suspended, out...)
	}
	for len(a.batch.running) < allowed && len(a.batch.ready) > 0 {
		out = append(out, BatchStarted{ID: a.batch.start().id})
	}
	return out
}

// batchAllowance returns how many batch items may run: the slots that are neither held by online requests nor reserved for
// the next ones, bounded by the batch window, but at least the slots kept for urgent items.
func (a *Allocator) batchAllowance(slots int) int {
	if a.policy.IsBatchPaused || a.policy.IsLeaving {
		return 0
	}
	allowed := min(a.policy.spareSlots(len(a.grants), slots), int(a.estimator.window))
	return max(0, allowed, urgentSlots(a.policy, slots, a.batch.hasUrgent()))
}
