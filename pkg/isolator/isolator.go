package isolator

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/quarantiner"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/sleeper"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
	"github.com/dogwoodledge/dogwoodledge/pkg/watcher"
)

const (
	// confirmDelay is the pause before an endpoint is dialed: a process that ends closes its port and its connections one after the
	// other.
	confirmDelay = 30 * time.Millisecond
	// replaceDelay is how long after that an endpoint that takes connections again has registered as another incarnation.
	replaceDelay = time.Second
	// maxResets is the number of connections that are opened to an endpoint that resets them.
	maxResets = 3
	// maxPending bounds the strikes that wait for the store, and the endpoints that wait for confirmation.
	maxPending = 256
	// maxPendingRequests is the number of those strikes from which on whole requests get none, so that an outage that breaks many
	// leaves room for the parts that they share.
	maxPendingRequests = maxPending / 2
)

// Dialer opens a connection to an endpoint, and keeps it for requests if it can.
type Dialer interface {
	// Reach returns an error if no connection to the endpoint can be opened.
	Reach(ctx context.Context, id string, addr netip.AddrPort) error
}

// Counters can be read from any goroutine.
type Counters struct {
	// Strikes counts the strikes that this VM recorded, Quarantined the parts whose quarantine it has learned of, and Probes the
	// requests that it sent in spite of a quarantine.
	Strikes, Quarantined, Probes atomic.Int64
}

// Rank returns this VM's place in the order of the live VMs for a part, from 0, and their number; 0 VMs if this one is none of
// them. The VM of rank 0 deletes the part's expired rows.
type Rank = quarantiner.Rank

// Vouches reports whether what failed at the endpoint since the time was its own failure, and not that of this VM's links.
type Vouches func(ctx context.Context, since time.Time, endpoint string) bool

// SetVouches sets what tells the end of endpoints from failures of this VM's links; it must be called before Start.
func (i *Isolator) SetVouches(v Vouches) { i.vouches = v }

// Isolator holds the quarantined parts of prompts.
type Isolator struct {
	store    storer.Table
	feed     *watcher.Feed
	dialer   Dialer
	registry func() *registrar.Registry
	rank     Rank
	log      logrus.FieldLogger
	ctx      context.Context
	// vouches is nil if this VM's links never fail.
	vouches Vouches

	mu          sync.Mutex
	quarantiner *quarantiner.Quarantiner
	// rows holds the values of the known rows of the table by key.
	rows map[string][]byte
	// unconfirmed holds the endpoints that may have ended.
	unconfirmed map[string]*suspicion
	// puts and deletes hold the rows to write and to delete, by key; changed signals that there are some.
	puts    map[string]put
	deletes map[string]bool
	changed chan struct{}
	// ranks holds this VM's places for the parts of held items.
	ranks map[string]rankOf
	// hasStrikes keeps Check from taking the lock while there are none.
	hasStrikes atomic.Bool

	Counters Counters
}

// suspicion is an endpoint that may have ended.
type suspicion struct {
	endpoint registrar.Endpoint
	// strikes are recorded if it has ended.
	strikes []quarantiner.Strike
}

// New returns an isolator that is not started.
func New(
	store storer.Table, d Dialer, registry func() *registrar.Registry, rank Rank, log logrus.FieldLogger,
) *Isolator {
	i := &Isolator{
		store: store, dialer: d, registry: registry, rank: rank, log: log, quarantiner: quarantiner.New(),
		rows: map[string][]byte{}, unconfirmed: map[string]*suspicion{}, puts: map[string]put{}, deletes: map[string]bool{},
		changed: make(chan struct{}, 1), ranks: map[string]rankOf{},
	}
	i.feed = watcher.NewFeed(store, Table, []string{""}, i.apply, log)
	i.feed.SetGap(feedGap)
	return i
}

// Start follows the table and writes to it until ctx ends.
func (i *Isolator) Start(ctx context.Context) {
	i.ctx = ctx
	i.feed.Start(ctx)
	go i.runWrite(ctx)
	go i.runExpire(ctx)
}

// Check returns whether a request with the parts may be sent, here and now.
func (i *Isolator) Check(parts []string) quarantiner.Verdict {
	if len(parts) == 0 || !i.hasStrikes.Load() {
		return quarantiner.Verdict{}
	}
	i.mu.Lock()
	v := i.quarantiner.Check(time.Now(), parts)
	i.mu.Unlock()
	if v.IsProbeDue {
		rank, vms := i.rank(v.Part)
		v.IsProbeDue = quarantiner.HasTurn(v.Part, v.Turn, rank, vms)
	}
	return v
}

// BeginProbe records that a request with the quarantined part is sent as a probe; it returns false if another one was.
func (i *Isolator) BeginProbe(part string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	if !i.quarantiner.BeginProbe(now, part) {
		return false
	}
	i.putProbe(now, part)
	i.Counters.Probes.Add(1)
	i.log.WithField("part", part).Info("request sent to probe a quarantined part of a prompt")
	return true
}

