package ratelimiter

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// scenario is a load over virtual time, as described in testdata/load.yaml.
type scenario struct {
	Name     string        `yaml:"name"`
	VMs      int           `yaml:"vms"`
	Accounts int           `yaml:"accounts"`
	PerVM    float64       `yaml:"perVm"`
	Duration time.Duration `yaml:"duration"`
	// Loss is the share of datagrams that are lost, Repeat the share that arrive twice, and Late the share that are delayed by up
	// to 100 ms.
	Loss   float64 `yaml:"loss"`
	Repeat float64 `yaml:"repeat"`
	Late   float64 `yaml:"late"`
	// Flood makes one account send Flood times its load, for FloodTime, in each slot.
	Flood     float64       `yaml:"flood"`
	FloodTime time.Duration `yaml:"floodTime"`
	// Failures happen one in each slot, at the VMs that the flooded account uses.
	Failures []string `yaml:"failures"`
	Seeds    []uint64 `yaml:"seeds"`
}

const slotTime = 15 * time.Second

var loadConfig = Config{Incarnation: 1, Window: 5 * time.Second, Overage: 0.1, Slack: 20}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || (e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { old := *e; x := old[len(old)-1]; *e = old[:len(old)-1]; return x }

// vm is a VM of the simulation, with its own view of the other ones.
type vm struct {
	name        string
	region      int
	isDown      bool
	frozenUntil time.Time
	life        int
	part        int
	lost        map[string]bool
	steadySince time.Time
	isConnected bool
	sharer      *Sharer
	coordinator *Coordinator
	rates       map[string]Account
	versions    map[string]int
	fixed       map[string]*bucket
}

// bucket is a token bucket: the reference of what an account may send, and the baseline's part at one VM.
type bucket struct {
	level, rate, capacity float64
	at                    time.Time
}

func (b *bucket) refill(now time.Time) {
	b.level = min(b.level+now.Sub(b.at).Seconds()*b.rate, b.capacity)
	b.at = now
}

func (b *bucket) take(now time.Time) bool {
	b.refill(now)
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// tally is what one account sent and got.
type tally struct {
	account   Account
	mean      float64
	version   int
	isFlooded bool
	pinned    bool
	reference bucket
	may       int
	admitted  int
	refused   int
	// demand is the reference without refusals, so that its level is negative while the account sends more than its rate and
	// burst; belowRate counts the refused first attempts while it isn't.
	demand     bucket
	belowRate  int
	immediate  int
	waits      []time.Duration
	window     []time.Time
	worst      float64
	fixed      int
	fixedWin   []time.Time
	fixedWorst float64
	// limits are the bounds that were in force, with the time until which each was.
	limits []limit
}

type limit struct {
	bound float64
	until time.Time
}

type request struct {
	tally   *tally
	at      time.Time
	isRetry bool
	isBelow bool
	isMay   bool
}

type world struct {
	t       *testing.T
	s       scenario
	now     time.Time
	start   time.Time
	queue   events
	seq     int
	random  *rand.Rand
	vms     []*vm
	byName  map[string]*vm
	names   []string
	tallies []*tally
	hot     *tally
	pending map[string]map[uint64]request
	lastID  uint64
	ranks   map[string][]string
	sent    int
	metered int
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now.Add(d), w.seq, do})
}

func (w *world) upTo(d time.Duration) time.Duration { return time.Duration(w.random.Int64N(int64(d))) }

func (w *world) between(low, high time.Duration) time.Duration { return low + w.upTo(high-low) }

func boundOf(a Account) float64 {
	return (a.Rate*loadConfig.Window.Seconds()+a.Burst)*(1+loadConfig.Overage) + loadConfig.Slack
}

