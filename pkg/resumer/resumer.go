package resumer

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/continuer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/option"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

const (
	// copies is the number of VMs to which the beginning of a stream is passed on. If nine of ten VMs are lost at once, more
	// than half of the beginnings are still known.
	copies = 8
	// askedVMs is the number of VMs asked for the beginning of a stream: those with a copy, and those that rank next once others are
	// lost.
	askedVMs = 10
	// answerTimeout bounds the wait for the answers: two round trips between regions.
	answerTimeout = 100 * time.Millisecond
	// confirmPause is the pause between two confirmations for outputs that can wait.
	confirmPause = 200 * time.Millisecond
	// announceWindow is the age up to which beginnings are passed on once a second software version serves; streams are shorter.
	announceWindow = 10 * time.Second
)

// Network reaches the other VMs.
type Network interface {
	// RankLive returns n live VMs in an order of preference that depends on the key; this VM may be one.
	RankLive(key string, n int) []string
	// Send sends a payload to a VM once; a lost one is not resent.
	Send(vm string, payload []byte)
}

// Source is where the registries that are observed come from.
type Source interface {
	// Refresh has all changes observed that the store acknowledged before the call.
	Refresh(ctx context.Context) error
}

// Counters count the streams that callers resumed, by what is known of their beginning, and malformed messages.
type Counters struct {
	Known, Unknown, Malformed atomic.Int64
}

// Resumer knows which software version began streams; it is safe for concurrent use.
type Resumer struct {
	vm      string
	network Network
	source  Source
	records *records
	log     logrus.FieldLogger

	mu      sync.Mutex
	history *continuer.History
	ledger  *continuer.Ledger
	// software holds the software version of each endpoint of observed, the last registry, by id.
	software map[string]registrar.Software
	observed *registrar.Registry
	// isMixed says that several software versions of a service may have begun streams.
	isMixed bool
	lastAsk uint64
	asks    map[uint64]chan answerMessage
	// confirming holds the services that runConfirm is to confirm the only software version of.
	confirming map[string]bool

	// Counters can be read from any goroutine.
	Counters Counters
}

// New returns a resumer for the VM; rank returns the VM's place among those that store the record of a service.
func New(
	vm string, n Network, store storer.Table, rank func(service string) int, log logrus.FieldLogger,
) *Resumer {
	r := &Resumer{
		vm: vm, network: n, log: log, history: continuer.NewHistory(time.Now()), ledger: continuer.NewLedger(),
		software: map[string]registrar.Software{}, asks: map[uint64]chan answerMessage{},
		confirming: map[string]bool{},
	}
	r.records = newRecords(r, store, rank, log)
	return r
}

// SetSource sets where the observed registries come from; call it before Start and before any stream is resumed.
func (r *Resumer) SetSource(s Source) { r.source = s }

// Start stores the records of services, until ctx ends.
func (r *Resumer) Start(ctx context.Context) { go r.records.run(ctx) }

// Observe records the endpoints of a new registry.
func (r *Resumer) Observe(reg *registrar.Registry) {
	r.mu.Lock()
	now := time.Now()
	changed := r.history.Observe(now, reg)
	doubtful := r.observeEndpoints(reg)
	begun := doubtful
	if len(changed) > 0 {
		wasMixed := r.isMixed
		r.updateMixed(now, reg)
		if r.isMixed && !wasMixed {
			begun = append(begun, r.ledger.Since(now.Add(-announceWindow))...)
		}
	}
	r.mu.Unlock()
	for _, service := range changed {
		r.records.changed(now, service)
	}
	r.passOn(begun)
}

// observeEndpoints returns the beginnings that are in doubt, since their endpoints changed their version under the same id; the
// lock is held.
func (r *Resumer) observeEndpoints(reg *registrar.Registry) []continuer.Beginning {
	var doubtful []continuer.Beginning
	if reg.HasEndpointsOf(r.observed) {
		return nil
	}
	r.observed = reg
	software := make(map[string]registrar.Software, len(reg.Endpoints))
	for id, e := range reg.Endpoints {
		software[id] = e.Software()
		if old, ok := r.software[id]; ok && old != software[id] {
			r.log.WithFields(logrus.Fields{"endpoint": id, "softwareVersion": e.SoftwareVersion}).
				Warn("endpoint changed its software version under the same id; streams that it began are not resumed")
			doubtful = append(doubtful, r.ledger.Doubt(id)...)
		}
	}
	r.software = software
	return doubtful
}

