package bencher

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/assigner"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/placer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
)

const (
	tideSeed      = 21
	tideVMs       = 9
	tideEndpoints = 9
	tideSlots     = 8
	// tidePeriod is the period of the traffic's swing, tideLow and tideHigh its bounds as multiples of the mean, all as in
	// the users' traffic.
	tidePeriod = 5200 * time.Millisecond
	tideLow    = 0.38
	tideHigh   = 1.85
	// tideRate is the mean number of online requests a second. It needs 41 of the 72 slots in the middle of the swing and 67
	// at its peak.
	tideRate     = 45.0
	tideDuration = 2 * time.Minute
	// tideObjective is the users' target for a stream's first event, tideDeadline their deadline for it.
	tideObjective = 300 * time.Millisecond
	tideDeadline  = 5 * time.Second
	// tideStreamTime is a stream's mean time in a slot, tideFirstEventDelay the time in the slot until its first event, and
	// tideItemTime a batch item's time in a slot.
	tideStreamTime      = 800 * time.Millisecond
	tideFirstEventDelay = 25 * time.Millisecond
	tideItemTime        = 5 * time.Second
	// tideResumeCost is the time that a preempted item loses when it resumes at another endpoint.
	tideResumeCost = 50 * time.Millisecond
	// tideReportInterval is the shortest time between a VM's reports, tideHeartbeat the longest, tideLatency the delay of a message.
	tideReportInterval = 4 * time.Millisecond
	tideHeartbeat      = 300 * time.Millisecond
	tideLatency        = 2 * time.Millisecond
	// tideWakeInterval is the time between two checks of the assigner without an input.
	tideWakeInterval = 20 * time.Millisecond
	// tideWaitingItems is the number of batch items that wait at each VM.
	tideWaitingItems = 20
)

// tideBench runs VMs that place streams and fill free slots with batch, by the replies and offers of one assigner.
type tideBench struct {
	clock     *clock
	random    *rand.Rand
	assigner  *assigner.Assigner
	vms       []*tideVM
	endpoints []registrar.Endpoint
	engines   map[string]*tideEngine
	// isPreempting makes batch items end when online requests need their slots.
	isPreempting bool

	// measured counts the online requests that arrived after measureFrom; first holds the times to the first event of
	// those that were admitted.
	first       *hdrhistogram.Histogram
	measureFrom time.Time
	measured    int
	// offered counts all online requests, refused those without a slot in time, lost those at an endpoint that failed.
	offered, refused, lost int
	// slotTime is the time of all slots up to addedUntil. onlineTime is the part that online requests used, usefulBatchTime
	// the part that batch items used, less the cost of resuming them.
	slotTime, onlineTime, usefulBatchTime time.Duration
	addedUntil                            time.Time
}

// tideVM is a VM with its counts.
type tideVM struct {
	name, zone   string
	loads        map[placer.Key]placer.Load
	observations []placer.Observation
	sequence     uint64
	acknowledged uint64
	items        []*tideRun
	// isDirty says that the VM's loads have changed since its last report.
	isDirty    bool
	reportedAt time.Time
}

// tideRun is an online request or batch item that runs in a slot or waits for one.
type tideRun struct {
	vm        *tideVM
	endpoint  string
	isBatch   bool
	arrivedAt time.Time
	sentAt    time.Time
	startedAt time.Time
	isEnded   bool
}

// tideEngine runs up to tideSlots requests at once; the others wait in order of arrival.
type tideEngine struct {
	running, waiting []*tideRun
}

func newTideBench(isPreempting bool) *tideBench {
	b := &tideBench{
		clock: newClock(), random: rand.New(rand.NewPCG(tideSeed, tideSeed)), engines: map[string]*tideEngine{},
		isPreempting: isPreempting,
		first:        hdrhistogram.New(1, histogramMax.Microseconds(), histogramDigits), addedUntil: epoch, measureFrom: epoch,
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
			name: fmt.Sprintf("vm-%d", i), zone: zones[i%len(zones)], loads: map[placer.Key]placer.Load{},
		})
	}
	b.assigner = assigner.New(regions, rand.New(rand.NewPCG(tideSeed, 1)), 0)
	b.assigner.Handle(epoch, assigner.Configured{Endpoints: b.endpoints})
	return b
}

