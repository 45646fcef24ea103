package bencher

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/placer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
)

const (
	tideSeed      = 21
	tideVMs       = 9
	tideEndpoints = 9
	tideSlots     = 8
	// tidePeriod, tideLow and tideHigh are how the users' traffic swings around its mean.
	tidePeriod = 5200 * time.Millisecond
	tideLow    = 0.38
	tideHigh   = 1.85
	// tideRate is the mean of online requests a second: 41 of 72 slots at the mean of the swing, 67 at its height.
	tideRate   = 45.0
	tideLength = 2 * time.Minute
	// tideObjective and tideDeadline are those of the users' streams.
	tideObjective = 300 * time.Millisecond
	tideDeadline  = 5 * time.Second
	// tideHold is a stream's time in a slot, tideFirst that to its first event, tideItem a batch item's run.
	tideHold  = 800 * time.Millisecond
	tideFirst = 25 * time.Millisecond
	tideItem  = 5 * time.Second
	// tideResume is what an item loses when it goes on elsewhere.
	tideResume = 50 * time.Millisecond
	// tideReport is the least time between a VM's reports, tideLatency their way.
	tideReport  = 13 * time.Millisecond
	tideLatency = 2 * time.Millisecond
	tideStep    = 20 * time.Millisecond
)

// tideBench has VMs that place streams and fill free slots with batch, each by its own counts and its peers' reports.
type tideBench struct {
	clock     *clock
	random    *rand.Rand
	vms       []*tideVM
	endpoints []registrar.Endpoint
	engines   map[string]*tideEngine
	yields    bool

	// first holds the times to the first event of the requests that came after measureFrom, which measured counts.
	first       *hdrhistogram.Histogram
	measureFrom time.Time
	measured    int
	// asked counts all requests, refused those that were turned away, lost those that ran at an endpoint that went.
	asked, refused, lost int
	// slotTime is that of all slots up to accountedAt, onlineTime and batchUseful what requests and items had of it.
	slotTime, onlineTime, batchUseful time.Duration
	accountedAt                       time.Time
}

type tideVM struct {
	name    string
	placer  *placer.Placer
	items   []*tideRun
	isDirty bool
}

// tideRun is one request in a slot or waiting for one.
type tideRun struct {
	vm       *tideVM
	endpoint string
	ticket   *placer.Ticket
	isBatch  bool
	askedAt  time.Time
	startAt  time.Time
	isGone   bool
}

// tideEngine runs up to its slots at once and takes the rest in order.
type tideEngine struct {
	running, waiting []*tideRun
}

func newTideBench(yields bool) *tideBench {
	b := &tideBench{
		clock: newClock(), random: rand.New(rand.NewPCG(tideSeed, tideSeed)), engines: map[string]*tideEngine{}, yields: yields,
		first: hdrhistogram.New(1, histogramMax.Microseconds(), histogramDigits), accountedAt: epoch, measureFrom: epoch,
	}
	zones := []string{"syd-a", "syd-b", "syd-c"}
	regions := map[string]string{}
	for _, z := range zones {
		regions[z] = "syd"
	}
	for i := range tideEndpoints {
		e := registrar.Endpoint{ID: endpointName(i), Service: "m", Slots: tideSlots, AvailabilityZone: zones[i%len(zones)]}
		b.endpoints = append(b.endpoints, e)
		b.engines[e.ID] = &tideEngine{}
	}
	for i := range tideVMs {
		b.vms = append(b.vms, &tideVM{
			name: fmt.Sprintf("vm-%d", i),
			placer: placer.New(placer.Topology{AvailabilityZone: zones[i%len(zones)], Regions: regions},
				rand.New(rand.NewPCG(tideSeed, uint64(i)))),
		})
	}
	return b
}

// rate is the online requests a second now.
func (b *tideBench) rate() float64 {
	phase := 2 * math.Pi * float64(b.clock.now.Sub(epoch)) / float64(tidePeriod)
	return tideRate * ((tideHigh+tideLow)/2 + (tideHigh-tideLow)/2*math.Sin(phase))
}