func newWorld(t *testing.T, s scenario, seed uint64) *world {
	w := &world{
		t: t, s: s, start: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(seed, 7)), byName: map[string]*vm{},
		pending: map[string]map[uint64]request{}, ranks: map[string][]string{},
	}
	w.now = w.start
	sum := 0.0
	for i := range s.Accounts {
		sum += math.Pow(float64(i+1), -1.2)
	}
	for i := range s.Accounts {
		mean := s.PerVM * float64(s.VMs) * math.Pow(float64(i+1), -1.2) / sum
		a := Account{Name: fmt.Sprintf("a%d", i), Rate: 1.6 * mean, Burst: 1.6 * mean}
		w.tallies = append(w.tallies, &tally{
			account: a, mean: mean, pinned: i%4 == 3,
			reference: bucket{level: max(a.Burst, 1), rate: a.Rate, capacity: max(a.Burst, 1), at: w.now},
			demand:    bucket{level: max(a.Burst, 1), rate: a.Rate, capacity: max(a.Burst, 1), at: w.now},
			limits:    []limit{{boundOf(a), w.start.Add(time.Hour)}},
		})
	}
	for i := range s.VMs {
		v := &vm{name: fmt.Sprintf("v%d", i), region: i % 2, lost: map[string]bool{}, fixed: map[string]*bucket{}}
		v.rates, v.versions = map[string]Account{}, map[string]int{}
		for _, y := range w.tallies {
			v.rates[y.account.Name] = y.account
			c := max(loadConfig.capacity(y.account)/float64(s.VMs), 1)
			v.fixed[y.account.Name] = &bucket{level: c, rate: y.account.Rate / float64(s.VMs), capacity: c, at: w.now}
		}
		w.vms = append(w.vms, v)
		w.byName[v.name] = v
		w.names = append(w.names, v.name)
	}
	for _, y := range w.tallies {
		w.ranks[y.account.Name] = Rank(y.account.Name, w.names)
	}
	for _, v := range w.vms {
		w.boot(v)
		// The fleet has been running for a while.
		v.isConnected, v.steadySince = true, w.start.Add(-time.Minute)
		v.life++
		w.after(w.upTo(TickTime), func() { w.tick(v) })
	}
	return w
}

// boot starts a process of the VM; it knows the other VMs a moment later.
func (w *world) boot(v *vm) {
	v.life++
	cfg := loadConfig
	cfg.VM, cfg.Incarnation = v.name, int64(v.life)
	v.sharer, v.coordinator = NewSharer(cfg), NewCoordinator(cfg)
	v.isDown, v.isConnected, v.steadySince = false, false, w.now
	w.pending[v.name] = map[uint64]request{}
	life := v.life
	w.after(w.between(300*time.Millisecond, 700*time.Millisecond), func() {
		if v.life == life {
			v.isConnected, v.steadySince = v.part == 0, w.now
		}
	})
}

func (w *world) tick(v *vm) {
	w.at(v, func() { v.coordinator.Tick(w.now, v.isConnected) })
	w.after(TickTime, func() { w.tick(v) })
}

// at runs the function at the VM: later if it is frozen, never if it is down.
func (w *world) at(v *vm, do func()) {
	switch {
	case v.isDown:
	case w.now.Before(v.frozenUntil):
		life := v.life
		w.after(v.frozenUntil.Sub(w.now), func() {
			if v.life == life && !v.isDown {
				do()
			}
		})
	default:
		do()
	}
}

func (w *world) peers(v *vm, account string) Peers {
	p := Peers{IsConnected: v.isConnected, SteadySince: v.steadySince, Count: w.s.VMs}
	for _, name := range w.ranks[account] {
		switch {
		case len(p.Coordinators) == 4:
			return p
		case v.lost[name]:
			p.Former = append(p.Former, name)
		default:
			p.Coordinators = append(p.Coordinators, name)
		}
	}
	return p
}

// send delivers a message from one VM to another one, unless it is lost.
func (w *world) send(from, to *vm, do func()) {
	delay := w.between(200*time.Microsecond, 3*time.Millisecond)
	if from == to {
		w.after(0, func() { w.at(to, do) })
		return
	}
	w.sent++
	if from.part != to.part || w.random.Float64() < w.s.Loss {
		return
	}
	delay += 500 * time.Microsecond
	if from.region != to.region {
		delay += 19500 * time.Microsecond
	}
	if w.random.Float64() < w.s.Late {
		delay += w.upTo(100 * time.Millisecond)
	}
	w.after(delay, func() { w.at(to, do) })
	if w.random.Float64() < w.s.Repeat {
		w.after(delay+w.upTo(50*time.Millisecond), func() { w.at(to, do) })
	}
}

func (w *world) toSharer(v *vm, in SharerInput) {
	for _, out := range v.sharer.Handle(w.now, in) {
		switch out := out.(type) {
		case Admitted:
			w.finish(v, out.ID, true, 0)
		case Refused:
			w.finish(v, out.ID, false, out.RetryAfter)
		case Ask:
			to := w.byName[out.To]
			w.send(v, to, func() {
				w.toCoordinator(to, Asked{Question: out.Question, Peers: w.peers(to, out.Question.Account.Name)})
			})
		}
	}
	if at, ok := v.sharer.NextWake().Get(); ok {
		sharer := v.sharer
		w.after(max(at.Sub(w.now), 0), func() {
			w.at(v, func() {
				if next, ok := v.sharer.NextWake().Get(); ok && v.sharer == sharer && !next.After(w.now) {
					w.toSharer(v, Woken{})
				}
			})
		})
	}
}

