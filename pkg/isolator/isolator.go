package isolator

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/quarantiner"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
	"github.com/dogwoodledge/dogwoodledge/pkg/watcher"
)

const (
	// Table is the store's table of strikes. A row's key is PART/ENDPOINT@STARTED, with suffix /answer for Strike.HadAnswer; its
	// value is POSITION@TIME, the time in Unix milliseconds.
	Table        = "quarantine"
	answerSuffix = "/answer"
	// confirmDelay is the pause before an endpoint is dialed: a process that ends closes its port and its connections one after the
	// other.
	confirmDelay = 30 * time.Millisecond
	// maxPending bounds the strikes that wait for the store, and the endpoints that wait for confirmation.
	maxPending = 256
)

// Dialer opens a connection to an endpoint, and keeps it for requests if it can.
type Dialer interface {
	// Reach returns an error if no connection to the endpoint can be opened.
	Reach(ctx context.Context, id string, addr netip.AddrPort) error
}

// Counters can be read from any goroutine.
type Counters struct {
	// Strikes counts the strikes that this VM recorded, Quarantined the parts whose quarantine it has learned of.
	Strikes, Quarantined atomic.Int64
}

// Isolator holds the quarantined parts of prompts.
type Isolator struct {
	store  storer.Table
	feed   *watcher.Feed
	dialer Dialer
	// isOnDuty reports whether this VM deletes the expired rows of a part.
	isOnDuty func(part string) bool
	log      logrus.FieldLogger
	ctx      context.Context

	mu          sync.Mutex
	quarantiner *quarantiner.Quarantiner
	// rows holds the values of the known rows of each part, by key.
	rows map[string]map[string][]byte
	// broken holds the requests that broke off at endpoints whose end is being confirmed.
	broken map[string]*suspicion
	// puts and deletes hold the rows to write and to delete, by key; changed signals that there are some.
	puts    map[string][]byte
	deletes map[string]bool
	changed chan struct{}

	// hasStrikes keeps Check from taking the lock while there are none.
	hasStrikes atomic.Bool

	Counters Counters
}

// suspicion is an endpoint that may have ended, with the strikes to record if it has.
type suspicion struct {
	endpoint registrar.Endpoint
	strikes  []quarantiner.Strike
}

// New returns an isolator that is not started.
func New(store storer.Table, d Dialer, isOnDuty func(part string) bool, log logrus.FieldLogger) *Isolator {
	i := &Isolator{
		store: store, dialer: d, isOnDuty: isOnDuty, log: log, quarantiner: quarantiner.New(),
		rows: map[string]map[string][]byte{}, broken: map[string]*suspicion{},
		puts: map[string][]byte{}, deletes: map[string]bool{}, changed: make(chan struct{}, 1),
	}
	i.feed = watcher.NewFeed(store, Table, []string{""}, i.apply, log)
	return i
}

// Start follows the table and writes to it until ctx ends.
func (i *Isolator) Start(ctx context.Context) {
	i.ctx = ctx
	i.feed.Start(ctx)
	go i.runWrite(ctx)
	go i.runExpire(ctx)
}

