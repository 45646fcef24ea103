package surveyor

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/internal/scripter"
)

// ev is an event of the simulation.
type ev struct {
	at time.Time
	f  func(now time.Time)
}
type evs []ev

func (e evs) Len() int           { return len(e) }
func (e evs) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e evs) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *evs) Push(x any)        { *e = append(*e, x.(ev)) }
func (e *evs) Pop() any          { o := *e; x := o[len(o)-1]; *e = o[:len(o)-1]; return x }

// TestOverloadedEndpointsAreNoPartition has endpoints at their limits of connections reset a share of the new ones 1 ms after
// they are established. Others are served, and bytes of open answers come at the interval. Other VMs reach the endpoints.
func TestOverloadedEndpointsAreNoPartition(t *testing.T) {
	for _, rate := range []float64{20, 50, 100, 200, 400} {
		for _, share := range []float64{0.3, 0.6, 0.9} {
			for _, bytesEvery := range []time.Duration{5 * time.Millisecond, 20 * time.Millisecond} {
				random := rand.New(rand.NewPCG(1, 2))
				s := New()
				q := &evs{}
				now, heard := scripter.Epoch, scripter.Epoch
				verdicts := 0
				at := func(d time.Duration, f func(time.Time)) { heap.Push(q, ev{now.Add(d), f}) }
				var wake func(time.Time)
				wake = func(n time.Time) {
					for _, out := range s.Handle(n, Woken{HeardAt: heard, InFlight: 10, Endpoints: 9}) {
						switch o := out.(type) {
						case Changed:
							if o.State.Phase == Partitioned {
								verdicts++
							}
						case Ask:
							at(3*time.Millisecond, func(n time.Time) { s.Handle(n, Answered{HasReached: true}) })
						case Probe:
							for range o.Count {
								e := fmt.Sprint(random.IntN(9))
								at(time.Millisecond, func(n time.Time) { s.Handle(n, Connected{Endpoint: e}); wake(n) })
							}
						}
					}
				}
				var try func(tries int)
				try = func(tries int) {
					if s.LocalShare(now) < random.Float64() {
						return
					}
					e := fmt.Sprint(random.IntN(9))
					at(time.Millisecond, func(n time.Time) {
						s.Handle(n, Connected{Endpoint: e})
						wake(n)
						if random.Float64() < share {
							at(time.Millisecond, func(n time.Time) {
								s.Handle(n, Failed{Endpoint: e})
								wake(n)
								if tries < 2 {
									try(tries + 1)
								}
							})
						}
					})
				}
				var arrive, tick, bytes func(time.Time)
				arrive = func(time.Time) {
					try(0)
					at(time.Duration(random.ExpFloat64()/rate*float64(time.Second)), arrive)
				}
				tick = func(n time.Time) { wake(n); at(100*time.Millisecond, tick) }
				bytes = func(n time.Time) { heard = n; at(time.Duration(random.ExpFloat64()*float64(bytesEvery)), bytes) }
				at(0, arrive)
				at(0, tick)
				at(0, bytes)
				for now.Before(scripter.Epoch.Add(20 * time.Second)) {
					x := heap.Pop(q).(ev)
					now = x.at
					x.f(now)
				}
				assert.Zero(t, verdicts, "%3.0f requests/s, %.0f %% reset, bytes every %s", rate, 100*share, bytesEvery)
			}
		}
	}
}
