package ratesharer

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/dogwoodledge/dogwoodledge/pkg/clocker"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/ratelimiter"
	"github.com/dogwoodledge/dogwoodledge/pkg/gossiper"
	"github.com/dogwoodledge/dogwoodledge/pkg/option"
)

const (
	// maxWait bounds the wait of a request: longer than a question is sent again, and little against a request's deadline.
	maxWait = 400 * time.Millisecond
	// lateRetryAfter is the pause for a caller whose request was not decided within maxWait.
	lateRetryAfter = time.Second
	// silenceTime is how long a VM may hear no datagram until it counts as cut off: several probes of the failure detector.
	silenceTime = time.Second
	// peersTime is how long what is known of the other VMs is used.
	peersTime = 50 * time.Millisecond
	// logRate and logBurst bound the log lines, in lines a second.
	logRate  = 2
	logBurst = 20
	// maxCoordinators is the number of VMs that may coordinate an account: the first and those that replace it.
	maxCoordinators = 4
)

// Network reaches the other VMs.
type Network interface {
	// Membership returns what is known of the VMs that may be running.
	Membership() gossiper.Membership
	// Heard returns the number of datagrams received.
	Heard() int64
	// Send sends a payload to a VM once; a lost one is not resent.
	Send(vm string, payload []byte)
}

// bootTime returns the time since the machine's boot, with the time in which it was suspended, as a time after the epoch.
func bootTime() time.Time { return time.Unix(0, 0).Add(clocker.Now()) }

// Counters count messages to other VMs, and requests.
type Counters struct {
	// Questions, Answers, Notifications and Claims were sent to other VMs.
	Questions, Answers, Notifications, Claims atomic.Int64
	// Refused counts refused requests, Alone those of them for which no coordinator was reached.
	Refused, Alone atomic.Int64
	// Metered counts how often an account became metered at this coordinator, Malformed the messages that can't be decoded.
	Metered, Malformed atomic.Int64
}

// Sharer admits the requests of accounts by their rates; it is safe for concurrent use.
type Sharer struct {
	cfg     ratelimiter.Config
	network Network
	log     logrus.FieldLogger
	now     func() time.Time
	lines   *rate.Limiter

	mu          sync.Mutex
	sharer      *ratelimiter.Sharer
	coordinator *ratelimiter.Coordinator
	lastID      uint64
	// waiting holds the requests that aren't decided.
	waiting map[uint64]chan decision
	// outbox holds the messages to be sent once the lock is released.
	outbox []outgoing
	// heard is the number of datagrams received until heardAt.
	heard   int64
	heardAt time.Time
	// refreshedAt is when this was last checked.
	refreshedAt time.Time
	// membership was read at readAt, and peers were derived from it.
	membership gossiper.Membership
	readAt     time.Time
	peers      map[string]ratelimiter.Peers
	// steadySince is since when this VM is connected and the VMs that may coordinate accounts are the same; zero if it isn't
	// connected.
	steadySince time.Time

	// changed signals that the time of the next wake may have changed.
	changed chan struct{}

	// Counters can be read from any goroutine.
	Counters Counters
}

type decision struct {
	isAdmitted bool
	retryAfter time.Duration
}

type outgoing struct {
	to      string
	payload []byte
}

// New returns a sharer; until it is started, it decides without a coordinator.
func New(cfg ratelimiter.Config, n Network, log logrus.FieldLogger) *Sharer {
	return &Sharer{
		cfg: cfg, network: n, log: log, now: bootTime, lines: rate.NewLimiter(logRate, logBurst),
		sharer: ratelimiter.NewSharer(cfg), coordinator: ratelimiter.NewCoordinator(cfg), waiting: map[uint64]chan decision{},
		peers: map[string]ratelimiter.Peers{}, changed: make(chan struct{}, 1),
	}
}

// Start sends unanswered questions again until ctx ends.
func (s *Sharer) Start(ctx context.Context) { go s.run(ctx) }

func (s *Sharer) run(ctx context.Context) {
	timer := time.NewTimer(ratelimiter.TickTime)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-s.changed:
		}
		timer.Reset(s.wake())
	}
}

// wake handles what is due and returns the time until it is to be called again.
func (s *Sharer) wake() time.Duration {
	defer s.flush()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.coordinator.Tick(now, s.isConnected(now))
	s.handle(now, ratelimiter.Woken{})
	next, ok := s.sharer.NextWake().Get()
	if !ok {
		return ratelimiter.TickTime
	}
	return min(max(next.Sub(now), time.Millisecond), ratelimiter.TickTime)
}