// Check returns the quarantined one of the parts and how long it stays so, or an empty string.
func (i *Isolator) Check(parts []string) (string, time.Duration) {
	if len(parts) == 0 || !i.hasStrikes.Load() {
		return "", 0
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.quarantiner.Check(time.Now(), parts)
}

// Completed records that a request with the parts was completed, which refutes strikes against them.
func (i *Isolator) Completed(parts []string) {
	if len(parts) == 0 {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, p := range i.quarantiner.Completed(time.Now(), parts) {
		i.deleteRows(p)
	}
}

// BrokeOff records that a request with the parts broke off at the endpoint; hadAnswer says that its answer had begun. If the
// endpoint has ended, the parts get a strike.
func (i *Isolator) BrokeOff(e registrar.Endpoint, parts []string, hadAnswer bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	key := e.LeavingKey()
	s, isKnown := i.broken[key]
	suspects := i.quarantiner.Suspects(time.Now(), parts)
	if len(suspects) == 0 || (!isKnown && len(i.broken) >= maxPending) {
		return
	}
	if !isKnown {
		s = &suspicion{endpoint: e}
		i.broken[key] = s
		go i.runConfirm(s)
	}
	for _, p := range suspects {
		s.strikes = append(s.strikes, quarantiner.Strike{
			Part: p, Position: slices.Index(parts, p), Endpoint: key, HadAnswer: hadAnswer,
		})
	}
}

// runConfirm records the strikes of an endpoint if it has ended.
func (i *Isolator) runConfirm(s *suspicion) {
	timer := time.NewTimer(confirmDelay)
	defer timer.Stop()
	select {
	case <-i.ctx.Done():
		return
	case <-timer.C:
	}
	err := i.dialer.Reach(i.ctx, s.endpoint.ID, s.endpoint.Address)
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.broken, s.endpoint.LeavingKey())
	if err == nil || i.ctx.Err() != nil {
		return
	}
	now := time.Now()
	var strikes []quarantiner.Strike
	for _, strike := range s.strikes {
		if len(i.quarantiner.Suspects(now, []string{strike.Part})) == 0 {
			continue
		}
		strikes = append(strikes, strike)
		i.Counters.Strikes.Add(1)
		i.log.WithFields(logrus.Fields{
			"part": strike.Part, "endpoint": strike.Endpoint, "hadAnswer": strike.HadAnswer,
		}).Info("endpoint ended under a request with this part of a prompt")
		if key := keyOf(strike); len(i.puts) < maxPending && i.rows[strike.Part][key] == nil {
			i.puts[key] = valueOf(strike, now)
			i.notify()
		}
	}
	i.add(now, strikes)
}

// add records strikes; the lock is held.
func (i *Isolator) add(now time.Time, strikes []quarantiner.Strike) {
	for _, p := range i.quarantiner.Add(now, strikes...) {
		i.Counters.Quarantined.Add(1)
		i.log.WithFields(logrus.Fields{"part": p, "for": quarantiner.Time.String()}).
			Warn("requests with this part of a prompt crash endpoints; they are refused")
	}
	i.hasStrikes.Store(len(i.quarantiner.Parts()) > 0)
}

func (i *Isolator) notify() {
	select {
	case i.changed <- struct{}{}:
	default:
	}
}

func keyOf(s quarantiner.Strike) string {
	key := s.Part + "/" + s.Endpoint
	if s.HadAnswer {
		key += answerSuffix
	}
	return key
}

// valueOf returns the value of a strike's row.
func valueOf(s quarantiner.Strike, at time.Time) []byte {
	return fmt.Appendf(nil, "%d@%d", s.Position, at.UnixMilli())
}

// strikeOf returns the strike that a row holds, with its time; the error says what of the row can't be decoded.
func strikeOf(e storer.Entry) (quarantiner.Strike, time.Time, error) {
	key, hadAnswer := strings.CutSuffix(e.Key, answerSuffix)
	s := quarantiner.Strike{HadAnswer: hadAnswer}
	isKey := false
	if s.Part, s.Endpoint, isKey = strings.Cut(key, "/"); !isKey || s.Part == "" || s.Endpoint == "" {
		return s, time.Time{}, errors.Errorf("key %q is not PART/ENDPOINT", e.Key)
	}
	if e.IsRemoved {
		return s, time.Time{}, nil
	}
	position, at, _ := strings.Cut(string(e.Value), "@")
	n, err := strconv.ParseUint(position, 10, 8)
	if err != nil {
		return s, time.Time{}, errors.Wrapf(err, "position of the strike %s", e.Key)
	}
	ms, err := strconv.ParseInt(at, 10, 64)
	if err != nil {
		return s, time.Time{}, errors.Wrapf(err, "time of the strike %s", e.Key)
	}
	s.Position = int(n)
	return s, time.UnixMilli(ms), nil
}

// partOf returns the part that a row's key names.
func partOf(key string) string {
	part, _, _ := strings.Cut(key, "/")
	return part
}