func (w *world) toCoordinator(v *vm, in CoordinatorInput) {
	for _, out := range v.coordinator.Handle(w.now, in) {
		switch out := out.(type) {
		case Reply:
			to := w.byName[out.To]
			w.send(v, to, func() { w.toSharer(to, Answered{VM: v.name, Answer: out.Answer}) })
		case NotifyMetering:
			for _, to := range w.vms {
				if !v.lost[to.name] {
					w.send(v, to, func() { w.toSharer(to, MeteringNotified(out)) })
				}
			}
		case Claim:
			to := w.byName[out.To]
			w.send(v, to, func() {
				w.toCoordinator(to, Claimed{
					VM: v.name, Account: out.Account, Number: out.Number, Peers: w.peers(to, out.Account),
				})
			})
		case Contest:
			to := w.byName[out.To]
			w.send(v, to, func() { w.toCoordinator(to, Contested{VM: v.name, Account: out.Account}) })
		case Yield:
			to := w.byName[out.To]
			w.send(v, to, func() {
				w.toCoordinator(to, Yielded{VM: v.name, Account: out.Account, Number: out.Number, Level: out.Level})
			})
		case MeteringChanged:
			w.metered++
		}
	}
}

// load returns the account's rate of requests now.
func (w *world) load(y *tally) float64 {
	phase := w.now.Sub(w.start) % (5200 * time.Millisecond)
	swing := 0.38
	if phase >= 3*time.Second {
		swing = 1.85
	}
	if w.hot == y {
		return y.mean * max(swing, 1) * w.s.Flood
	}
	return y.mean * swing
}

// runAccount sends the account's requests: Poisson arrivals at the highest rate, thinned out.
func (w *world) runAccount(y *tally) {
	highest := y.mean * 1.85 * max(w.s.Flood, 1)
	w.after(time.Duration(w.random.ExpFloat64()/highest*float64(time.Second)), func() {
		if w.now.Sub(w.start) > w.s.Duration {
			return
		}
		if w.random.Float64() < w.load(y)/highest {
			w.arrive(request{tally: y, at: w.now})
		}
		w.runAccount(y)
	})
}

func (w *world) arrive(r request) {
	v := w.vms[w.random.IntN(len(w.vms))]
	if r.tally.pinned {
		i := slices.Index(w.names, w.ranks[r.tally.account.Name][len(w.names)/2])
		for w.vms[i].isDown && i+1 < len(w.vms) {
			i++
		}
		v = w.vms[i]
	}
	w.at(v, func() { w.offer(v, r) })
}

func (w *world) offer(v *vm, r request) {
	y := r.tally
	// What the only VM of an account gets while it is cut off can't be admitted: others may admit the whole rate meanwhile.
	isLost := y.pinned && v.part != 0
	if !r.isRetry && y.account.Rate > 0 && !isLost {
		r.isMay = y.reference.take(w.now)
		y.demand.refill(w.now)
		y.demand.level--
		r.isBelow = y.demand.level >= 0
		if r.isMay {
			y.may++
		}
		if v.fixed[y.account.Name].take(w.now) {
			y.fixed++
			y.fixedWin, y.fixedWorst = slide(y.fixedWin, w.now, y.fixedWorst, boundOf(y.account))
		}
	}
	r.at = w.now
	w.lastID++
	w.pending[v.name][w.lastID] = r
	w.toSharer(v, Requested{ID: w.lastID, Account: v.rates[y.account.Name], Peers: w.peers(v, y.account.Name)})
}

// slide adds an admission to the window and returns the highest share of the bound so far.
func slide(window []time.Time, now time.Time, worst, bound float64) ([]time.Time, float64) {
	window = append(window, now)
	for now.Sub(window[0]) >= loadConfig.Window {
		window = window[1:]
	}
	return window, max(worst, float64(len(window))/bound)
}

