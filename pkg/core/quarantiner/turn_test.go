package quarantiner

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/internal/scripter"
)

const (
	// usualRowDelay is how long after a VM's row the others know it, and probeTime how long after a probe began its end is known.
	usualRowDelay = 300 * time.Millisecond
	probeTime     = time.Second
	modelStep     = 10 * time.Millisecond
)

// fleet is a model in virtual time of VMs that quarantined one part by three strikes, and to which requests with it come.
type fleet struct {
	source *rand.Rand
	vms    []*Quarantiner
	// ranks holds the rank of each VM for the part; isCut those whose requests don't reach it.
	ranks []int
	isCut map[int]bool
	now   time.Time
	due   time.Time
	// isCrashing says that the part is the cause.
	isCrashing bool
	rowDelay   time.Duration
	later      map[time.Time][]func()
	probes     []time.Time
	// onRequest has a request come to a VM.
	onRequest func(vm int)
}

func newModel(vms int, seed uint64) *fleet {
	f := &fleet{
		source: rand.New(rand.NewPCG(seed, 0)), now: scripter.Epoch, due: scripter.Epoch.Add(firstProbe),
		isCut: map[int]bool{}, rowDelay: usualRowDelay, later: map[time.Time][]func(){},
	}
	f.ranks = f.source.Perm(vms)
	f.onRequest = f.request
	for range vms {
		q := New()
		for n := range 3 {
			q.Add(f.now, Strike{Part: "p", Endpoint: fmt.Sprint(n), At: f.now})
		}
		f.vms = append(f.vms, q)
	}
	return f
}

// after has all VMs do something: the one given after the time, the others when they know its row.
func (f *fleet) after(d time.Duration, first int, do func(q *Quarantiner)) {
	f.at(d, func() { do(f.vms[first]) })
	f.at(d+f.rowDelay, func() {
		for n, q := range f.vms {
			if n != first {
				do(q)
			}
		}
	})
}

func (f *fleet) at(d time.Duration, do func()) {
	at := f.now.Add(d)
	f.later[at] = append(f.later[at], do)
}

// request has a request with the part come to the VM.
func (f *fleet) request(vm int) {
	q := f.vms[vm]
	v := q.Check(f.now, []string{"p"})
	if v.Part == "" || f.isCut[vm] || !v.IsProbeDue {
		return
	}
	if !HasTurn(v.Part, v.Turn, f.ranks[vm], len(f.vms)) || !q.BeginProbe(f.now, "p") {
		return
	}
	at, endpoint := f.now, fmt.Sprint("probed ", len(f.probes))
	f.probes = append(f.probes, at)
	f.after(0, vm, func(q *Quarantiner) { q.Probed(f.now, "p", at) })
	end := at.Add(probeTime)
	f.after(probeTime, vm, func(q *Quarantiner) {
		if f.isCrashing {
			q.Add(f.now, Strike{Part: "p", Endpoint: endpoint, At: end})
		} else {
			q.Refute(f.now, "p", end)
		}
	})
}

// run lets the time pass; requests come at random times at the rate a second, each burst to VMs that pick returns.
func (f *fleet) run(d time.Duration, rate float64, burst int, pick func() int) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(modelStep) {
		for _, do := range f.later[f.now] {
			do()
		}
		delete(f.later, f.now)
		if f.source.Float64() < rate*modelStep.Seconds() {
			for range burst {
				f.onRequest(pick())
			}
		}
	}
}

func (f *fleet) anyVM() int { return f.source.IntN(len(f.vms)) }