// Allow reports whether a request of the account fits its rate; if not, how long the caller should wait. It waits for other VMs
// at most some tenths of a second.
func (s *Sharer) Allow(ctx context.Context, a ratelimiter.Account) (retryAfter time.Duration, ok bool) {
	if !(a.Rate > 0) {
		return 0, true
	}
	id, decided := s.request(a)
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	d := decision{retryAfter: lateRetryAfter}
	select {
	case d = <-decided:
	default:
		select {
		case d = <-decided:
		case <-timer.C:
			d = s.cancel(id, decided).orElse(d)
		case <-ctx.Done():
			d = s.cancel(id, decided).orElse(d)
		}
	}
	if d.isAdmitted {
		return 0, true
	}
	s.Counters.Refused.Add(1)
	if deadline, ok := ctx.Deadline(); ok {
		d.retryAfter = min(d.retryAfter, max(time.Until(deadline), 0))
	}
	return d.retryAfter, false
}

func (s *Sharer) request(a ratelimiter.Account) (uint64, <-chan decision) {
	defer s.flush()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	decided := make(chan decision, 1)
	s.waiting[s.lastID] = decided
	now := s.now()
	s.handle(now, ratelimiter.Requested{ID: s.lastID, Account: a, Peers: s.peersOf(now, a.Name)})
	if _, isWaiting := s.waiting[s.lastID]; isWaiting {
		notify(s.changed)
	}
	return s.lastID, decided
}

// pending is the decision about a request that no longer waits, if there was one in the meantime.
type pending struct{ option.Option[decision] }

func (p pending) orElse(d decision) decision {
	if found, ok := p.Get(); ok {
		return found
	}
	return d
}

func (s *Sharer) cancel(id uint64, decided <-chan decision) pending {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case d := <-decided:
		return pending{option.Some(d)}
	default:
	}
	delete(s.waiting, id)
	s.handle(s.now(), ratelimiter.Canceled{ID: id})
	return pending{}
}

// Receive handles a payload of another VM, and reports whether it is one of a ratesharer; malformed ones are counted and dropped.
func (s *Sharer) Receive(payload []byte) bool {
	if !isOwn(payload) {
		return false
	}
	m, err := decode(payload)
	if err != nil {
		s.Counters.Malformed.Add(1)
		return true
	}
	defer s.flush()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	switch m := m.(type) {
	case questionMessage:
		s.coordinate(now, ratelimiter.Asked{Question: m.question(), Peers: s.peersOf(now, m.Account)})
	case answerMessage:
		s.handle(now, m.answered())
	case meteringMessage:
		s.handle(now, ratelimiter.MeteringNotified{Account: m.Account, IsMetered: m.IsMetered})
	case claimMessage:
		s.coordinate(now, ratelimiter.Claimed{VM: m.VM, Account: m.Account, Number: m.Number, Peers: s.peersOf(now, m.Account)})
	case contestMessage:
		s.coordinate(now, ratelimiter.Contested{VM: m.VM, Account: m.Account})
	case yieldMessage:
		s.coordinate(now, ratelimiter.Yielded{VM: m.VM, Account: m.Account, Number: m.Number, Level: m.Level})
	}
	return true
}

// handle passes an input to the sharer and carries out what it decides; the lock is held.
func (s *Sharer) handle(now time.Time, in ratelimiter.SharerInput) {
	for _, out := range s.sharer.Handle(now, in) {
		switch out := out.(type) {
		case ratelimiter.Admitted:
			s.decide(out.ID, decision{isAdmitted: true})
		case ratelimiter.Refused:
			if out.IsAlone {
				s.Counters.Alone.Add(1)
			}
			s.decide(out.ID, decision{retryAfter: out.RetryAfter})
		case ratelimiter.Ask:
			notify(s.changed)
			if out.To == s.cfg.VM {
				s.coordinate(now, ratelimiter.Asked{Question: out.Question, Peers: s.peersOf(now, out.Question.Account.Name)})
				continue
			}
			s.Counters.Questions.Add(1)
			s.send(out.To, questionType, newQuestion(out.Question))
		}
	}
}