// updateMixed sets isMixed; the lock is held.
func (r *Resumer) updateMixed(now time.Time, reg *registrar.Registry) {
	r.isMixed = false
	for _, service := range reg.Services() {
		if possible, _ := r.history.Possible(now, service); len(possible) > 1 {
			r.isMixed = true
		}
	}
}

// Began records that the endpoint brings the first event of the stream, or continues it; stream is the id of the attempt that
// began it.
func (r *Resumer) Began(stream string, e registrar.Endpoint) {
	b := continuer.Beginning{Stream: continuer.StreamOf(stream), Software: e.Software()}
	r.mu.Lock()
	r.ledger.Add(time.Now(), b, e.ID)
	possible, _ := r.history.Possible(time.Now(), e.Service)
	r.mu.Unlock()
	if len(possible) > 1 {
		r.passOn([]continuer.Beginning{b})
	}
}

// passOn sends each beginning to the VMs that rank first for its stream.
func (r *Resumer) passOn(begun []continuer.Beginning) {
	byVM := map[string][]continuer.Beginning{}
	for _, b := range begun {
		for _, vm := range r.network.RankLive(rankKey(b.Stream), copies) {
			if vm != r.vm {
				byVM[vm] = append(byVM[vm], b)
			}
		}
	}
	for vm, list := range byVM {
		for part := range slices.Chunk(list, maxBeginnings) {
			payload, err := encodeBegun(part)
			if err != nil {
				r.log.WithError(err).WithField("streams", len(part)).Error("beginnings of streams not passed on")
				continue
			}
			r.network.Send(vm, payload)
		}
	}
}

func rankKey(s continuer.Stream) string {
	b := [9]byte{'s'}
	for i := range 8 {
		b[i+1] = byte(s >> (8 * i))
	}
	return string(b[:])
}

// SoftwareOf returns the software version that began the stream for a request with the host and path; none if it can't be told.
// It waits for the store and for other VMs at most some tenths of a second.
func (r *Resumer) SoftwareOf(ctx context.Context, host, path, stream string) option.Option[registrar.Software] {
	f := r.softwareOf(ctx, stream, func(now time.Time) []string { return r.history.ServicesFor(now, host, path, stream) })
	log := r.log.WithFields(logrus.Fields{"stream": stream, "source": f.source})
	if s, ok := f.software.Get(); !ok || s == continuer.Ambiguous {
		r.Counters.Unknown.Add(1)
		log.WithField("isAmbiguous", ok).Info("it is not known which software version began a resumed stream")
		return option.None[registrar.Software]()
	}
	r.Counters.Known.Add(1)
	log.Debug("it is known which software version began a resumed stream")
	return f.software
}

// finding is the software version that began a stream, and who knew it.
type finding struct {
	software option.Option[registrar.Software]
	source   string
}

// Sources of findings.
const (
	sourceNone  = "none"
	sourceOwn   = "own"
	sourceOnly  = "only version"
	sourcePeers = "peers"
)

// servicesFunc returns the services that may have begun an output; it is called with the lock held.
type servicesFunc func(now time.Time) []string

