package scout

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/surveyor"
)

// ErrPartitioned is the cause with which the context of Silenced ends.
var ErrPartitioned = errors.New("this VM is partitioned from the endpoints")

// Dialer opens connections to endpoints, and keeps them for requests.
type Dialer interface {
	// Reach returns an error if no connection to the endpoint can be opened.
	Reach(ctx context.Context, id string, addr netip.AddrPort) error
}

// Counters can be read from any goroutine.
type Counters struct {
	// Probes counts the connections opened to tell a partition, or its end; Partitions the partitions.
	Probes, Partitions atomic.Int64
	// Questions counts those to other VMs whether they reach an endpoint; Malformed the messages that can't be decoded.
	Questions, Malformed atomic.Int64
}

// Scout holds what this VM knows of its links to the endpoints. It is the observer of the pool of connections to them, and safe
// for concurrent use.
type Scout struct {
	vm       string
	dialer   Dialer
	peers    Peers
	registry func() *registrar.Registry
	log      logrus.FieldLogger
	// onChange is called with each change of the state.
	onChange func(surveyor.State)
	// started is the time from which the next three count, in nanoseconds. vouchedAt is when other VMs said that what failed here
	// has failed for them too.
	started                         time.Time
	heardAt, connectedAt, vouchedAt atomic.Int64
	inFlight, answering             atomic.Int64
	// isInTouch saves callers the lock.
	isInTouch atomic.Bool
	// woken signals that a connection has failed or was established.
	woken chan struct{}

	mu       sync.Mutex
	random   *rand.Rand
	surveyor *surveyor.Surveyor
	// silenced ends when the VM hears nothing more from any endpoint; it is replaced when it does again.
	silenced context.Context
	silence  context.CancelCauseFunc
	// asks holds where the answers to the questions of this VM go, by their numbers.
	asks       map[uint64]chan answer
	lastNumber uint64

	Counters Counters
}

// New returns a scout of the VM that is not started.
func New(
	vm string, d Dialer, p Peers, registry func() *registrar.Registry, random *rand.Rand, log logrus.FieldLogger,
) *Scout {
	s := &Scout{
		vm: vm, dialer: d, peers: p, asks: map[uint64]chan answer{}, registry: registry, random: random, log: log,
		onChange: func(surveyor.State) {}, started: time.Now(),
		woken: make(chan struct{}, 1), surveyor: surveyor.New(),
	}
	s.silenced, s.silence = context.WithCancelCause(context.Background())
	s.isInTouch.Store(true)
	return s
}

// OnChange makes the scout call f, which must not block, with each change of the state; it must be called before Start.
func (s *Scout) OnChange(f func(surveyor.State)) { s.onChange = f }

// Start surveys the links until ctx ends.
func (s *Scout) Start(ctx context.Context) { go s.run(ctx) }

