package keeper

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

// accountUse holds the number of slots that an account holds, and its recent peak with the time of that peak.
type accountUse struct {
	held   int
	peak   int
	peakAt time.Time
}

// Keeper allocates the slots of one endpoint. It is not safe for concurrent use.
type Keeper struct {
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
func New() *Keeper {
	return &Keeper{
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
func (k *Keeper) Load() Load {
	slots := k.estimator.slots(k.policy)
	return Load{
		Online:  len(k.grants),
		Queued:  k.queue.length,
		Batch:   len(k.batch.running),
		Slots:   slots,
		Waiting: k.waitFor(k.queue.length, slots),
	}
}

// BatchRoom returns how many more batch items should be offered to keep enough of them ready to start.
func (k *Keeper) BatchRoom() int {
	if k.policy.IsBatchPaused || k.policy.IsLeaving {
		return 0
	}
	return max(0, 2*k.policy.Slots-len(k.batch.ready)-len(k.batch.running))
}

// Handle processes one input and returns the outputs to carry out, in order.
func (k *Keeper) Handle(now time.Time, in Input) []Output {
	out := []Output{}
	switch in := in.(type) {
	case Configured:
		k.configure(in.Policy)
	case Asked:
		out = k.ask(now, in, out)
	case Withdrawn:
		k.queue.remove(func(w *Asked) bool { return w.ID == in.ID })
	case Returned:
		k.handleReturned(now, in)
	case Declared:
		k.declare(now, in)
	case VMLost:
		k.loseVM(now, in.VM)
	case LoadReported:
		k.estimator.observeLoad(now, in)
	case BatchOffered:
		k.batch.offer(in)
	case BatchEnded:
		k.batch.end(in.ID)
	case Woken:
		k.tick(now)
	}
	return k.settle(now, out)
}

// NextWake returns the time at which Handle is to be called with Woken, or none while nothing is pending.
func (k *Keeper) NextWake() option.Option[time.Time] {
	if k.queue.length == 0 && len(k.batch.ready) == 0 && len(k.grants) == 0 && len(k.released) == 0 {
		return option.None[time.Time]()
	}
	wake := k.nextTick
	if first := k.queue.earliest(); !first.IsZero() && first.Before(wake) {
		wake = first
	}
	return option.Some(wake)
}

func (k *Keeper) configure(p Policy) {
	if !k.isConfigured {
		k.estimator = newEstimator(p.Slots)
		k.isConfigured = true
	}
	if p.Slots != k.policy.Slots {
		k.estimator.limit = float64(p.Slots)
	}
	k.policy = p
	k.queue.weights = p.AccountWeights
}

// ask queues a request for a slot, or refuses it if its expected wait ends after its deadline or the queue is full.
func (k *Keeper) ask(now time.Time, in Asked, out []Output) []Output {
	if k.policy.IsLeaving || !k.isConfigured {
		return append(out, Refused{ID: in.ID, Reason: ReasonLeaving, RetryAfter: minRetryAfter})
	}
	slots := k.estimator.slots(k.policy)
	wait := time.Duration(0)
	if k.queue.length > 0 || !k.shares(now, slots).isOpen(in.Account) {
		wait = k.waitFor(k.queue.ahead(in.Account)+1, slots)
	}
	if now.Add(wait).After(in.Deadline) {
		return append(out, Refused{ID: in.ID, Reason: ReasonDeadline, RetryAfter: k.retryAfter(slots)})
	}
	k.queue.push(&in)
	if k.queue.length > k.policy.QueueLimit {
		w := k.queue.dropFromLongest()
		out = append(out, Refused{ID: w.ID, Reason: ReasonQueueFull, RetryAfter: k.retryAfter(slots)})
	}
	return out
}

// waitFor returns the expected wait of the request at a position of the queue.
func (k *Keeper) waitFor(position, slots int) time.Duration {
	return time.Duration(float64(position) * float64(k.estimator.serviceTime) / float64(max(1, slots)))
}

func (k *Keeper) retryAfter(slots int) time.Duration {
	return max(minRetryAfter, k.waitFor(k.queue.length, slots))
}

// handleReturned releases a slot and learns from its report.
func (k *Keeper) handleReturned(now time.Time, in Returned) {
	if _, ok := k.grants[in.ID]; !ok {
		k.released[in.ID] = now
		return
	}
	k.release(in.ID)
	k.estimator.observeOnline(now, k.policy, in.Report, k.queue.length > 0)
}

// declare records a slot that is already held, unless its release has arrived before: declaration and release reach a new
// allocator in either order.
func (k *Keeper) declare(now time.Time, in Declared) {
	if _, ok := k.released[in.ID]; ok {
		return
	}
	k.hold(now, &grant{id: in.ID, vm: in.VM, account: in.Account, expiresAt: in.HoldUntil.Add(grantGrace)})
}

// hold records a grant and the account's use.
func (k *Keeper) hold(now time.Time, g *grant) {
	if _, ok := k.grants[g.id]; ok {
		return
	}
	k.grants[g.id] = g
	u, ok := k.use[g.account]
	if !ok {
		u = &accountUse{}
		k.use[g.account] = u
	}
	u.held++
	if u.held >= u.peak {
		u.peak, u.peakAt = u.held, now
	}
}

func (k *Keeper) release(id string) {
	g := k.grants[id]
	delete(k.grants, id)
	k.use[g.account].held--
}

// loseVM frees the slots of a lost VM and removes its requests from the queue.
func (k *Keeper) loseVM(now time.Time, vm string) {
	for _, id := range k.grantIDs(func(g *grant) bool { return g.vm == vm }) {
		k.release(id)
	}
	k.queue.remove(func(w *Asked) bool { return w.VM == vm })
	k.expirePeaks(now)
}

// grantIDs returns the ids of the matching grants, sorted.
func (k *Keeper) grantIDs(match func(*grant) bool) []string {
	ids := []string{}
	for id, g := range k.grants {
		if match(g) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, strings.Compare)
	return ids
}

// tick frees expired grants and lets the batch window and the peaks of use recover.
func (k *Keeper) tick(now time.Time) {
	for _, id := range k.grantIDs(func(g *grant) bool { return g.expiresAt.Before(now) }) {
		k.release(id)
	}
	maps.DeleteFunc(k.released, func(_ string, at time.Time) bool { return now.Sub(at) >= releasedTimeout })
	k.estimator.growWindow(now, k.policy)
	k.expirePeaks(now)
}

// expirePeaks replaces peaks older than peakWindow by the current use, and drops accounts without slots.
func (k *Keeper) expirePeaks(now time.Time) {
	for account, u := range k.use {
		if now.Sub(u.peakAt) < peakWindow {
			continue
		}
		u.peak, u.peakAt = u.held, now
		if u.held == 0 {
			delete(k.use, account)
		}
	}
}

// settle refuses queued requests whose deadline has passed, or all of them when the endpoint is leaving, grants free slots to
// the others, and starts or suspends batch items to fit the slots that remain.
func (k *Keeper) settle(now time.Time, out []Output) []Output {
	if !k.nextTick.After(now) {
		k.nextTick = now.Add(tickInterval)
	}
	slots := k.estimator.slots(k.policy)
	for _, w := range k.queue.remove(func(w *Asked) bool { return !w.Deadline.After(now) || k.policy.IsLeaving }) {
		reason := ReasonDeadline
		if k.policy.IsLeaving {
			reason = ReasonLeaving
		}
		out = append(out, Refused{ID: w.ID, Reason: reason, RetryAfter: k.retryAfter(slots)})
	}
	out = k.grantQueued(now, slots, out)
	if k.queue.length > 0 {
		// A queue shows an overload seconds before the resulting latency is reported.
		k.estimator.shrinkWindow(now)
	}
	return k.settleBatch(slots, out)
}

// grantQueued grants free slots to queued requests, except those that running urgent batch items keep.
func (k *Keeper) grantQueued(now time.Time, slots int, out []Output) []Output {
	kept := min(urgentSlots(k.policy, slots, k.batch.hasUrgent()), k.batch.urgentRunning())
	for k.queue.length > 0 && len(k.grants) < slots-kept {
		w := k.queue.pop(k.shares(now, slots).isOpen)
		if w == nil {
			return out
		}
		k.hold(now, &grant{id: w.ID, vm: w.VM, account: w.Account, expiresAt: w.HoldUntil.Add(grantGrace)})
		out = append(out, Granted{ID: w.ID})
	}
	return out
}

// settleBatch suspends running batch items above the allowance and starts ready ones below it.
//
// Suspensions come before grants in the outputs, so an online request waits for batch work at most one step of the engine.
func (k *Keeper) settleBatch(slots int, out []Output) []Output {
	allowed := k.batchAllowance(slots)
	suspended := []Output{}
	for len(k.batch.running) > allowed {
		suspended = append(suspended, BatchParked{ID: k.batch.suspend().id})
	}
	if len(suspended) > 0 {
		out = append(suspended, out...)
	}
	for len(k.batch.running) < allowed && len(k.batch.ready) > 0 {
		out = append(out, BatchStarted{ID: k.batch.start().id})
	}
	return out
}

// batchAllowance returns how many batch items may run: the slots that are neither held by online requests nor reserved for
// the next ones, bounded by the batch window, but at least the slots kept for urgent items.
func (k *Keeper) batchAllowance(slots int) int {
	if k.policy.IsBatchPaused || k.policy.IsLeaving {
		return 0
	}
	allowed := min(k.policy.spareSlots(len(k.grants), slots), int(k.estimator.window))
	return max(0, allowed, urgentSlots(k.policy, slots, k.batch.hasUrgent()))
}
