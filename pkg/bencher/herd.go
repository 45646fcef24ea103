package bencher

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/router"
)

const (
	herdSeed      = 16
	herdVMs       = 9
	herdEndpoints = 12
	herdSlots     = 16
	// herdRate is the number of requests a second.
	herdRate           = 120.0
	herdDuration       = 2 * time.Minute
	herdServiceTime    = time.Second
	herdReportInterval = time.Second
	herdReportDelay    = 5 * time.Second
	maxLoadOverMean    = 2.0
	herdWarmUp         = 20 * time.Second
)

// herdBench runs the routers of several VMs, which receive the load reports of the endpoints five seconds late.
type herdBench struct {
	clock   *clock
	random  *rand.Rand
	routers []*router.Router
	inUse   []int
	// isLeastReported selects the baseline: send to the endpoint with the least reported load.
	isLeastReported bool
	reported        []int
	// ratioSum adds up the sampled ratios of the highest load to the mean load.
	ratioSum   float64
	samples    int
	worstRatio float64
}

func newHerdBench(isLeastReported bool) *herdBench {
	b := &herdBench{
		clock: newClock(), random: rand.New(rand.NewPCG(herdSeed, herdSeed)), inUse: make([]int, herdEndpoints),
		isLeastReported: isLeastReported, reported: make([]int, herdEndpoints),
	}
	conf := router.Configured{Region: "syd", AvailabilityZone: "syd-a"}
	for i := range herdEndpoints {
		conf.Endpoints = append(conf.Endpoints, router.Endpoint{
			Name: endpointName(i), Region: "syd", AvailabilityZone: "syd-a", Serves: []string{"m"}, Slots: herdSlots,
		})
	}
	for i := range herdVMs {
		r := router.New(rand.New(rand.NewPCG(herdSeed, uint64(i))))
		r.Handle(b.clock.now, conf)
		b.routers = append(b.routers, r)
	}
	return b
}

func (b *herdBench) send() {
	vm := b.random.IntN(herdVMs)
	to := b.choose(vm)
	b.inUse[to]++
	b.routers[vm].Handle(b.clock.now, router.Sent{Endpoint: endpointName(to)})
	took := time.Duration(b.random.ExpFloat64() * float64(herdServiceTime))
	b.clock.after(took, func() {
		b.inUse[to]--
		b.routers[vm].Handle(b.clock.now, router.Ended{Endpoint: endpointName(to)})
	})
}

// choose returns the router's first candidate or, for the baseline, the endpoint with the least reported load.
func (b *herdBench) choose(vm int) int {
	if b.isLeastReported {
		best := 0
		for i, n := range b.reported {
			if n < b.reported[best] {
				best = i
			}
		}
		return best
	}
	out := b.routers[vm].Handle(b.clock.now, router.Route{Serves: "m"})
	to := 0
	_, _ = fmt.Sscanf(out[0].(router.Candidates).Endpoints[0], "engine-%d", &to)
	return to
}

// report sends every router the current loads, which arrive after herdReportDelay.
func (b *herdBench) report() {
	loads := append([]int(nil), b.inUse...)
	b.clock.after(herdReportDelay, func() {
		copy(b.reported, loads)
		for i, n := range loads {
			for _, r := range b.routers {
				r.Handle(b.clock.now, router.LoadReported{Endpoint: endpointName(i), InUse: n, Age: herdReportDelay})
			}
		}
	})
	b.clock.after(herdReportInterval, b.report)
}

// sample records the ratio of the highest load to the mean load, once per herdReportInterval after the warm-up.
func (b *herdBench) sample() {
	total, worst := 0, 0
	for _, n := range b.inUse {
		total += n
		worst = max(worst, n)
	}
	if b.clock.now.Sub(epoch) > herdWarmUp && total > 0 {
		b.samples++
		ratio := float64(worst) * herdEndpoints / float64(total)
		b.ratioSum += ratio
		b.worstRatio = max(b.worstRatio, ratio)
	}
	b.clock.after(herdReportInterval, b.sample)
}

func (b *herdBench) run() {
	var arrive func()
	arrive = func() {
		b.send()
		b.clock.after(time.Duration(b.random.ExpFloat64()/herdRate*float64(time.Second)), arrive)
	}
	b.clock.after(0, arrive)
	b.clock.after(0, b.report)
	b.clock.after(0, b.sample)
	b.clock.run(epoch.Add(herdDuration))
}

// runHerd is scenario herd: load reports five seconds old must not make all VMs send to the same endpoint.
func runHerd(r *report) {
	own, naive := newHerdBench(false), newHerdBench(true)
	own.run()
	naive.run()
	r.atMost("herd/own", "worstOfMean", own.ratioSum/float64(own.samples), maxLoadOverMean)
	r.atMost("herd/own", "worstOfMeanAtAnyTime", own.worstRatio, maxLoadOverMean)
	r.info("herd/leastReported", "worstOfMean", naive.ratioSum/float64(naive.samples))
}