// rate returns the current number of online requests a second.
func (b *tideBench) rate() float64 {
	phase := 2 * math.Pi * float64(b.clock.now.Sub(epoch)) / float64(tidePeriod)
	return tideRate * ((tideHigh+tideLow)/2 + (tideHigh-tideLow)/2*math.Sin(phase))
}

func (b *tideBench) arrive() {
	// Thinning gives a Poisson process with a rate that varies (Lewis and Shedler, 1979).
	maxRate := tideRate * tideHigh
	b.clock.after(time.Duration(b.random.ExpFloat64()/maxRate*float64(time.Second)), b.arrive)
	if b.random.Float64()*maxRate > b.rate() {
		return
	}
	b.offered++
	if b.clock.now.After(b.measureFrom) {
		b.measured++
	}
	vm := b.vms[b.random.IntN(len(b.vms))]
	arrivedAt := b.clock.now
	b.send(vm, func() []assigner.Output {
		return b.assigner.Handle(b.clock.now, assigner.Asked{VM: vm.name, Request: placer.Request{
			Route:            registrar.Route{Name: "r", Objective: tideObjective, Kind: registrar.KindStream},
			AvailabilityZone: vm.zone, Left: tideDeadline - b.clock.now.Sub(arrivedAt), Waited: b.clock.now.Sub(arrivedAt),
		}})
	}, arrivedAt)
}

// send sends the VM's report to the assigner, followed by a question if there is one, and carries out what the assigner replies.
func (b *tideBench) send(vm *tideVM, question func() []assigner.Output, arrivedAt time.Time) {
	vm.sequence++
	vm.isDirty, vm.reportedAt = false, b.clock.now
	in := assigner.Reported{
		VM: vm.name, AvailabilityZone: vm.zone, Incarnation: 1, Sequence: vm.sequence, Acknowledged: vm.acknowledged,
		Report: placer.Report{
			VM: vm.name, Waiting: make([]time.Duration, tideWaitingItems), Loads: maps.Clone(vm.loads),
		},
		Observations: vm.observations,
	}
	vm.observations = nil
	b.clock.after(tideLatency, func() {
		out := b.assigner.Handle(b.clock.now, in)
		if question != nil {
			out = append(out, question()...)
		}
		b.deliver(out, arrivedAt)
	})
}

// wake has the assigner check for expired orders and free slots.
func (b *tideBench) wake() {
	b.clock.after(tideWakeInterval, b.wake)
	b.deliver(b.assigner.Handle(b.clock.now, assigner.Woken{}), time.Time{})
}

// deliver carries out the assigner's orders after the delay of a message; arrivedAt is when the request of a reply arrived.
func (b *tideBench) deliver(outputs []assigner.Output, arrivedAt time.Time) {
	b.clock.after(tideLatency, func() {
		for _, out := range outputs {
			switch out := out.(type) {
			case assigner.Placed:
				if s, ok := out.Decision.(placer.Send); ok {
					b.start(&tideRun{vm: b.vm(out.VM), endpoint: s.Endpoint.ID, arrivedAt: arrivedAt}, out.Order)
				} else {
					b.refused++
				}
			case assigner.BatchOffered:
				b.start(&tideRun{vm: b.vm(out.VM), endpoint: out.Endpoint.ID, isBatch: true, arrivedAt: b.clock.now}, out.Order)
			case assigner.PreemptionOrdered:
				b.preempt(b.vm(out.VM), out)
			}
		}
	})
}

func (b *tideBench) vm(name string) *tideVM {
	for _, vm := range b.vms {
		if vm.name == name {
			return vm
		}
	}
	return nil
}