// coordinate passes an input to the coordinator and carries out what it decides; the lock is held.
func (s *Sharer) coordinate(now time.Time, in ratelimiter.CoordinatorInput) {
	for _, out := range s.coordinator.Handle(now, in) {
		switch out := out.(type) {
		case ratelimiter.Reply:
			if out.To == s.cfg.VM {
				s.handle(now, ratelimiter.Answered{VM: s.cfg.VM, Answer: out.Answer})
				continue
			}
			s.Counters.Answers.Add(1)
			s.send(out.To, answerType, newAnswer(s.cfg.VM, out.Answer))
		case ratelimiter.NotifyMetering:
			s.handle(now, ratelimiter.MeteringNotified(out))
			for _, vm := range s.membership.Others {
				s.Counters.Notifications.Add(1)
				s.send(vm, meteringType, meteringMessage{Account: out.Account, IsMetered: out.IsMetered})
			}
		case ratelimiter.Claim:
			s.Counters.Claims.Add(1)
			s.send(out.To, claimType, claimMessage{VM: s.cfg.VM, Account: out.Account, Number: out.Number})
		case ratelimiter.Contest:
			s.send(out.To, contestType, contestMessage{VM: s.cfg.VM, Account: out.Account})
		case ratelimiter.Yield:
			s.send(out.To, yieldType, yieldMessage{
				VM: s.cfg.VM, Account: out.Account, Number: out.Number, Level: out.Level,
			})
		case ratelimiter.MeteringChanged:
			s.logChange(out)
		}
	}
}

func (s *Sharer) logChange(c ratelimiter.MeteringChanged) {
	if c.IsMetered {
		s.Counters.Metered.Add(1)
	}
	if !s.lines.Allow() {
		return
	}
	text := "account is open: its requests are admitted without a token"
	if c.IsMetered {
		text = "account is metered: its requests are admitted with a token only"
	}
	s.log.WithFields(logrus.Fields{
		"account": c.Account.Name, "ratePerSecond": c.Account.Rate, "burst": c.Account.Burst, "admittedInWindow": c.Admitted,
		"window": s.cfg.Window.String(),
	}).Info(text)
}

// decide passes the decision to the request that waits for it; the lock is held.
func (s *Sharer) decide(id uint64, d decision) {
	if decided, ok := s.waiting[id]; ok {
		delete(s.waiting, id)
		decided <- d
	}
}

// send puts a message into the outbox; the lock is held.
func (s *Sharer) send(to string, kind byte, m message) {
	payload, err := encode(kind, m)
	if err != nil {
		if s.lines.Allow() {
			s.log.WithError(err).Error("message about the rate of an account not sent")
		}
		return
	}
	s.outbox = append(s.outbox, outgoing{to: to, payload: payload})
}

// flush sends the messages of the outbox; the lock is not held.
func (s *Sharer) flush() {
	s.mu.Lock()
	list := s.outbox
	s.outbox = nil
	s.mu.Unlock()
	for _, o := range list {
		s.network.Send(o.to, o.payload)
	}
}

// isConnected reports whether this VM hears others, and whether most of the VMs that may be running are live; the lock is held.
func (s *Sharer) isConnected(now time.Time) bool {
	s.refresh(now)
	isHearing := len(s.membership.Others) == 0 || now.Sub(s.heardAt) <= silenceTime
	isConnected := s.membership.IsMajority && isHearing
	switch {
	case !isConnected:
		s.steadySince = time.Time{}
	case s.steadySince.IsZero():
		s.steadySince = now
	}
	return isConnected
}

// refresh reads what is known of the other VMs; the lock is held.
func (s *Sharer) refresh(now time.Time) {
	heard := s.network.Heard()
	switch {
	case now.Sub(s.refreshedAt) > silenceTime:
		// This process was suspended, or has just started. What it heard may be older than the suspension.
		s.steadySince = time.Time{}
	case heard != s.heard:
		s.heardAt = now
	}
	s.heard, s.refreshedAt = heard, now
	if s.readAt.IsZero() || now.Sub(s.readAt) >= peersTime {
		old := s.membership
		s.membership, s.readAt = s.network.Membership(), now
		if !slices.Equal(old.Capable, s.membership.Capable) {
			s.steadySince = now
		}
		clear(s.peers)
	}
}

// peersOf returns what is known of the VMs that may coordinate the account; the lock is held.
func (s *Sharer) peersOf(now time.Time, account string) ratelimiter.Peers {
	isConnected := s.isConnected(now)
	p, ok := s.peers[account]
	if !ok {
		p = peersOf(s.membership, account)
		s.peers[account] = p
	}
	p.IsConnected, p.SteadySince = isConnected, s.steadySince
	return p
}

func peersOf(m gossiper.Membership, account string) ratelimiter.Peers {
	p := ratelimiter.Peers{Count: m.Count}
	isLive := make(map[string]bool, len(m.Capable))
	all := append([]string{}, m.Capable...)
	for _, vm := range m.Capable {
		isLive[vm] = true
	}
	for _, vm := range ratelimiter.Rank(account, append(all, m.Former...)) {
		switch {
		case len(p.Coordinators) == maxCoordinators:
			return p
		case isLive[vm]:
			p.Coordinators = append(p.Coordinators, vm)
		case len(p.Former) < maxCoordinators:
			p.Former = append(p.Former, vm)
		}
	}
	return p
}

// notify signals the channel unless a signal is pending already.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
