package bencher

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/allocator"
)

const (
	histogramMax    = 30 * time.Minute
	histogramDigits = 3
	// batchBacklog is the number of batch items that wait or run at any time.
	batchBacklog = 3 * engineSlots
)

// latencies holds the first-token times and token gaps of online requests.
type latencies struct {
	first, gap *hdrhistogram.Histogram
}

func newLatencies() latencies {
	return latencies{
		first: hdrhistogram.New(1, histogramMax.Microseconds(), histogramDigits),
		gap:   hdrhistogram.New(1, histogramMax.Microseconds(), histogramDigits),
	}
}

func (l latencies) record(isFirst bool, d time.Duration) {
	h := l.gap
	if isFirst {
		h = l.first
	}
	_ = h.RecordValue(min(d, histogramMax).Microseconds())
}

// quantile returns the q-th percentile in milliseconds.
func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// policyKind selects an implementation of admission.
type policyKind int

const (
	ownPolicy policyKind = iota
	fifoPolicy
	splitPolicy
)

func (k policyKind) String() string {
	return [...]string{"own", "fifo", "split"}[k]
}

// bench runs one engine with one admission and its load.
type bench struct {
	clock     *clock
	random    *rand.Rand
	engine    *engine
	admission admission
	// own is the admission if it is the daemon's own policy, else nil.
	own       *allocatorAdmission
	online    latencies
	byAccount map[string]latencies
	number    int

	// hasBatch makes each ended batch item be replaced by a new one.
	hasBatch      bool
	batchTokens   int
	onlineTokens  int
	refusedOnline int
	// measureFrom: online requests that arrive earlier are left out of the latencies.
	measureFrom time.Time
	onBatchEnd  func(*request)
}

func newBench(kind policyKind, p allocator.Policy, seed uint64) *bench {
	c := newClock()
	b := &bench{
		clock: c, random: rand.New(rand.NewPCG(seed, seed)), engine: newEngine(c, engineTiming()),
		online: newLatencies(), byAccount: map[string]latencies{}, measureFrom: epoch,
	}
	switch kind {
	case ownPolicy:
		b.own = newAllocatorAdmission(c, b.engine, p)
		b.own.onRefuse = func(*request, time.Duration) { b.refusedOnline++ }
		b.admission = b.own
	case fifoPolicy:
		b.admission = &fifoAdmission{engine: b.engine, slots: p.Slots}
	case splitPolicy:
		b.admission = newSplitAdmission(b.engine, p.Slots)
	}
	b.engine.onToken = b.token
	b.engine.onEnd = b.end
	return b
}

func (b *bench) token(r *request, isFirst bool, gap time.Duration) {
	if r.isBatch {
		b.batchTokens++
		return
	}
	b.onlineTokens++
	if r.arrivedAt.Before(b.measureFrom) {
		return
	}
	b.online.record(isFirst, gap)
	if _, ok := b.byAccount[r.account]; !ok {
		b.byAccount[r.account] = newLatencies()
	}
	b.byAccount[r.account].record(isFirst, gap)
}

// others merges the latencies of all accounts except one.
func (b *bench) others(except string) latencies {
	all := newLatencies()
	for account, l := range b.byAccount {
		if account != except {
			all.first.Merge(l.first)
			all.gap.Merge(l.gap)
		}
	}
	return all
}

func (b *bench) end(r *request) {
	b.admission.ended(r)
	if r.isBatch {
		if b.onBatchEnd != nil {
			b.onBatchEnd(r)
		}
		if b.hasBatch {
			b.offerBatch()
		}
	}
}

func (b *bench) arrive(r *request) {
	r.arrivedAt = b.clock.now
	b.admission.arrive(r)
}

// sendOnline makes a random online request of the account arrive now.
func (b *bench) sendOnline(account string) {
	b.number++
	prompt := 100 + b.random.IntN(300)
	r := newRequest(fmt.Sprintf("online-%d", b.number), account, prompt, 30+b.random.IntN(70), b.blocks(prompt))
	r.deadline = b.clock.now.Add(20 * time.Second)
	b.arrive(r)
}

// blocks returns the blocks of a prompt that shares none with other requests.
func (b *bench) blocks(tokens int) []uint64 {
	blocks := make([]uint64, tokens/engineTiming().BlockTokens)
	for i := range blocks {
		blocks[i] = b.random.Uint64()
	}
	return blocks
}

// offerBatch makes a random batch item arrive now.
func (b *bench) offerBatch() {
	b.number++
	prompt := 200 + b.random.IntN(200)
	r := newRequest(fmt.Sprintf("batch-%d", b.number), "batch", prompt, 60+b.random.IntN(120), b.blocks(prompt))
	r.isBatch, r.due = true, b.clock.now.Add(6*time.Hour)
	b.arrive(r)
}

// fillBatch keeps batchBacklog batch items waiting or running for the whole run: each that ends is replaced.
func (b *bench) fillBatch() {
	b.hasBatch = true
	for range batchBacklog {
		b.offerBatch()
	}
}

// poisson makes online requests arrive as a Poisson process of rate(elapsed) requests a second until end.
func (b *bench) poisson(account string, end time.Duration, rate func(elapsed time.Duration) float64) {
	if b.clock.now.Sub(epoch) >= end {
		return
	}
	wait := time.Duration(b.random.ExpFloat64() / rate(b.clock.now.Sub(epoch)) * float64(time.Second))
	b.clock.after(wait, func() {
		b.sendOnline(account)
		b.poisson(account, end, rate)
	})
}

func (b *bench) run(d time.Duration) {
	b.clock.run(epoch.Add(d))
}
