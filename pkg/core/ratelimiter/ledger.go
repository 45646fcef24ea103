package ratelimiter

import (
	"math"
	"time"
)

const (
	// provisionalShare is the part of the rate at which a VM refills its bucket while another VM may still be the account's
	// coordinator, and provisionalTime how long it does so: about the time until a lost VM is known as lost. With the level at the
	// beginning this stays inside the spare also if the other VM goes on admitting the full rate.
	provisionalShare = 0.1
	provisionalTime  = 1700 * time.Millisecond
	// laterShare is the part of the rate after provisionalTime.
	laterShare = 0.02
	// meteredBelow and openAbove are the levels, as parts of the capacity, at which an account becomes metered at once, and open
	// after openDelay.
	meteredBelow = 0.5
	openAbove    = 0.8
	openDelay    = 2 * time.Second
	// maxPromise is the longest pause after which a refused caller is expected to return: those told a longer one give up, so
	// they take no place in the order.
	maxPromise = 2 * time.Second
	// maxRetryAfter bounds the pause that a caller is told.
	maxRetryAfter = 30 * time.Second
	// claimGrace is how long a new coordinator waits for a former one to contest its first claim.
	claimGrace = 100 * time.Millisecond
	// maxClaims is the number of claims of a new coordinator; the pauses between them double from claimGrace on.
	maxClaims = 6
	// yieldTime is how long a coordinator that yielded, or whose claim was contested, holds back.
	yieldTime = 1500 * time.Millisecond
	// demoteDelay is how long a coordinator goes on after a VM that is preferred has come: that one claims the account with its
	// first answer, and answers nothing until it is connected.
	demoteDelay = time.Second
	// binTime is the length of the bins in which admissions are counted for the log.
	binTime = 500 * time.Millisecond
	// maxTaken bounds the admissions that one question may report.
	maxTaken = 10_000
)

// ledger is the bucket of one account at a coordinator.
type ledger struct {
	cfg     Config
	account Account
	level   float64
	at      time.Time
	usedAt  time.Time

	// isFirst says that this VM ranks first among the live ones, since firstAt.
	isFirst bool
	firstAt time.Time
	// demoteAt is when this VM stops being the coordinator, though the one that is preferred has not claimed the account.
	demoteAt time.Time
	// provisionalAt is when this VM began to admit without being the coordinator.
	provisionalAt time.Time
	yieldUntil    time.Time
	// kept is the part of the level that this VM gave up when it became provisional; until keptUntil it can be passed on.
	kept      float64
	keptUntil time.Time
	// claim is the number of the newest claim, claims how many were sent since firstAt, nextClaim when the next one is due.
	claim     uint64
	claims    int
	nextClaim time.Time
	// accepted holds the VMs whose level was taken over for a claim since firstAt.
	accepted map[string]bool

	// isMetered is what VMs are told; isNotified says that all were.
	isMetered, isNotified bool
	// isFilled says that the bucket was once above meteredBelow.
	isFilled bool
	// highSince is when the level last rose above openAbove.
	highSince time.Time
	// nextFree is when the next refused caller finds room.
	nextFree time.Time

	vms  map[string]*vmLedger
	bins map[int64]int
}

// vmLedger is what a ledger knows of one VM.
type vmLedger struct {
	incarnation int64
	taken       uint64
	// answers holds the answers to the last questions, with the times at which they were given.
	answers []givenAnswer
}

type givenAnswer struct {
	answer Answer
	at     time.Time
}

func newLedger(cfg Config, a Account, now time.Time) *ledger {
	return &ledger{
		cfg: cfg, account: a, level: cfg.initial(a), at: now, provisionalAt: now, isMetered: true,
		accepted: map[string]bool{}, vms: map[string]*vmLedger{}, bins: map[int64]int{},
	}
}

// isFull reports whether this VM may admit the account's full rate.
func (l *ledger) isFull(now time.Time) bool {
	return l.isFirst && !now.Before(l.yieldUntil) && now.Sub(l.firstAt) >= claimGrace
}

// refill raises the level for the time since the last call.
func (l *ledger) refill(now time.Time) {
	elapsed := max(now.Sub(l.at), 0)
	rate, limit := l.account.Rate, l.cfg.capacity(l.account)
	if !l.isFull(now) {
		if now.Sub(l.usedAt) > l.cfg.Window {
			l.provisionalAt = now
		}
		share := provisionalShare
		if now.Sub(l.provisionalAt) > provisionalTime {
			share = laterShare
		}
		rate *= share
		limit = max(l.cfg.initial(l.account), l.level)
	}
	l.level = min(l.level+elapsed.Seconds()*rate, limit)
	l.at, l.usedAt = now, now
}

// adopt takes over a changed rate or burst.
func (l *ledger) adopt(a Account) {
	if a == l.account {
		return
	}
	l.account = a
	// What was admitted at a higher rate is no debt at the lower one.
	l.level = max(min(l.level, l.cfg.capacity(a)), -l.cfg.spare(a))
	l.nextFree = time.Time{}
}

// setFirst records whether this VM ranks first.
func (l *ledger) setFirst(now time.Time, isFirst bool) {
	if isFirst == l.isFirst {
		l.demoteAt = time.Time{}
		return
	}
	if !isFirst && l.isFull(now) {
		if l.demoteAt.IsZero() {
			l.demoteAt = now.Add(demoteDelay)
		}
		if now.Before(l.demoteAt) {
			return
		}
		l.becomeProvisional(now)
	}
	l.isFirst, l.demoteAt = isFirst, time.Time{}
	if isFirst {
		l.firstAt, l.claims, l.nextClaim = now, 0, now
		clear(l.accepted)
	}
}