// TestSoundPartIsProbedSoon lets requests with a part that was quarantined wrongly come in several ways, and measures the time
// from when its probe is due until one is sent, and the probes that begin before the end of the first one is known.
func TestSoundPartIsProbedSoon(t *testing.T) {
	const runs = 300
	for _, tt := range []struct {
		name  string
		vms   int
		rate  float64
		burst int
		// isOneVM says that all requests come to one VM, and isDutyCut that none reach the VM of rank 0.
		isOneVM, isDutyCut bool
		rowDelay           time.Duration
		// median and p95 bound the time, meanMore the mean number of further probes.
		median, p95 time.Duration
		meanMore    float64
	}{
		{name: "195 VMs", vms: 195, rate: 1.5, burst: 1, median: 8 * time.Second, p95: 20 * time.Second, meanMore: 0.1},
		{
			name: "195 VMs, VM of rank 0 cut off", vms: 195, rate: 1.5, burst: 1, isDutyCut: true, median: 8 * time.Second,
			p95: 20 * time.Second, meanMore: 0.1,
		},
		{
			name: "195 VMs, rows after a second", vms: 195, rate: 1.5, burst: 1, rowDelay: time.Second, median: 8 * time.Second,
			p95: 20 * time.Second, meanMore: 0.3,
		},
		{name: "195 VMs, many requests", vms: 195, rate: 40, burst: 1, median: 2 * time.Second, p95: 3 * time.Second, meanMore: 0.5},
		{name: "195 VMs, one gets all", vms: 195, rate: 1.5, burst: 1, isOneVM: true, median: 8 * time.Second, p95: 20 * time.Second},
		{name: "195 VMs, bursts of 8", vms: 195, rate: 0.1, burst: 8, median: 15 * time.Second, p95: 60 * time.Second, meanMore: 1},
		{name: "9 VMs", vms: 9, rate: 1.5, burst: 1, median: 4 * time.Second, p95: 12 * time.Second, meanMore: 0.1},
		{
			name: "9 VMs, VM of rank 0 cut off", vms: 9, rate: 1.5, burst: 1, isDutyCut: true, median: 4 * time.Second,
			p95: 12 * time.Second, meanMore: 0.1,
		},
		{name: "9 VMs, one gets all", vms: 9, rate: 1.5, burst: 1, isOneVM: true, median: 4 * time.Second, p95: 12 * time.Second},
		{name: "3 VMs", vms: 3, rate: 1.5, burst: 1, median: 2 * time.Second, p95: 5 * time.Second, meanMore: 0.25},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var waits []time.Duration
			more, moreLate := 0, 0
			for seed := range uint64(runs) {
				f := newModel(tt.vms, seed)
				if tt.rowDelay > 0 {
					f.rowDelay = tt.rowDelay
				}
				pick := f.anyVM
				if only := f.anyVM(); tt.isOneVM {
					pick = func() int { return only }
				}
				if tt.isDutyCut {
					f.isCut[slices.Index(f.ranks, 0)] = true
				}
				for f.now.Before(f.due.Add(Duration-firstProbe)) && len(f.probes) == 0 {
					f.run(modelStep, tt.rate, tt.burst, pick)
				}
				if len(f.probes) == 0 {
					waits = append(waits, Duration)
					continue
				}
				f.run(probeTime, tt.rate, tt.burst, pick)
				waits = append(waits, f.probes[0].Sub(f.due))
				for _, at := range f.probes[1:] {
					more++
					if at.Sub(f.probes[0]) > f.rowDelay {
						moreLate++
					}
				}
			}
			slices.Sort(waits)
			median, p95, meanMore := waits[runs/2], waits[runs*95/100], float64(more)/runs
			t.Logf("until a probe: median %s, p95 %s, longest %s; further probes %.2f", median, p95, waits[runs-1], meanMore)
			assert.LessOrEqual(t, median, tt.median)
			assert.LessOrEqual(t, p95, tt.p95)
			assert.LessOrEqual(t, meanMore, tt.meanMore, "probes beside the first one")
			assert.Zero(t, moreLate, "probes by VMs that know of the first one")
		})
	}
}

// seldomTest is a case of TestCrashingPartIsProbedSeldom.
type seldomTest struct {
	vms   int
	rate  float64
	burst int
	last  time.Duration
	// before is the number of endpoints that end soon after the quarantine, apart, under items that were sent before it.
	before int
	apart  time.Duration
}

// TestCrashingPartIsProbedSeldom lets requests with the cause come for some time, and counts those that reach endpoints later
// than the users' time to react after the fifth crash: more than three break their rule.
func TestCrashingPartIsProbedSeldom(t *testing.T) {
	for _, tt := range []seldomTest{
		{vms: 195, rate: 1.5, burst: 1, last: time.Minute},
		{vms: 9, rate: 1.5, burst: 1, last: time.Minute},
		{vms: 195, rate: 40, burst: 1, last: time.Minute},
		{vms: 195, rate: 0.1, burst: 8, last: time.Minute},
		{vms: 195, rate: 1.5, burst: 1, last: Duration},
		{vms: 9, rate: 1.5, burst: 1, last: Duration},
		{vms: 195, rate: 40, burst: 1, last: Duration},
		{vms: 195, rate: 1.5, burst: 1, last: Duration, before: 2, apart: 100 * time.Millisecond},
		{vms: 9, rate: 1.5, burst: 1, last: Duration, before: 2, apart: 300 * time.Millisecond},
		{vms: 9, rate: 40, burst: 1, last: Duration, before: 1, apart: 300 * time.Millisecond},
		{vms: 9, rate: 40, burst: 1, last: Duration, before: 6, apart: 100 * time.Millisecond},
	} {
		name := fmt.Sprintf("%d VMs, %g a second in bursts of %d, %s", tt.vms, tt.rate, tt.burst, tt.last)
		if tt.before > 0 {
			name += fmt.Sprintf(", %d before %s apart", tt.before, tt.apart)
		}
		t.Run(name, tt.run)
	}
}

func (tt seldomTest) run(t *testing.T) {
	const (
		runs        = 200
		timeToReact = 4 * time.Second
		fifth       = 5
	)
	counts := map[int]int{}
	for seed := range uint64(runs) {
		f := newModel(tt.vms, seed)
		f.isCrashing = true
		var ends []time.Time
		for range 3 {
			ends = append(ends, f.now)
		}
		for n := range tt.before {
			d := time.Duration(n+1) * tt.apart
			end := f.now.Add(d)
			ends = append(ends, end)
			f.after(d, f.anyVM(), func(q *Quarantiner) {
				q.Add(f.now, Strike{Part: "p", Endpoint: fmt.Sprint("before ", n), Delay: DelaysLater, At: end})
			})
		}
		f.run(tt.last, tt.rate, tt.burst, f.anyVM)
		late := 0
		for _, at := range f.probes {
			ends = append(ends, at.Add(probeTime))
		}
		for _, at := range f.probes {
			if len(ends) >= fifth && at.Sub(ends[fifth-1]) > timeToReact {
				late++
			}
		}
		counts[late]++
	}
	t.Logf("late requests: runs %v", counts)
	for late, n := range counts {
		assert.LessOrEqual(t, late, 3, "in %d of %d runs", n, runs)
	}
}
