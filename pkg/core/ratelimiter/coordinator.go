package ratelimiter

import "time"

const (
	// freezeTime is the longest time between two calls of Handle or Tick of a coordinator that runs. After a longer one, it was
	// frozen, and another VM may have replaced it.
	freezeTime = time.Second
	// TickTime is how often Tick has to be called.
	TickTime = 200 * time.Millisecond
	// forgetTime is how long an account is remembered after the last question about it.
	forgetTime = 10 * time.Minute
)

// Coordinator keeps the buckets of the accounts whose coordinator this VM is.
type Coordinator struct {
	cfg     Config
	ledgers map[string]*ledger
	claim   uint64
	at      time.Time
	swept   time.Time
}

// NewCoordinator returns the coordinator of a VM.
func NewCoordinator(cfg Config) *Coordinator {
	return &Coordinator{cfg: cfg, ledgers: map[string]*ledger{}}
}

// Tick records that this VM is running and whether it is connected, as in Peers, and forgets accounts that aren't used.
func (c *Coordinator) Tick(now time.Time, isConnected bool) {
	// Another VM may have taken the accounts over, and what it admitted is not known here.
	if !isConnected || (!c.at.IsZero() && now.Sub(c.at) > freezeTime) {
		clear(c.ledgers)
	}
	c.at = now
	if now.Sub(c.swept) < forgetTime/10 {
		return
	}
	c.swept = now
	for name, l := range c.ledgers {
		if now.Sub(l.usedAt) > forgetTime {
			delete(c.ledgers, name)
		}
	}
}

// Handle handles an input and returns what is to be done.
func (c *Coordinator) Handle(now time.Time, in CoordinatorInput) []CoordinatorOutput {
	if now.Sub(c.at) > freezeTime {
		c.Tick(now, false)
	}
	switch in := in.(type) {
	case Asked:
		return c.answer(now, in)
	case Claimed:
		return c.receiveClaim(now, in)
	case Contested:
		if l, ok := c.ledgers[in.Account]; ok && outranks(in.Account, in.VM, c.cfg.VM) {
			l.yield(now)
		}
	case Yielded:
		l, ok := c.ledgers[in.Account]
		if ok && l.isFirst && in.Number > 0 && in.Number <= l.claim && !l.accepted[in.VM] {
			l.accepted[in.VM] = true
			limit := c.cfg.capacity(l.account)
			l.level = min(l.level+max(min(in.Level, limit), -limit), limit)
		}
	}
	return nil
}

func (c *Coordinator) answer(now time.Time, in Asked) []CoordinatorOutput {
	q := in.Question
	if !in.Peers.IsConnected {
		clear(c.ledgers)
		return nil
	}
	if !(q.Account.Rate > 0) {
		return nil
	}
	l, ok := c.ledgers[q.Account.Name]
	if !ok {
		l = newLedger(c.cfg, q.Account, now)
		if in.Peers.first() == c.cfg.VM && !in.Peers.SteadySince.IsZero() && now.Sub(in.Peers.SteadySince) > c.cfg.Window+claimGrace {
			// No other VM coordinated the account in the last window, so nothing was admitted in it.
			l.level, l.isMetered = c.cfg.capacity(q.Account), false
		}
		c.ledgers[q.Account.Name] = l
	}
	l.refill(now)
	l.adopt(q.Account)
	l.setFirst(now, in.Peers.first() == c.cfg.VM && !now.Before(l.yieldUntil))
	if vm, ok := l.vms[q.VM]; ok && vm.incarnation > q.Incarnation {
		return nil
	}
	vm := l.settle(now, q)
	a, isRepeated := vm.given(now, q.Number)
	if !isRepeated {
		a = l.grant(now, q)
	}
	isChanged, isToNotify := l.meter(now)
	a.Settled, a.IsMetered = q.Taken, l.isMetered
	if !isRepeated {
		vm.answers = append(vm.answers, givenAnswer{answer: a, at: now})
	}
	outs := []CoordinatorOutput{Reply{To: q.VM, Answer: a}}
	if isToNotify {
		outs = append(outs, NotifyMetering{Account: q.Account.Name, IsMetered: l.isMetered})
	}
	if isChanged {
		outs = append(outs, MeteringChanged{Account: l.account, IsMetered: l.isMetered, Admitted: l.admitted(now)})
	}
	return append(outs, c.claims(now, l, in.Peers)...)
}

// claims returns the claims that are due.
func (c *Coordinator) claims(now time.Time, l *ledger, p Peers) []CoordinatorOutput {
	if !l.isFirst || l.claims >= maxClaims || now.Before(l.nextClaim) {
		return nil
	}
	c.claim++
	l.claim = c.claim
	l.nextClaim = now.Add(claimGrace << l.claims)
	l.claims++
	var outs []CoordinatorOutput
	for _, list := range [][]string{p.Coordinators, p.Former} {
		for _, vm := range list {
			if vm != c.cfg.VM {
				outs = append(outs, Claim{To: vm, Account: l.account.Name, Number: l.claim})
			}
		}
	}
	return outs
}

func (c *Coordinator) receiveClaim(now time.Time, in Claimed) []CoordinatorOutput {
	isCoordinator := in.Peers.IsConnected && in.Peers.first() == c.cfg.VM
	if isCoordinator && outranks(in.Account, c.cfg.VM, in.VM) {
		return []CoordinatorOutput{Contest{To: in.VM, Account: in.Account}}
	}
	l, ok := c.ledgers[in.Account]
	if !ok || in.VM == c.cfg.VM {
		return nil
	}
	l.refill(now)
	l.yield(now)
	level, ok := l.passOn(now)
	if !ok {
		return nil
	}
	return []CoordinatorOutput{Yield{To: in.VM, Account: in.Account, Number: in.Number, Level: level}}
}
