package poller

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/keeper"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/router"
	"github.com/dogwoodledge/dogwoodledge/pkg/declarer"
	"github.com/dogwoodledge/dogwoodledge/pkg/pauser"
)

const (
	pollEvery   = time.Second
	pollTimeout = 800 * time.Millisecond
)

// Fleet tells which endpoints this VM keeps.
type Fleet interface {
	KeptEndpoints() []declarer.Endpoint
}

// Hearer is told what engines say.
type Hearer struct {
	Keeper func(endpoint string, in keeper.Input)
	Router func(in router.Input)
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

// Poller asks the kept engines once a second.
type Poller struct {
	fleet  Fleet
	hearer Hearer
	client *http.Client
	after  map[string]int64
	lastAt map[string]time.Time
	stop   context.CancelFunc
	done   chan struct{}
}

// New returns a poller that has heard nothing.
func New(f Fleet, h Hearer) *Poller {
	return &Poller{
		fleet: f, hearer: h, client: &http.Client{Timeout: pollTimeout},
		after: map[string]int64{}, lastAt: map[string]time.Time{}, done: make(chan struct{}),
	}
}

// Start begins to poll.
func (p *Poller) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	go p.loop(ctx)
}

// Stop ends polling.
func (p *Poller) Stop() {
	p.stop()
	<-p.done
}

func (p *Poller) loop(ctx context.Context) {
	defer close(p.done)
	pauser.Every(ctx, pollEvery, func(time.Time) { p.round(ctx) })
}

type heard struct {
	endpoint string
	load     loadReport
	loadErr  error
	events   []cacheEvent
}

// round asks all engines at once, so that a slow one delays no other's report.
func (p *Poller) round(ctx context.Context) {
	kept := p.fleet.KeptEndpoints()
	reports := make([]heard, len(kept))
	wg := sync.WaitGroup{}
	for i, e := range kept {
		if len(e.Models) == 0 {
			continue
		}
		after := p.after[e.Name]
		wg.Go(func() { reports[i] = p.ask(ctx, e, after) })
	}
	wg.Wait()
	for _, h := range reports {
		if h.endpoint != "" {
			p.tell(h)
		}
	}
}

func (p *Poller) ask(ctx context.Context, e declarer.Endpoint, after int64) heard {
	h := heard{endpoint: e.Name}
	h.loadErr = p.get(ctx, e.Address, "/v1/load", &h.load)
	_ = p.get(ctx, e.Address, "/v1/cache/events?after="+strconv.FormatInt(after, 10), &h.events)
	return h
}

func (p *Poller) tell(h heard) {
	if h.loadErr == nil && h.load.At.After(p.lastAt[h.endpoint]) {
		p.lastAt[h.endpoint] = h.load.At
		p.hearer.Keeper(h.endpoint, keeper.LoadReported{Running: h.load.Running, Waiting: h.load.Waiting})
	}
	for _, ev := range h.events {
		p.after[h.endpoint] = max(p.after[h.endpoint], ev.Number)
		p.hearer.Router(router.CacheSeen{Endpoint: h.endpoint, Blocks: ev.Blocks})
	}
}

func (p *Poller) get(ctx context.Context, addr netip.AddrPort, path string, into any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+path, nil)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	res, err := p.client.Do(r)
	if err != nil {
		return errors.Wrap(err, "ask engine")
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("engine answered status %d", res.StatusCode)
	}
	return errors.Wrap(json.NewDecoder(res.Body).Decode(into), "decode engine's answer")
}