// becomeProvisional makes the bucket small, since another VM may admit the account's rate from now on.
func (l *ledger) becomeProvisional(now time.Time) {
	level := min(l.level, l.cfg.initial(l.account))
	l.kept, l.keptUntil = l.level-level, now.Add(yieldTime)
	l.level, l.provisionalAt = level, now
}

// passOn returns the level that the account's new coordinator may use instead of this VM; false if this VM was not the
// coordinator lately.
func (l *ledger) passOn(now time.Time) (float64, bool) {
	if !now.Before(l.keptUntil) {
		return 0, false
	}
	level := l.level + l.kept
	// A little stays for the VMs that don't know the new coordinator yet.
	l.level = max(min(level/2, l.cfg.initial(l.account)), 0)
	l.kept, l.keptUntil = 0, time.Time{}
	return level - l.level, true
}

// yield makes this VM hold back.
func (l *ledger) yield(now time.Time) {
	if l.isFull(now) {
		l.becomeProvisional(now)
	}
	l.yieldUntil, l.demoteAt = now.Add(yieldTime), time.Time{}
	// Once it no longer holds back, this VM has to claim the account anew.
	l.isFirst = false
}

// settle debits what the VM admitted without a token.
func (l *ledger) settle(now time.Time, q Question) *vmLedger {
	vm, ok := l.vms[q.VM]
	if !ok || vm.incarnation < q.Incarnation {
		vm = &vmLedger{incarnation: q.Incarnation}
		l.vms[q.VM] = vm
	}
	if known := max(vm.taken, q.Settled); q.Taken > known {
		n := min(q.Taken-known, maxTaken)
		l.level -= float64(n)
		l.count(now, int(n))
	}
	vm.taken = max(vm.taken, q.Taken)
	return vm
}

// given returns the answer that was given to the question before.
func (vm *vmLedger) given(now time.Time, number uint64) (Answer, bool) {
	n := 0
	for _, g := range vm.answers {
		if now.Sub(g.at) <= TokenValidity {
			vm.answers[n] = g
			n++
		}
	}
	vm.answers = vm.answers[:n]
	for _, g := range vm.answers {
		if g.answer.Number == number {
			return g.answer, true
		}
	}
	return Answer{}, false
}

// grant takes tokens for the question and says when those without one may return.
func (l *ledger) grant(now time.Time, q Question) Answer {
	a := Answer{Account: l.account.Name, Number: q.Number}
	wanted := max(min(q.Wanted, maxWanted), 0)
	if l.level >= 1 {
		a.Tokens = min(wanted, int(min(l.level, maxWanted)))
	}
	l.level -= float64(a.Tokens)
	l.count(now, a.Tokens)
	if refused := wanted - a.Tokens; refused > 0 {
		a.RetryAfter, a.Step = l.promise(now, refused)
	}
	return a
}

// promise returns when the first refused caller finds room, and how much later each further one.
func (l *ledger) promise(now time.Time, refused int) (retryAfter, step time.Duration) {
	step = seconds(1 / l.account.Rate)
	room := now.Add(seconds((1 - l.level) / l.account.Rate))
	if l.nextFree.Before(room) {
		l.nextFree = room
	}
	retryAfter = l.nextFree.Sub(now)
	for range refused {
		if l.nextFree.Sub(now) > maxPromise {
			break
		}
		l.nextFree = l.nextFree.Add(step)
	}
	return min(retryAfter, maxRetryAfter), step
}

// seconds returns the duration, at most maxRetryAfter.
func seconds(s float64) time.Duration {
	return time.Duration(math.Max(0, math.Min(s, maxRetryAfter.Seconds())) * float64(time.Second))
}

// meter updates whether the account is metered; it returns whether that changed, and whether all VMs are to be told.
func (l *ledger) meter(now time.Time) (isChanged, isToNotify bool) {
	capacity := l.cfg.capacity(l.account)
	low := meteredBelow * capacity
	if l.level > low {
		l.isFilled = true
	}
	if !l.isFilled {
		low = min(low, l.cfg.initial(l.account)/2)
	}
	if l.level < openAbove*capacity {
		l.highSince = time.Time{}
	} else if l.highSince.IsZero() {
		l.highSince = now
	}
	switch {
	case l.level < low:
		if now.Before(l.yieldUntil) {
			// The coordinator that is preferred knows whether all VMs have to be told.
			l.isMetered = true
			return false, false
		}
		isChanged, isToNotify = !l.isMetered, !l.isNotified
		l.isMetered, l.isNotified = true, true
	case l.isMetered && !l.isNotified && l.isFull(now):
		// The bucket of a new coordinator is small, but its requests fit so far.
		l.isMetered = false
	case l.isMetered && l.isFull(now) && !l.highSince.IsZero() && now.Sub(l.highSince) >= openDelay:
		isChanged, isToNotify = true, l.isNotified
		l.isMetered, l.isNotified = false, false
	}
	return isChanged, isToNotify
}

func (l *ledger) count(now time.Time, n int) {
	if n == 0 {
		return
	}
	l.bins[now.UnixNano()/int64(binTime)] += n
	if int64(len(l.bins)) > int64(l.cfg.Window/binTime)+1 {
		l.admitted(now)
	}
}

// admitted returns the number of admissions within the window.
func (l *ledger) admitted(now time.Time) int {
	oldest := now.Add(-l.cfg.Window).UnixNano() / int64(binTime)
	n := 0
	for bin, count := range l.bins {
		if bin < oldest {
			delete(l.bins, bin)
			continue
		}
		n += count
	}
	return n
}
