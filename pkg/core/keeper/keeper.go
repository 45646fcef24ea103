package keeper

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/option"
)

const (
	tickEvery       = 250 * time.Millisecond
	grantGrace      = 30 * time.Second
	peakForgetAfter = 10 * time.Second
	endedKeptFor    = 10 * time.Second
	minRetryAfter   = time.Second
)

// grant is one online slot in use.
type grant struct {
	id       string
	vm       string
	account  string
	expireAt time.Time
}

// accountUse remembers how many slots an account used at most of late.
type accountUse struct {
	held   int
	peak   int
	peakAt time.Time
}

// Keeper grants the slots of one endpoint.
type Keeper struct {
	policy    Policy
	est       estimator
	queue     *fairQueue
	grants    map[string]*grant
	use       map[string]*accountUse
	batch     batchPool
	ended     map[string]time.Time
	isStarted bool
	nextTick  time.Time
}

// New returns a keeper without a policy; it refuses until it is configured.
func New() *Keeper {
	return &Keeper{queue: newFairQueue(), grants: map[string]*grant{}, use: map[string]*accountUse{}, ended: map[string]time.Time{}}
}

// Load is what a keeper says of its endpoint: slots in use, waiting and in all.
type Load struct {
	Online  int
	Queued  int
	Batch   int
	Slots   int
	Waiting time.Duration
}

// Load returns the endpoint's load as the keeper sees it.
func (k *Keeper) Load() Load {
	slots := k.est.slots(k.policy)
	return Load{
		Online:  len(k.grants),
		Queued:  k.queue.length,
		Batch:   len(k.batch.running),
		Slots:   slots,
		Waiting: k.waitFor(k.queue.length, slots),
	}
}

// BatchRoom returns how many more items the keeper would like to have ready.
func (k *Keeper) BatchRoom() int {
	if k.policy.IsBatchPaused || k.policy.IsLeaving {
		return 0
	}
	return max(0, 2*k.policy.Slots-len(k.batch.ready)-len(k.batch.running))
}

// Handle takes one input and returns what is to be done, in order.
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
		k.giveBack(now, in)
	case Declared:
		k.declare(now, in)
	case VMLost:
		k.loseVM(now, in.VM)
	case LoadReported:
		k.est.observeLoad(now, in)
	case BatchOffered:
		k.batch.offer(in)
	case BatchEnded:
		k.batch.end(in.ID)
	case Woken:
		k.tick(now)
	}
	return k.settle(now, out)
}

// NextWake returns when the keeper wants to be woken.
func (k *Keeper) NextWake() option.Option[time.Time] {
	if k.queue.length == 0 && len(k.batch.ready) == 0 && len(k.grants) == 0 && len(k.ended) == 0 {
		return option.None[time.Time]()
	}
	wake := k.nextTick
	if first := k.queue.earliest(); !first.IsZero() && first.Before(wake) {
		wake = first
	}
	return option.Some(wake)
}

func (k *Keeper) configure(p Policy) {
	if !k.isStarted {
		k.est = newEstimator(p.Slots)
		k.isStarted = true
	}
	if p.Slots != k.policy.Slots {
		k.est.limit = float64(p.Slots)
	}
	k.policy = p
	k.queue.weights = p.AccountWeights
}