// Completed records that a request with the parts was completed, which refutes strikes against them.
func (i *Isolator) Completed(parts []string) {
	if len(parts) == 0 {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.recordCompleted(parts)
}

// recordCompleted records a completed request; the lock is held.
func (i *Isolator) recordCompleted(parts []string) {
	now := time.Now()
	quarantined := i.quarantinedOf(parts)
	for _, p := range quarantined {
		i.log.WithField("part", p).Warn("a request with this quarantined part of a prompt was completed; it is released")
	}
	i.putRefutations(now, i.quarantiner.Completed(now, parts), quarantined)
}

// Outlived records that a request with the parts has made progress since it had that many events of its answer, which refutes
// strikes of requests that had no more.
func (i *Isolator) Outlived(parts []string, events int) {
	if len(parts) == 0 || events == 0 || !i.hasStrikes.Load() {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	quarantined := i.quarantinedOf(parts)
	refutations := i.quarantiner.Outlived(now, parts, events)
	for _, r := range refutations {
		i.log.WithFields(logrus.Fields{"part": r.Part, "events": r.Events, "isQuarantined": i.quarantiner.IsQuarantined(r.Part)}).
			Info("a request with this part of a prompt went on past the events at which others ended with their endpoints")
	}
	i.putRefutations(now, refutations, quarantined)
}

// quarantinedOf returns those of the parts that are quarantined; the lock is held.
func (i *Isolator) quarantinedOf(parts []string) []string {
	return slices.DeleteFunc(slices.Clone(parts), func(p string) bool { return !i.quarantiner.IsQuarantined(p) })
}

// putRefutations has refutations written, those of parts that were quarantined until now at once; the lock is held.
func (i *Isolator) putRefutations(now time.Time, refutations []quarantiner.Refutation, quarantined []string) {
	for _, r := range refutations {
		i.putRefutation(now, r, slices.Contains(quarantined, r.Part))
	}
	i.hasStrikes.Store(i.quarantiner.HasStrikes())
}

// BrokeOff records that a request with the parts broke off at the endpoint; strike says what is known of its answer. If the
// endpoint has ended, each of the parts gets such a strike.
func (i *Isolator) BrokeOff(e registrar.Endpoint, parts []string, strike quarantiner.Strike) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	suspects := i.quarantiner.Suspects(now, parts)
	if len(suspects) == 0 {
		return
	}
	if s, ok := i.suspect(e); ok {
		for _, p := range suspects {
			strike.Part, strike.Position, strike.Endpoint, strike.At = p, slices.Index(parts, p), e.LeavingKey(), now
			s.strikes = append(s.strikes, strike)
		}
	}
}

// suspect returns the suspicion against the endpoint, and begins to confirm it if it is new; false if there are too many. The
// lock is held.
func (i *Isolator) suspect(e registrar.Endpoint) (*suspicion, bool) {
	key := e.LeavingKey()
	s, ok := i.unconfirmed[key]
	if !ok && len(i.unconfirmed) < maxPending {
		s, ok = &suspicion{endpoint: e}, true
		i.unconfirmed[key] = s
		go i.runConfirm(s)
	}
	return s, ok
}

// runConfirm finds out whether an endpoint has ended, and records the strikes if it has.
func (i *Isolator) runConfirm(s *suspicion) {
	// Bytes of other endpoints may still arrive right after all links have failed.
	since := time.Now().Add(confirmDelay)
	hasEnded := i.hasEnded(s.endpoint)
	if hasEnded && i.vouches != nil && !i.vouches(i.ctx, since, s.endpoint.ID) {
		i.log.WithField("endpoint", s.endpoint.ID).Info("connections broke off by a failure of this VM's links; no strikes")
		hasEnded = false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.unconfirmed, s.endpoint.LeavingKey())
	if i.ctx.Err() != nil {
		return
	}
	if hasEnded {
		i.recordEnd(s.strikes)
	}
}

// hasEnded reports whether the endpoint takes no connections, or another incarnation at its address does.
func (i *Isolator) hasEnded(e registrar.Endpoint) bool {
	if !sleeper.Sleep(i.ctx, confirmDelay) {
		return false
	}
	if i.reach(e) != nil {
		return true
	}
	if !sleeper.Sleep(i.ctx, replaceDelay) {
		return false
	}
	for _, other := range i.registry().Endpoints {
		if other.Address == e.Address && other.LeavingKey() != e.LeavingKey() {
			return true
		}
	}
	return false
}

// reach returns an error if the endpoint takes no connections. One that is reset says nothing: an endpoint resets those beyond
// its limit, and so does one that closes its port.
func (i *Isolator) reach(e registrar.Endpoint) error {
	for range maxResets {
		err := i.dialer.Reach(i.ctx, e.ID, e.Address)
		if !errors.Is(err, syscall.ECONNRESET) {
			return err
		}
		if !sleeper.Sleep(i.ctx, confirmDelay) {
			return nil
		}
	}
	return nil
}

// recordEnd records the strikes of requests whose endpoint has ended; the lock is held.
func (i *Isolator) recordEnd(strikes []quarantiner.Strike) {
	now := time.Now()
	strikes = slices.DeleteFunc(strikes, func(s quarantiner.Strike) bool {
		return len(i.quarantiner.Suspects(now, []string{s.Part})) == 0
	})
	for _, s := range strikes {
		i.Counters.Strikes.Add(1)
		i.log.WithFields(logrus.Fields{"part": s.Part, "endpoint": s.Endpoint, "hadAnswer": s.HadAnswer, "events": s.Events}).
			Info("endpoint ended under a request with this part of a prompt")
		i.putStrike(now, s)
	}
	i.add(now, strikes)
}

// add records strikes; the lock is held.
func (i *Isolator) add(now time.Time, strikes []quarantiner.Strike) {
	for _, p := range i.quarantiner.Add(now, strikes...) {
		i.Counters.Quarantined.Add(1)
		i.log.WithFields(logrus.Fields{"part": p, "for": quarantiner.Duration.String()}).
			Warn("requests with this part of a prompt crash endpoints; they are refused")
	}
	i.hasStrikes.Store(i.quarantiner.HasStrikes())
}