func (w *world) finish(v *vm, id uint64, isAdmitted bool, retryAfter time.Duration) {
	r, ok := w.pending[v.name][id]
	require.True(w.t, ok, "a request is decided once")
	delete(w.pending[v.name], id)
	y := r.tally
	if !isAdmitted {
		y.refused++
		if r.isBelow {
			y.belowRate++
		}
		if !r.isRetry && retryAfter <= 1600*time.Millisecond {
			w.after(retryAfter, func() { w.arrive(request{tally: y, isRetry: true}) })
		}
		return
	}
	y.admitted++
	if wait := w.now.Sub(r.at); wait > 0 {
		y.waits = append(y.waits, wait)
	} else {
		y.immediate++
	}
	bound := 0.0
	for _, l := range y.limits {
		if !l.until.Before(w.now.Add(-loadConfig.Window)) {
			bound = max(bound, l.bound)
		}
	}
	y.window, y.worst = slide(y.window, w.now, y.worst, bound)
}

func (w *world) run() {
	for _, y := range w.tallies {
		w.runAccount(y)
	}
	for i, kind := range w.s.Failures {
		at := time.Duration(i)*slotTime + 4*time.Second + w.upTo(2*time.Second)
		w.after(at, func() {
			// The accounts with the most load are flooded more often, but none twice.
			for w.hot == nil || w.hot.isFlooded {
				w.hot = w.tallies[int(float64(len(w.tallies))*math.Pow(w.random.Float64(), 3))]
			}
			w.hot.isFlooded = true
		})
		w.after(at+2*time.Second, func() { w.fail(kind) })
		w.after(at+w.s.FloodTime, func() { w.hot = nil })
	}
	for len(w.queue) > 0 && w.queue[0].at.Sub(w.start) < w.s.Duration+slotTime {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
}

// check reports what the accounts got, and fails if one got too much, or too little.
func (w *world) check(seed uint64) {
	var may, admitted, refused, below, immediate, fixed int
	var waits []time.Duration
	worst, fixedWorst, least, fixedLeast := 0.0, 0.0, math.Inf(1), math.Inf(1)
	for _, y := range w.tallies {
		may, admitted, refused, below = may+y.may, admitted+y.admitted, refused+y.refused, below+y.belowRate
		immediate, fixed = immediate+y.immediate, fixed+y.fixed
		waits = append(waits, y.waits...)
		worst, fixedWorst = max(worst, y.worst), max(fixedWorst, y.fixedWorst)
		least = min(least, float64(y.admitted)/float64(y.may))
		fixedLeast = min(fixedLeast, float64(y.fixed)/float64(y.may))
		assert.LessOrEqual(w.t, y.worst, 1.0, "seed %d: account %s: admissions in a window, as a share of the bound", seed,
			y.account.Name)
		assert.GreaterOrEqual(w.t, y.admitted, int(0.97*float64(y.may)), "seed %d: account %s may send %d", seed,
			y.account.Name, y.may)
	}
	slices.SortFunc(waits, cmp.Compare[time.Duration])
	waits = append(waits, 0)
	w.t.Logf("seed %d: may %d, admitted %d (least %.3f), refused %d (below the rate %d), worst window %.3f, immediate %.3f, "+
		"waits p50 %v p99 %v, messages %.0f/s, metered or open %d times; fixed parts: admitted %d (least %.3f), worst window %.3f",
		seed, may, admitted, least, refused, below, worst, float64(immediate)/float64(max(admitted, 1)),
		waits[len(waits)/2].Round(time.Millisecond), waits[len(waits)*99/100].Round(time.Millisecond),
		float64(w.sent)/w.s.Duration.Seconds(), w.metered, fixed, fixedLeast, fixedWorst)
	if len(w.s.Failures) == 0 {
		assert.Zero(w.t, below, "seed %d: in calm, no request below the rate is refused", seed)
		assert.Less(w.t, fixedLeast, 0.97, "the load tells the design from fixed parts of the rate")
	}
}

// TestLoad guards against more admissions than the bound in any window, fewer than 0.97 of what an account may send, and refusals
// in calm, under the loads and failures of testdata/load.yaml.
func TestLoad(t *testing.T) {
	text, err := os.ReadFile("testdata/load.yaml")
	require.NoError(t, err)
	var list []scenario
	require.NoError(t, yaml.Unmarshal(text, &list))
	for _, s := range list {
		t.Run(s.Name, func(t *testing.T) {
			for _, seed := range s.Seeds {
				w := newWorld(t, s, seed)
				w.run()
				w.check(seed)
			}
		})
	}
}