func (k *Keeper) ask(now time.Time, in Asked, out []Output) []Output {
	if k.policy.IsLeaving || !k.isStarted {
		return append(out, Refused{ID: in.ID, Reason: ReasonLeaving, RetryAfter: minRetryAfter})
	}
	slots := k.est.slots(k.policy)
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

func (k *Keeper) waitFor(position, slots int) time.Duration {
	return time.Duration(float64(position) * float64(k.est.took) / float64(max(1, slots)))
}

func (k *Keeper) retryAfter(slots int) time.Duration {
	return max(minRetryAfter, k.waitFor(k.queue.length, slots))
}

func (k *Keeper) giveBack(now time.Time, in Returned) {
	if _, ok := k.grants[in.ID]; !ok {
		k.ended[in.ID] = now
		return
	}
	k.release(in.ID)
	k.est.observeOnline(now, k.policy, in.Report, k.queue.length > 0)
}

// declare takes in a slot that is held already, unless it was given back before its declaration came: the two reach a
// new keeper by different ways.
func (k *Keeper) declare(now time.Time, in Declared) {
	if _, ok := k.ended[in.ID]; ok {
		return
	}
	k.hold(now, &grant{id: in.ID, vm: in.VM, account: in.Account, expireAt: in.HoldUntil.Add(grantGrace)})
}

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

func (k *Keeper) loseVM(now time.Time, vm string) {
	for _, id := range k.grantIDs(func(g *grant) bool { return g.vm == vm }) {
		k.release(id)
	}
	k.queue.remove(func(w *Asked) bool { return w.VM == vm })
	k.forgetPeaks(now)
}

// grantIDs returns the ids of matching grants in a fixed order.
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

func (k *Keeper) tick(now time.Time) {
	for _, id := range k.grantIDs(func(g *grant) bool { return g.expireAt.Before(now) }) {
		k.release(id)
	}
	maps.DeleteFunc(k.ended, func(_ string, at time.Time) bool { return now.Sub(at) >= endedKeptFor })
	k.est.growWindow(now, k.policy)
	k.forgetPeaks(now)
}

func (k *Keeper) forgetPeaks(now time.Time) {
	for account, u := range k.use {
		if now.Sub(u.peakAt) < peakForgetAfter {
			continue
		}
		u.peak, u.peakAt = u.held, now
		if u.held == 0 {
			delete(k.use, account)
		}
	}
}

// settle refuses what is late, grants what fits and lets batch work take or leave the rest.
func (k *Keeper) settle(now time.Time, out []Output) []Output {
	if !k.nextTick.After(now) {
		k.nextTick = now.Add(tickEvery)
	}
	slots := k.est.slots(k.policy)
	for _, w := range k.queue.remove(func(w *Asked) bool { return !w.Deadline.After(now) || k.policy.IsLeaving }) {
		reason := ReasonDeadline
		if k.policy.IsLeaving {
			reason = ReasonLeaving
		}
		out = append(out, Refused{ID: w.ID, Reason: reason, RetryAfter: k.retryAfter(slots)})
	}
	out = k.grantQueued(now, slots, out)
	if k.queue.length > 0 {
		// A wait is seen seconds before the latency that it leads to is reported.
		k.est.shrinkWindow(now)
	}
	return k.settleBatch(slots, out)
}

func (k *Keeper) grantQueued(now time.Time, slots int, out []Output) []Output {
	floor := min(pressFloor(k.policy, slots, k.batch.hasUrgent()), k.batch.urgentRunning())
	for k.queue.length > 0 && len(k.grants) < slots-floor {
		w := k.queue.pop(k.shares(now, slots).isOpen)
		if w == nil {
			return out
		}
		k.hold(now, &grant{id: w.ID, vm: w.VM, account: w.Account, expireAt: w.HoldUntil.Add(grantGrace)})
		out = append(out, Granted{ID: w.ID})
	}
	return out
}

// settleBatch parks running items above the allowance and starts ready ones below it.
//
// Parks come out before the next grant takes effect at the engine, so an online request never stands behind
// batch work for longer than the engine's one step.
func (k *Keeper) settleBatch(slots int, out []Output) []Output {
	allowed := k.batchAllowance(slots)
	parked := []Output{}
	for len(k.batch.running) > allowed {
		parked = append(parked, BatchParked{ID: k.batch.park().id})
	}
	if len(parked) > 0 {
		out = append(parked, out...)
	}
	for len(k.batch.running) < allowed && len(k.batch.ready) > 0 {
		out = append(out, BatchStarted{ID: k.batch.start().id})
	}
	return out
}

// batchAllowance is what online requests, the reserve for their next arrivals and the window leave to batch.
func (k *Keeper) batchAllowance(slots int) int {
	if k.policy.IsBatchPaused || k.policy.IsLeaving {
		return 0
	}
	allowed := min(k.policy.leftBeside(len(k.grants), slots), int(k.est.window))
	return max(0, allowed, pressFloor(k.policy, slots, k.batch.hasUrgent()))
}