func (r *Resumer) softwareOf(ctx context.Context, stream string, services servicesFunc) finding {
	s, arrived := continuer.StreamOf(stream), time.Now()
	r.mu.Lock()
	found := r.ledger.Find(arrived, s)
	r.mu.Unlock()
	if _, ok := found.Get(); ok {
		return finding{found, sourceOwn}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	findings := make(chan finding, 2)
	go r.runConfirmOnly(ctx, services, arrived, findings)
	go r.runAsk(ctx, s, findings)
	for range cap(findings) {
		f := <-findings
		software, ok := f.software.Get()
		if !ok {
			continue
		}
		if f.source == sourcePeers {
			r.mu.Lock()
			r.ledger.Add(time.Now(), continuer.Beginning{Stream: s, Software: software}, "")
			r.mu.Unlock()
		}
		return f
	}
	return finding{option.None[registrar.Software](), sourceNone}
}

func (r *Resumer) runConfirmOnly(ctx context.Context, services servicesFunc, at time.Time, findings chan<- finding) {
	findings <- finding{r.confirmOnly(ctx, services, at), sourceOnly}
}

func (r *Resumer) runAsk(ctx context.Context, s continuer.Stream, findings chan<- finding) {
	findings <- finding{r.ask(ctx, s, answerTimeout), sourcePeers}
}

// confirmOnly returns the software version that alone may have begun an output of the services that existed at the time, by what
// the store holds now.
func (r *Resumer) confirmOnly(ctx context.Context, services servicesFunc, at time.Time) option.Option[registrar.Software] {
	if possible, _, _ := r.possible(services); len(possible) > 1 {
		return option.None[registrar.Software]()
	}
	if err := r.source.Refresh(ctx); err != nil {
		if ctx.Err() == nil {
			r.log.WithError(err).Warn("the only software version that is known is not confirmed by the store")
		}
		return option.None[registrar.Software]()
	}
	r.mu.Lock()
	r.history.Confirm(at)
	r.mu.Unlock()
	if possible, names, isComplete := r.possible(services); len(possible) == 1 && !isComplete {
		for _, service := range names {
			r.records.restore(ctx, service)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	return r.history.Only(now, services(now), at)
}

// possible returns the software versions that may have begun an output, its services, and whether there may have been no others.
func (r *Resumer) possible(services servicesFunc) (software []registrar.Software, names []string, isComplete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	names = services(now)
	software, isComplete = r.history.PossibleOfAny(now, names)
	return software, names, isComplete
}

// OnlySoftware returns the software version that alone may have begun an output of the service that existed at the time, within
// continuer.Memory; none if there are several. False says that this isn't known yet; it is being found out.
func (r *Resumer) OnlySoftware(service string, at time.Time) (option.Option[registrar.Software], bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	services := []string{service}
	only := r.history.Only(now, services, at)
	if _, ok := only.Get(); ok {
		return only, true
	}
	if possible, _ := r.history.Possible(now, service); len(possible) > 1 {
		return option.None[registrar.Software](), true
	}
	if !r.confirming[service] {
		r.confirming[service] = true
		go r.runConfirm(service, now)
	}
	return option.None[registrar.Software](), false
}

// runConfirm confirms the only software version of the service for OnlySoftware.
func (r *Resumer) runConfirm(service string, now time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), confirmPause)
	defer cancel()
	r.confirmOnly(ctx, func(time.Time) []string { return []string{service} }, now)
	<-ctx.Done()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.confirming, service)
}

// ask asks other VMs which software version began the stream, until one knows, all have answered or the timeout has passed.
func (r *Resumer) ask(ctx context.Context, s continuer.Stream, timeout time.Duration) option.Option[registrar.Software] {
	asked := slices.DeleteFunc(r.network.RankLive(rankKey(s), askedVMs), func(vm string) bool { return vm == r.vm })
	answers := make(chan answerMessage, len(asked))
	r.mu.Lock()
	r.lastAsk++
	number := r.lastAsk
	r.asks[number] = answers
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.asks, number)
	}()
	payload, err := encode(askType, askMessage{VM: r.vm, Number: number, Stream: uint64(s)})
	if err != nil {
		r.log.WithError(err).Error("question about a stream not sent")
		return option.None[registrar.Software]()
	}
	for _, vm := range asked {
		r.network.Send(vm, payload)
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for range asked {
		select {
		case a := <-answers:
			if a.IsKnown {
				return option.Some(registrar.Software(a.Software))
			}
		case <-timer.C:
			return option.None[registrar.Software]()
		case <-ctx.Done():
			return option.None[registrar.Software]()
		}
	}
	return option.None[registrar.Software]()
}

// Receive handles a payload of another VM, and reports whether it is one of a resumer; malformed ones are counted and dropped.
func (r *Resumer) Receive(payload []byte) bool {
	if !isOwn(payload) {
		return false
	}
	m, err := decode(payload)
	if err != nil {
		r.Counters.Malformed.Add(1)
		return true
	}
	switch m := m.(type) {
	case begunMessage:
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, b := range m.beginnings() {
			r.ledger.Add(time.Now(), b, "")
		}
	case askMessage:
		r.answer(m)
	case answerMessage:
		r.mu.Lock()
		defer r.mu.Unlock()
		select {
		case r.asks[m.Number] <- m:
		default:
		}
	}
	return true
}

func (r *Resumer) answer(m askMessage) {
	r.mu.Lock()
	software, ok := r.ledger.Find(time.Now(), continuer.Stream(m.Stream)).Get()
	r.mu.Unlock()
	payload, err := encode(answerType, answerMessage{Number: m.Number, IsKnown: ok, Software: uint64(software)})
	if err != nil {
		r.log.WithError(err).Error("answer about a stream not sent")
		return
	}
	r.network.Send(m.VM, payload)
}