func (b *tideBench) arrive() {
	// Thinning makes a Poisson process of a rate that changes (Lewis and Shedler, 1979).
	most := tideRate * tideHigh
	b.clock.after(time.Duration(b.random.ExpFloat64()/most*float64(time.Second)), b.arrive)
	if b.random.Float64()*most > b.rate() {
		return
	}
	b.asked++
	if b.clock.now.After(b.measureFrom) {
		b.measured++
	}
	vm := b.vms[b.random.IntN(len(b.vms))]
	d := vm.placer.Place(b.clock.now, placer.Ask{
		Route:      registrar.Route{Name: "r", Objective: tideObjective, Kind: registrar.KindStream},
		Candidates: b.endpoints, Left: tideDeadline,
	})
	send, ok := d.(placer.Send)
	if !ok {
		b.refused++
		return
	}
	b.start(&tideRun{vm: vm, endpoint: send.Endpoint.ID, askedAt: b.clock.now}, placer.Online)
}

func (b *tideBench) start(r *tideRun, class placer.Class) {
	r.ticket = r.vm.placer.Start(b.clock.now, r.endpoint, class, uint64(b.clock.number))
	r.vm.isDirty = true
	e := b.engines[r.endpoint]
	e.waiting = append(e.waiting, r)
	b.clock.after(tideLatency/2, func() { b.admit(e) })
}

// admit gives free slots to those that wait, in order.
func (b *tideBench) admit(e *tideEngine) {
	b.account()
	for len(e.waiting) > 0 && len(e.running) < tideSlots {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		if r.isGone {
			continue
		}
		e.running = append(e.running, r)
		r.startAt = b.clock.now
		took := tideItem + tideResume
		if !r.isBatch {
			took = time.Duration(float64(tideHold) * (0.5 + b.random.Float64()))
			b.clock.after(tideFirst, func() { b.firstEvent(r) })
		}
		b.clock.after(took, func() { b.end(e, r, placer.EndedWhole) })
	}
}

func (b *tideBench) firstEvent(r *tideRun) {
	if r.isGone {
		return
	}
	now := b.clock.now
	r.vm.placer.FirstByte(now, r.ticket, r.startAt.Sub(r.askedAt) > tideLatency)
	if r.askedAt.After(b.measureFrom) {
		_ = b.first.RecordValue(now.Sub(r.askedAt).Microseconds())
	}
}

func (b *tideBench) end(e *tideEngine, r *tideRun, how placer.Ending) {
	if r.isGone {
		return
	}
	b.account()
	r.isGone = true
	e.running = without(e.running, r)
	e.waiting = without(e.waiting, r)
	r.vm.items = without(r.vm.items, r)
	r.vm.placer.End(b.clock.now, r.ticket, how)
	r.vm.isDirty = true
	if r.isBatch && !r.startAt.IsZero() {
		b.batchUseful -= min(tideResume, b.clock.now.Sub(r.startAt))
	}
	b.clock.after(tideLatency/2, func() { b.admit(e) })
}

