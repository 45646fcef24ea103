package poller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/allocator"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/router"
	"github.com/dogwoodledge/dogwoodledge/pkg/declarer"
	"github.com/dogwoodledge/dogwoodledge/pkg/sleeper"
)

const (
	pollInterval = time.Second
	pollTimeout  = 800 * time.Millisecond
	// maxAnswerBytes bounds an engine's answer: tens of thousands of cache events. maxHeadBytes bounds its head.
	maxAnswerBytes = 1 << 20
	maxHeadBytes   = 64 << 10
)

// AnswerTooLongError says that an engine's answer at the path has more than Limit bytes.
type AnswerTooLongError struct {
	Path  string
	Limit int
}

func (e *AnswerTooLongError) Error() string {
	return "engine's answer at " + e.Path + " has more than " + strconv.Itoa(e.Limit) + " bytes"
}

// Fleet returns the endpoints whose slots this VM allocates.
type Fleet interface {
	AllocatedEndpoints() []declarer.Endpoint
}

// Handlers holds the functions that receive load reports (Allocator) and cache events (Router).
type Handlers struct {
	Allocator func(endpoint string, in allocator.Input)
	Router    func(in router.Input)
}

type loadReport struct {
	Running int       `json:"running"`
	Waiting int       `json:"waiting"`
	At      time.Time `json:"at"`
}

type cacheEvent struct {
	Number int64    `json:"number"`
	Blocks []uint64 `json:"blocks"`
}

// Poller polls, once a second, the engines whose slots this VM allocates.
type Poller struct {
	fleet    Fleet
	handlers Handlers
	client   *http.Client
	log      logrus.FieldLogger
	// after holds the number of the last cache event by endpoint, lastAt the time of the last load report.
	after  map[string]int64
	lastAt map[string]time.Time
	stop   context.CancelFunc
	done   chan struct{}
}

// New returns a poller that is not started; it calls the functions of h.
func New(f Fleet, h Handlers, log logrus.FieldLogger) *Poller {
	return &Poller{
		fleet: f, handlers: h, log: log, client: &http.Client{
			Timeout: pollTimeout, Transport: &http.Transport{MaxResponseHeaderBytes: maxHeadBytes, DisableCompression: true},
		},
		after: map[string]int64{}, lastAt: map[string]time.Time{}, done: make(chan struct{}),
	}
}

// Start begins polling.
func (p *Poller) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	go p.loop(ctx)
}

// Stop ends polling and waits for the current round.
func (p *Poller) Stop() {
	p.stop()
	<-p.done
}

func (p *Poller) loop(ctx context.Context) {
	defer close(p.done)
	sleeper.Every(ctx, pollInterval, func(time.Time) { p.round(ctx) })
}

// pollResult holds the answers of one engine.
type pollResult struct {
	endpoint string
	load     loadReport
	loadErr  error
	events   []cacheEvent
}

// round polls all engines concurrently, so that a slow one does not delay the requests to others.
func (p *Poller) round(ctx context.Context) {
	endpoints := p.fleet.AllocatedEndpoints()
	results := make([]pollResult, len(endpoints))
	wg := sync.WaitGroup{}
	for i, e := range endpoints {
		if len(e.Models) == 0 {
			continue
		}
		after := p.after[e.Name]
		wg.Go(func() { results[i] = p.poll(ctx, e, after) })
	}
	wg.Wait()
	for _, r := range results {
		if r.endpoint != "" {
			p.handle(r)
		}
	}
}

func (p *Poller) poll(ctx context.Context, e declarer.Endpoint, after int64) pollResult {
	r := pollResult{endpoint: e.Name}
	r.loadErr = p.get(ctx, e.Address, "/v1/load", &r.load)
	eventsErr := p.get(ctx, e.Address, "/v1/cache/events?after="+strconv.FormatInt(after, 10), &r.events)
	for _, err := range []error{r.loadErr, eventsErr} {
		if tooLong := (*AnswerTooLongError)(nil); errors.As(err, &tooLong) {
			p.log.WithError(err).WithField("endpoint", e.Name).Warn("answer of engine not read")
		}
	}
	return r
}

// handle passes an engine's answers on; a load report that is no newer than the last one is ignored.
func (p *Poller) handle(r pollResult) {
	if r.loadErr == nil && r.load.At.After(p.lastAt[r.endpoint]) {
		p.lastAt[r.endpoint] = r.load.At
		p.handlers.Allocator(r.endpoint, allocator.LoadReported{Running: r.load.Running, Waiting: r.load.Waiting})
	}
	for _, ev := range r.events {
		p.after[r.endpoint] = max(p.after[r.endpoint], ev.Number)
		p.handlers.Router(router.BlocksCached{Endpoint: r.endpoint, Blocks: ev.Blocks})
	}
}

func (p *Poller) get(ctx context.Context, addr netip.AddrPort, path string, into any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+path, nil)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	res, err := p.client.Do(r)
	if err != nil {
		return errors.Wrap(err, "send request to engine")
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("engine answered status %d", res.StatusCode)
	}
	body := &io.LimitedReader{R: res.Body, N: maxAnswerBytes + 1}
	err = json.NewDecoder(body).Decode(into)
	if err != nil && body.N <= 0 {
		return &AnswerTooLongError{Path: path, Limit: maxAnswerBytes}
	}
	return errors.Wrap(err, "decode engine's answer")
}
