package bencher

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/retrier"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/router"
)

const (
	// lossAnswerTokens is the mean length of an answer in tokens.
	lossAnswerTokens = 64.5
	lossSeed         = 17
	lossEndpoints    = 6
	lossDuration     = 90 * time.Second
	lossAt           = 30 * time.Second
	lossWarmUp       = 15 * time.Second
	lossDeadline     = 10 * time.Second
	// lossSlowness multiplies the step time of the slow endpoint.
	lossSlowness = 4
	// lossUtilisation is the load of scenario loss/halfLost as a share of the capacity of all endpoints.
	lossUtilisation = 0.42
	retryBudget     = 0.1
	maxRetryShare   = 0.10
	// minGoodputRatio bounds the goodput at overloadFactor times the capacity over that at the capacity.
	minGoodputRatio     = 0.95
	connectFailureDelay = 2 * time.Millisecond
	overloadFactor      = 2
)

// lossBench runs one VM's router and retry budget in front of several endpoints, each with its slot allocator.
type lossBench struct {
	clock      *clock
	random     *rand.Rand
	router     *router.Router
	budget     *retrier.Budget
	engines    []*engine
	admissions []*allocatorAdmission
	isLost     []bool
	endpointOf map[*request]int
	// tried lists the endpoints that a request was sent to.
	tried   map[*request][]string
	number  int
	offered int
	retries int
	// inTime counts the requests completed after measureFrom and within lossDeadline of their arrival.
	inTime      int
	measureFrom time.Time
}

func newLossBench() *lossBench {
	b := &lossBench{
		clock: newClock(), random: rand.New(rand.NewPCG(lossSeed, lossSeed)),
		router: router.New(rand.New(rand.NewPCG(lossSeed, 1))), budget: retrier.NewBudget(retryBudget),
		isLost: make([]bool, lossEndpoints), endpointOf: map[*request]int{}, tried: map[*request][]string{},
		measureFrom: epoch.Add(lossWarmUp),
	}
	conf := router.Configured{Region: "syd", AvailabilityZone: "syd-a"}
	for i := range lossEndpoints {
		e := newEngine(b.clock, engineTiming())
		e.onEnd = b.end
		a := newAllocatorAdmission(b.clock, e, tailFirst())
		a.onRefuse = func(r *request, _ time.Duration) { b.refused(r) }
		b.engines, b.admissions = append(b.engines, e), append(b.admissions, a)
		conf.Endpoints = append(conf.Endpoints, router.Endpoint{
			Name: endpointName(i), Region: "syd", AvailabilityZone: "syd-a", Serves: []string{"m"}, Slots: engineSlots,
		})
	}
	b.router.Handle(b.clock.now, conf)
	return b
}

func (b *lossBench) send() {
	b.offered++
	b.number++
	b.budget.AddRequest()
	r := newRequest(fmt.Sprintf("r%d", b.number), "office", 100, 30+b.random.IntN(70), nil)
	r.arrivedAt = b.clock.now
	// As the dispatcher does, subtract the time that the answer itself takes from the deadline for getting a slot.
	r.deadline = b.clock.now.Add(lossDeadline - time.Duration(r.seq.WantTokens)*tokenGapTarget)
	b.try(r)
}

// try makes one attempt, at the first candidate. A refusal by the slot allocator of that endpoint ends the request, as if
// the allocators of all endpoints had refused it.
func (b *lossBench) try(r *request) {
	out := b.router.Handle(b.clock.now, router.Route{Serves: "m", Exclude: b.tried[r]})
	names := out[0].(router.Candidates).Endpoints
	if len(names) == 0 {
		return
	}
	to := 0
	_, _ = fmt.Sscanf(names[0], "engine-%d", &to)
	b.endpointOf[r] = to
	b.tried[r] = append(b.tried[r], names[0])
	b.router.Handle(b.clock.now, router.Sent{Endpoint: names[0]})
	if b.isLost[to] {
		b.clock.after(connectFailureDelay, func() { b.failed(r) })
		return
	}
	r.seq.GeneratedTokens, r.firstAt = 0, time.Time{}
	b.admissions[to].arrive(r)
}

// release reports to the router that the request has left its endpoint.
func (b *lossBench) release(r *request, isFailed bool) {
	b.router.Handle(b.clock.now, router.Ended{Endpoint: endpointName(b.endpointOf[r]), IsFailed: isFailed})
}

func (b *lossBench) refused(r *request) { b.release(r, false) }

func (b *lossBench) failed(r *request) {
	b.release(r, true)
	if !b.budget.Take() {
		return
	}
	b.retries++
	b.try(r)
}

func (b *lossBench) end(r *request) {
	b.admissions[b.endpointOf[r]].ended(r)
	b.release(r, false)
	if b.clock.now.After(b.measureFrom) && b.clock.now.Before(r.arrivedAt.Add(lossDeadline)) {
		b.inTime++
	}
	delete(b.endpointOf, r)
	delete(b.tried, r)
}

// lose makes the first n endpoints fail at once: running requests fail, queued ones are refused at their deadline, and
// later ones can't connect.
func (b *lossBench) lose(n int) {
	for i := range n {
		b.isLost[i] = true
		running := slices.Collect(maps.Values(b.engines[i].active))
		slices.SortFunc(running, func(x, y *request) int { return strings.Compare(x.id, y.id) })
		for _, r := range running {
			b.engines[i].remove(r)
			b.failed(r)
		}
	}
}

func (b *lossBench) run(perSecond float64) float64 {
	var arrive func()
	arrive = func() {
		b.send()
		b.clock.after(time.Duration(b.random.ExpFloat64()/perSecond*float64(time.Second)), arrive)
	}
	b.clock.after(0, arrive)
	b.clock.run(epoch.Add(lossDuration))
	return float64(b.inTime) / (lossDuration - lossWarmUp).Seconds()
}

// lossCapacity returns the requests a second that all endpoints complete together at full load.
func lossCapacity() float64 {
	perRequest := lossAnswerTokens * (engineTiming().StepBase + engineSlots*engineTiming().StepPerSequence).Seconds()
	return lossEndpoints * engineSlots / perRequest
}

// runLoss is scenario loss: half of the endpoints fail at once while another is slow; and a load of twice the capacity.
func runLoss(r *report) {
	capacity := lossCapacity()
	b := newLossBench()
	b.engines[lossEndpoints-1].slowness = lossSlowness
	b.clock.at(epoch.Add(lossAt), func() { b.lose(lossEndpoints / 2) })
	goodput := b.run(capacity * lossUtilisation)
	r.atMost("loss/halfLost", "retriesOfOffered", float64(b.retries)/float64(b.offered), maxRetryShare)
	r.info("loss/halfLost", "retries", float64(b.retries))
	r.info("loss/halfLost", "goodputOfOffered", goodput/(capacity*lossUtilisation))
	atCapacity := newLossBench().run(capacity)
	twice := newLossBench().run(capacity * overloadFactor)
	r.info("loss/overload", "goodputAtCapacity", atCapacity)
	r.atLeast("loss/overload", "goodputAtTwiceOfCapacity", twice/atCapacity, minGoodputRatio)
}