func without(list []*tideRun, r *tideRun) []*tideRun {
	for i, other := range list {
		if other == r {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}

// account adds the slots' time since the last change.
func (b *tideBench) account() {
	passed := b.clock.now.Sub(b.accountedAt)
	b.accountedAt = b.clock.now
	for _, endpoint := range b.endpoints {
		for _, r := range b.engines[endpoint.ID].running {
			if r.isBatch {
				b.batchUseful += passed
			} else {
				b.onlineTime += passed
			}
		}
		b.slotTime += tideSlots * passed
	}
}

// report tells the peers what has changed.
func (b *tideBench) report(vm *tideVM) {
	b.clock.after(tideReport, func() { b.report(vm) })
	if !vm.isDirty {
		return
	}
	vm.isDirty = false
	r := placer.Report{VM: vm.name, Pending: 1, Urgency: 10 * time.Second, Loads: vm.placer.Own()}
	b.clock.after(tideLatency, func() {
		for _, peer := range b.vms {
			if peer != vm {
				peer.placer.Hear(b.clock.now, r)
				b.yield(peer)
			}
		}
	})
}

// yield ends the VM's batch items that online requests need the slots of.
func (b *tideBench) yield(vm *tideVM) {
	if !b.yields {
		return
	}
	for _, e := range b.endpoints {
		for n := vm.placer.Excess(b.clock.now, vm.name, e); n > 0; n-- {
			for i := len(vm.items) - 1; i >= 0; i-- {
				if r := vm.items[i]; r.endpoint == e.ID {
					b.end(b.engines[e.ID], r, placer.EndedHere)
					break
				}
			}
		}
	}
}

// step fills free slots with batch, of which every VM has more than enough.
func (b *tideBench) step(vm *tideVM) {
	b.clock.after(tideStep, func() { b.step(vm) })
	b.yield(vm)
	for {
		e, ok := vm.placer.Room(b.clock.now, vm.name, 10*time.Second, b.endpoints)
		if !ok {
			return
		}
		r := &tideRun{vm: vm, endpoint: e.ID, isBatch: true, askedAt: b.clock.now}
		vm.items = append(vm.items, r)
		b.start(r, placer.Batch)
	}
}

// lose takes n endpoints away; what runs there is lost.
func (b *tideBench) lose(n int) {
	b.account()
	for _, e := range b.endpoints[:n] {
		engine := b.engines[e.ID]
		for _, r := range append(append([]*tideRun(nil), engine.running...), engine.waiting...) {
			if !r.isBatch {
				b.lost++
			}
			b.end(engine, r, placer.EndedBroken)
		}
	}
	b.endpoints = b.endpoints[n:]
}

func (b *tideBench) run() {
	b.clock.after(0, b.arrive)
	for i, vm := range b.vms {
		b.clock.after(time.Duration(i)*time.Millisecond, func() { b.report(vm) })
		b.clock.after(time.Duration(i)*time.Millisecond, func() { b.step(vm) })
	}
	b.clock.run(epoch.Add(tideLength))
	b.account()
}

// idleShare is the share of the slot time that online requests left which batch used.
func (b *tideBench) idleShare() float64 {
	return float64(b.batchUseful) / float64(b.slotTime-b.onlineTime)
}

// inTimeShare is the share of the requests asked that had their first event within the objective.
func (b *tideBench) inTimeShare() float64 {
	inTime := 0
	for _, bar := range b.first.Distribution() {
		if bar.From <= tideObjective.Microseconds() {
			inTime += int(bar.Count)
		}
	}
	return float64(inTime) / float64(b.measured)
}

// runTide has traffic that swings as the users' does, batch in every free slot, and then a third of the endpoints lost:
// what is admitted must have its first event in time all the same.
func runTide(r *report) {
	own, rigid, shrunk := newTideBench(true), newTideBench(false), newTideBench(true)
	own.run()
	rigid.run()
	shrunk.clock.after(tideLength/2, func() {
		shrunk.lose(tideEndpoints / 3)
		shrunk.measureFrom = shrunk.clock.now.Add(tideObjective)
	})
	shrunk.run()
	objective := float64(tideObjective.Milliseconds())
	r.atMost("tide/own", "firstEventP95Ms", quantile(own.first, 95), objective)
	r.info("tide/own", "refusedShare", float64(own.refused)/float64(own.asked))
	r.info("tide/own", "batchOfIdleShare", own.idleShare())
	r.atMost("tide/lostThird", "firstEventP95Ms", quantile(shrunk.first, 95), objective)
	r.info("tide/lostThird", "inTimeShare", shrunk.inTimeShare())
	r.info("tide/lostThird", "cutWithTheirEndpoints", float64(shrunk.lost))
	r.info("tide/lostThird", "refusedShare", float64(shrunk.refused)/float64(shrunk.asked))
	r.info("tide/noYield", "firstEventP95Ms", quantile(rigid.first, 95))
	r.info("tide/noYield", "refusedShare", float64(rigid.refused)/float64(rigid.asked))
	r.info("tide/noYield", "batchOfIdleShare", rigid.idleShare())
}
