package forwarder

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/quarantiner"
	"github.com/dogwoodledge/dogwoodledge/pkg/declarer"
)

const (
	// confirmDelay is the pause before an endpoint is dialed after a request broke off there: a process that ends closes its port
	// and its connections one after the other.
	confirmDelay = 30 * time.Millisecond
	// Of the endpoints that end within outageTime, the first maxInOutage count. These suffice for a quarantine; each further one
	// would only put off its probes, and an outage may end them all.
	outageTime  = time.Second
	maxInOutage = 3
)

// QuarantinedError says that requests whose prompts begin like this one crash endpoints, so that it is not sent.
type QuarantinedError struct {
	Left time.Duration
}

// Error says how long the beginning stays quarantined at most.
func (e *QuarantinedError) Error() string {
	return fmt.Sprintf("endpoints end under prompts with this beginning; it is refused for at most %s", e.Left.Round(time.Second))
}

// quarantine keeps requests with beginnings of prompts under which endpoints end from further endpoints, as far as this VM has
// seen these end.
type quarantine struct {
	log logrus.FieldLogger

	mu          sync.Mutex
	quarantiner *quarantiner.Quarantiner
	// ends counts the ends of each endpoint, which tell its incarnations apart.
	ends map[string]int
	// counted holds the incarnations whose ends count among those since outageFrom.
	counted    map[string]bool
	outageFrom time.Time
}

func newQuarantine(log logrus.FieldLogger) *quarantine {
	return &quarantine{log: log, quarantiner: quarantiner.New(), ends: map[string]int{}, counted: map[string]bool{}}
}

// beginnings returns the parts of a prompt for the quarantiner: its first block, its first two, four and so on. Each hash covers
// all blocks before it.
func beginnings(blocks []uint64) []string {
	var parts []string
	for n := 1; n <= len(blocks); n *= 2 {
		parts = append(parts, strconv.FormatUint(blocks[n-1], 16))
	}
	return parts
}

// check returns a *QuarantinedError if a request with the parts may not be sent; one that may be sent in spite of a quarantine is
// its probe.
func (q *quarantine) check(parts []string) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	v := q.quarantiner.Check(now, parts)
	if v.Part == "" {
		return nil
	}
	if v.IsProbeDue && q.quarantiner.BeginProbe(now, v.Part) {
		q.log.WithField("part", v.Part).Info("request sent to probe a quarantined beginning of prompts")
		return nil
	}
	return &QuarantinedError{Left: v.Left}
}

// incarnation returns the number of the endpoint's ends, before a request is sent there.
func (q *quarantine) incarnation(endpoint string) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ends[endpoint]
}

// completed records that a request with the parts was completed, which refutes strikes against them.
func (q *quarantine) completed(parts []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, p := range parts {
		if q.quarantiner.IsQuarantined(p) {
			q.log.WithField("part", p).Warn("a request with this quarantined beginning was completed; it is released")
		}
	}
	q.quarantiner.Completed(time.Now(), parts)
}

// runConfirm records strikes against the parts of a request that broke off at the endpoint, if the endpoint has ended.
func (q *quarantine) runConfirm(e declarer.Endpoint, incarnation int, parts []string, hadAnswer bool) {
	brokeOffAt := time.Now()
	time.Sleep(confirmDelay)
	if !isRefused(e.Address) {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.ends[e.Name] == incarnation {
		q.ends[e.Name]++
	}
	now := time.Now()
	key := fmt.Sprintf("%s@%d", e.Name, incarnation)
	if !q.counts(now, key) {
		return
	}
	var strikes []quarantiner.Strike
	for _, p := range q.quarantiner.Suspects(now, parts) {
		strikes = append(strikes, quarantiner.Strike{
			Part: p, Position: slices.Index(parts, p), Endpoint: key, HadAnswer: hadAnswer, At: brokeOffAt,
		})
	}
	for _, p := range q.quarantiner.Add(now, strikes...) {
		q.log.WithFields(logrus.Fields{"part": p, "for": quarantiner.Duration.String()}).
			Warn("requests with this beginning of a prompt crash endpoints; they are refused")
	}
}

// counts reports whether the end of an endpoint's incarnation counts; the lock is held.
func (q *quarantine) counts(now time.Time, incarnation string) bool {
	if now.Sub(q.outageFrom) > outageTime {
		q.outageFrom, q.counted = now, map[string]bool{}
	}
	if len(q.counted) < maxInOutage {
		q.counted[incarnation] = true
	}
	return q.counted[incarnation]
}

// isRefused reports whether the address refuses connections. A connection that times out may be the network's fault.
func isRefused(addr netip.AddrPort) bool {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(context.Background(), "tcp", addr.String())
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