// count changes the VM's counts at the endpoint by n requests.
func (r *tideRun) count(n int) {
	k := placer.KeyOf(r.endpoint)
	l := r.vm.loads[k]
	if r.isBatch {
		l.Batch += n
	} else {
		l.Online += n
	}
	r.vm.loads[k] = l
	r.vm.isDirty = true
}

func (b *tideBench) start(r *tideRun, order uint64) {
	r.sentAt = b.clock.now
	r.vm.acknowledged = max(r.vm.acknowledged, order)
	r.count(1)
	if r.isBatch {
		r.vm.items = append(r.vm.items, r)
	}
	e, ok := b.engines[r.endpoint]
	if !ok {
		// The endpoint failed before the request was sent.
		b.fail(r)
		return
	}
	e.waiting = append(e.waiting, r)
	b.clock.after(tideLatency/2, func() { b.admit(e) })
}

// admit gives free slots to the waiting requests, in order.
func (b *tideBench) admit(e *tideEngine) {
	b.addSlotTime()
	for len(e.waiting) > 0 && len(e.running) < tideSlots {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		if r.isEnded {
			continue
		}
		e.running = append(e.running, r)
		r.startedAt = b.clock.now
		took := tideItemTime + tideResumeCost
		if !r.isBatch {
			took = time.Duration(float64(tideStreamTime) * (0.5 + b.random.Float64()))
			b.clock.after(tideFirstEventDelay, func() { b.firstEvent(r) })
		}
		b.clock.after(took, func() { b.end(e, r, placer.EndedComplete) })
	}
}

func (b *tideBench) firstEvent(r *tideRun) {
	if r.isEnded {
		return
	}
	now := b.clock.now
	if r.startedAt.Sub(r.sentAt) <= tideLatency {
		r.vm.observations = append(r.vm.observations, placer.Observation{Key: placer.KeyOf(r.endpoint), FirstByte: now.Sub(r.sentAt)})
	}
	if r.arrivedAt.After(b.measureFrom) {
		_ = b.first.RecordValue(now.Sub(r.arrivedAt).Microseconds())
	}
}