// State returns what is known of the links.
func (s *Scout) State() surveyor.State {
	if s.isInTouch.Load() {
		return surveyor.State{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.surveyor.State()
}

// IsPartitioned reports whether the VM reaches no endpoint, or has not taken its load back yet.
func (s *Scout) IsPartitioned() bool { return !s.isInTouch.Load() }

// ServesLocally draws whether this VM sends a new request to an endpoint itself.
func (s *Scout) ServesLocally() bool {
	if s.isInTouch.Load() {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < s.surveyor.LocalShare(time.Now())
}

// Silenced returns a context that ends, with ErrPartitioned, once nothing is heard from any endpoint any more.
func (s *Scout) Silenced() context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silenced
}

// HasHeardSince reports whether the VM is in touch, and an endpoint has shown life since the time: what failed then was the
// endpoint's failure, and not that of this VM's links.
func (s *Scout) HasHeardSince(at time.Time) bool {
	since := int64(at.Sub(s.started))
	return s.isInTouch.Load() &&
		(s.heardAt.Load() > since || s.connectedAt.Load() > since || s.vouchedAt.Load() > since)
}

// Connected implements dialer.Observer.
func (s *Scout) Connected(endpoint string) {
	s.connectedAt.Store(int64(time.Since(s.started)))
	s.observe(surveyor.Connected{Endpoint: endpoint})
}

// Failed implements dialer.Observer.
func (s *Scout) Failed(endpoint string) { s.observe(surveyor.Failed{Endpoint: endpoint}) }

// Heard implements dialer.Observer.
func (s *Scout) Heard() { s.heardAt.Store(int64(time.Since(s.started))) }

// Exchanges implements dialer.Observer.
func (s *Scout) Exchanges(change int) { s.inFlight.Add(int64(change)) }

func (s *Scout) observe(in surveyor.Input) {
	s.mu.Lock()
	s.surveyor.Handle(time.Now(), in)
	s.mu.Unlock()
	select {
	case s.woken <- struct{}{}:
	default:
	}
}

func (s *Scout) run(ctx context.Context) {
	tick := time.NewTicker(surveyor.WakeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-s.woken:
		}
		s.wake(ctx, time.Now())
	}
}

// wake passes on what was counted, and carries out what the surveyor asks for.
func (s *Scout) wake(ctx context.Context, now time.Time) {
	endpoints := s.registry().Endpoints
	s.mu.Lock()
	outputs := s.surveyor.Handle(now, surveyor.Woken{
		HeardAt: s.started.Add(time.Duration(s.heardAt.Load())), InFlight: int(s.inFlight.Load()), Endpoints: len(endpoints),
	})
	var changes []surveyor.State
	for _, out := range outputs {
		switch out := out.(type) {
		case surveyor.Probe:
			for _, e := range s.choose(endpoints, out) {
				go s.probe(ctx, e)
			}
		case surveyor.Ask:
			go s.runAsk(ctx, out.Endpoints)
		case surveyor.Changed:
			s.apply(out.State)
			changes = append(changes, out.State)
		}
	}
	s.mu.Unlock()
	for _, state := range changes {
		s.log.WithFields(logrus.Fields{
			"phase": state.Phase.String(), "isSilent": state.IsSilent, "endpoints": len(endpoints), "inFlight": s.inFlight.Load(),
		}).Warn("links to the endpoints changed")
		s.onChange(state)
	}
}

// apply records a new state; the lock is held.
func (s *Scout) apply(state surveyor.State) {
	if state.Phase == surveyor.Partitioned && s.isInTouch.Load() {
		s.Counters.Partitions.Add(1)
	}
	s.isInTouch.Store(state.Phase == surveyor.InTouch)
	if state.IsSilent {
		s.silence(ErrPartitioned)
		return
	}
	if s.silenced.Err() != nil {
		s.silenced, s.silence = context.WithCancelCause(context.Background())
	}
}

// choose draws the endpoints of a probe, of as many services as there are; the lock is held.
func (s *Scout) choose(endpoints map[string]registrar.Endpoint, p surveyor.Probe) []registrar.Endpoint {
	byService := map[string][]registrar.Endpoint{}
	for id, e := range endpoints {
		if !p.Avoid[id] {
			byService[e.Service] = append(byService[e.Service], e)
		}
	}
	var chosen []registrar.Endpoint
	for len(chosen) < p.Count && len(byService) > 0 {
		for service, list := range byService {
			if len(chosen) == p.Count {
				break
			}
			i := s.random.IntN(len(list))
			chosen = append(chosen, list[i])
			list[i] = list[len(list)-1]
			if byService[service] = list[:len(list)-1]; len(list) == 1 {
				delete(byService, service)
			}
		}
	}
	return chosen
}

// probe reports whether a connection to the endpoint can be opened; the pool tells Connected or Failed.
func (s *Scout) probe(ctx context.Context, e registrar.Endpoint) bool {
	s.Counters.Probes.Add(1)
	ctx, cancel := context.WithTimeout(ctx, surveyor.ProbeTimeout)
	defer cancel()
	return s.dialer.Reach(ctx, e.ID, e.Address) == nil
}