func (b *tideBench) end(e *tideEngine, r *tideRun, how placer.Ending) {
	if r.isEnded {
		return
	}
	b.addSlotTime()
	r.isEnded = true
	e.running = without(e.running, r)
	e.waiting = without(e.waiting, r)
	r.vm.items = without(r.vm.items, r)
	r.count(-1)
	if how == placer.EndedFailed {
		r.vm.observations = append(r.vm.observations, placer.Observation{Key: placer.KeyOf(r.endpoint), HasFailed: true})
	} else if !r.isBatch {
		r.vm.observations = append(r.vm.observations, placer.Observation{
			Key: placer.KeyOf(r.endpoint), ServiceTime: b.clock.now.Sub(r.sentAt),
		})
	}
	if r.isBatch && !r.startedAt.IsZero() {
		b.usefulBatchTime -= min(tideResumeCost, b.clock.now.Sub(r.startedAt))
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

// addSlotTime adds the slots' time since the last call to the totals.
func (b *tideBench) addSlotTime() {
	passed := b.clock.now.Sub(b.addedUntil)
	b.addedUntil = b.clock.now
	for _, endpoint := range b.endpoints {
		for _, r := range b.engines[endpoint.ID].running {
			if r.isBatch {
				b.usefulBatchTime += passed
			} else {
				b.onlineTime += passed
			}
		}
		b.slotTime += tideSlots * passed
	}
}

// report sends the VM's loads to the assigner if they have changed, and at intervals.
func (b *tideBench) report(vm *tideVM) {
	b.clock.after(tideReportInterval, func() { b.report(vm) })
	if vm.isDirty || b.clock.now.Sub(vm.reportedAt) >= tideHeartbeat {
		b.send(vm, nil, time.Time{})
	}
}

// preempt ends the VM's batch items whose slots are needed for online requests.
func (b *tideBench) preempt(vm *tideVM, out assigner.PreemptionOrdered) {
	if !b.isPreempting {
		return
	}
	vm.acknowledged = max(vm.acknowledged, out.Order)
	vm.isDirty = true
	for n := out.Items; n > 0; n-- {
		for i := len(vm.items) - 1; i >= 0; i-- {
			if r := vm.items[i]; placer.KeyOf(r.endpoint) == out.Key {
				b.end(b.engines[r.endpoint], r, placer.EndedLocally)
				break
			}
		}
	}
}

// fail ends a request that was sent to an endpoint which has failed.
func (b *tideBench) fail(r *tideRun) {
	if !r.isBatch {
		b.lost++
	}
	b.end(&tideEngine{}, r, placer.EndedFailed)
}

// lose makes the first n endpoints fail; requests that run or wait there are lost. The assigner learns of it by the registry.
func (b *tideBench) lose(n int) {
	b.addSlotTime()
	lost := b.endpoints[:n]
	b.endpoints = b.endpoints[n:]
	for _, e := range lost {
		engine := b.engines[e.ID]
		delete(b.engines, e.ID)
		for _, r := range append(append([]*tideRun(nil), engine.running...), engine.waiting...) {
			if !r.isBatch {
				b.lost++
			}
			b.end(engine, r, placer.EndedFailed)
		}
	}
	b.assigner.Handle(b.clock.now, assigner.Configured{Endpoints: b.endpoints})
}

func (b *tideBench) run() {
	b.clock.after(0, b.arrive)
	for i, vm := range b.vms {
		b.clock.after(time.Duration(i)*time.Millisecond, func() { b.report(vm) })
	}
	b.clock.after(0, b.wake)
	b.clock.run(epoch.Add(tideDuration))
	b.addSlotTime()
}

// idleShare returns batch's share of the slot time that online requests left free.
func (b *tideBench) idleShare() float64 {
	return float64(b.usefulBatchTime) / float64(b.slotTime-b.onlineTime)
}

// inTimeShare returns the share of the measured requests whose first event came within the objective.
func (b *tideBench) inTimeShare() float64 {
	inTime := 0
	for _, bar := range b.first.Distribution() {
		if bar.From <= tideObjective.Microseconds() {
			inTime += int(bar.Count)
		}
	}
	return float64(inTime) / float64(b.measured)
}

// runTide is scenario tide: online traffic swings, batch fills every free slot, and in one run a third of the endpoints
// fails. Admitted requests must have their first event in time all the same.
func runTide(r *report) {
	own, withoutPreemption, lostThird := newTideBench(true), newTideBench(false), newTideBench(true)
	own.run()
	withoutPreemption.run()
	lostThird.clock.after(tideDuration/2, func() {
		lostThird.lose(tideEndpoints / 3)
		lostThird.measureFrom = lostThird.clock.now.Add(tideObjective)
	})
	lostThird.run()
	objective := float64(tideObjective.Milliseconds())
	r.atMost("tide/own", "firstEventP95Ms", quantile(own.first, 95), objective)
	r.info("tide/own", "refusedShare", float64(own.refused)/float64(own.offered))
	r.info("tide/own", "batchOfIdleShare", own.idleShare())
	r.atMost("tide/lostThird", "firstEventP95Ms", quantile(lostThird.first, 95), objective)
	r.info("tide/lostThird", "inTimeShare", lostThird.inTimeShare())
	r.info("tide/lostThird", "cutWithTheirEndpoints", float64(lostThird.lost))
	r.info("tide/lostThird", "refusedShare", float64(lostThird.refused)/float64(lostThird.offered))
	r.info("tide/noYield", "firstEventP95Ms", quantile(withoutPreemption.first, 95))
	r.info("tide/noYield", "refusedShare", float64(withoutPreemption.refused)/float64(withoutPreemption.offered))
	r.info("tide/noYield", "batchOfIdleShare", withoutPreemption.idleShare())
}
