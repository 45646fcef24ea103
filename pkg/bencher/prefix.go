package bencher

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/router"
)

const (
	prefixSeed      = 15
	prefixEndpoints = 12
	prefixAccounts  = 96
	prefixBlocks    = 40
	uniqueBlocks    = 6
	// prefixRate is the number of requests a second.
	prefixRate        = 40.0
	prefixDuration    = 4 * time.Minute
	prefixCacheBlocks = 600
	// eventDelay and eventLossOneIn apply to mode affinityDelayed: events arrive late, and one in this many is lost.
	eventDelay     = 5 * time.Second
	eventLossOneIn = 3
	// minShareOfSaving bounds what delayed events save, relative to immediate ones.
	minShareOfSaving = 0.9
)

// prefixMode selects how a run routes, and when the router receives cache events.
type prefixMode int

const (
	roundRobin prefixMode = iota
	affinityImmediate
	affinityDelayed
)

// prefixBench sends requests with shared prompt prefixes to engines with small prefix caches.
type prefixBench struct {
	clock   *clock
	random  *rand.Rand
	router  *router.Router
	engines []*engine
	mode    prefixMode
	turn    int
	number  int
	events  int
	tokens  int
}

func endpointName(i int) string { return fmt.Sprintf("engine-%02d", i) }

func newPrefixBench(mode prefixMode) *prefixBench {
	b := &prefixBench{clock: newClock(), random: rand.New(rand.NewPCG(prefixSeed, prefixSeed)), mode: mode}
	b.router = router.New(rand.New(rand.NewPCG(prefixSeed, 1)))
	conf := router.Configured{Region: "syd", AvailabilityZone: "syd-a"}
	t := engineTiming()
	t.CacheBlocks = prefixCacheBlocks
	for i := range prefixEndpoints {
		e := newEngine(b.clock, t)
		e.onEnd = func(*request) { b.router.Handle(b.clock.now, router.Ended{Endpoint: endpointName(i)}) }
		b.engines = append(b.engines, e)
		conf.Endpoints = append(conf.Endpoints, router.Endpoint{
			Name: endpointName(i), Region: "syd", AvailabilityZone: "syd-a", Serves: []string{"m"}, Slots: engineSlots,
		})
	}
	b.router.Handle(b.clock.now, conf)
	return b
}

// promptBlocks returns the blocks of a prompt: the prefix that the account's requests share, then unique blocks.
func (b *prefixBench) promptBlocks(account int) []uint64 {
	blocks := make([]uint64, 0, prefixBlocks+uniqueBlocks)
	for i := range prefixBlocks {
		blocks = append(blocks, uint64(account)<<32|uint64(i)|1<<63)
	}
	for range uniqueBlocks {
		blocks = append(blocks, b.random.Uint64())
	}
	return blocks
}

func (b *prefixBench) send() {
	b.number++
	// Low numbers are drawn more often, so that some accounts send more requests than others.
	account := int(float64(prefixAccounts) * b.random.Float64() * b.random.Float64())
	blocks := b.promptBlocks(account)
	prompt := len(blocks) * engineTiming().BlockTokens
	b.tokens += prompt
	to := b.choose(blocks)
	r := newRequest(fmt.Sprintf("r%d", b.number), fmt.Sprint(account), prompt, 20+b.random.IntN(40), blocks)
	r.arrivedAt = b.clock.now
	b.router.Handle(b.clock.now, router.Sent{Endpoint: endpointName(to)})
	b.engines[to].add(r)
	b.publish(to, blocks)
}

func (b *prefixBench) choose(blocks []uint64) int {
	if b.mode == roundRobin {
		b.turn++
		return b.turn % prefixEndpoints
	}
	out := b.router.Handle(b.clock.now, router.Route{Serves: "m", Blocks: blocks})
	name := out[0].(router.Candidates).Endpoints[0]
	to := 0
	_, _ = fmt.Sscanf(name, "engine-%d", &to)
	return to
}

// publish passes the engine's cache event to the router: at once, or after eventDelay with one event in
// eventLossOneIn lost.
func (b *prefixBench) publish(to int, blocks []uint64) {
	b.events++
	seen := router.BlocksCached{Endpoint: endpointName(to), Blocks: blocks}
	switch {
	case b.mode == affinityImmediate:
		b.router.Handle(b.clock.now, seen)
	case b.mode == affinityDelayed && b.events%eventLossOneIn != 0:
		b.clock.after(eventDelay, func() { b.router.Handle(b.clock.now, seen) })
	}
}

// saved returns the share of all prompt tokens that needed no prefill.
func (b *prefixBench) saved() float64 {
	prefilled := 0
	for _, e := range b.engines {
		prefilled += e.model.PrefilledTokens
	}
	return 1 - float64(prefilled)/float64(b.tokens)
}

// runPrefixMode returns the share of prompt tokens saved and the largest number of requests that one engine ran at once.
func runPrefixMode(mode prefixMode) (saved float64, maxRunning int) {
	b := newPrefixBench(mode)
	var arrive func()
	arrive = func() {
		b.send()
		for _, e := range b.engines {
			maxRunning = max(maxRunning, len(e.active))
		}
		wait := time.Duration(b.random.ExpFloat64() / prefixRate * float64(time.Second))
		b.clock.after(wait, arrive)
	}
	b.clock.after(0, arrive)
	b.clock.run(epoch.Add(prefixDuration))
	return b.saved(), maxRunning
}

// runPrefix is scenario prefix: requests with long shared prefixes on engines with small prefix caches.
func runPrefix(r *report) {
	robin, robinMaxRunning := runPrefixMode(roundRobin)
	immediate, immediateMaxRunning := runPrefixMode(affinityImmediate)
	delayed, delayedMaxRunning := runPrefixMode(affinityDelayed)
	r.info("prefix/roundRobin", "savedOfPrefill", robin)
	r.info("prefix/roundRobin", "mostRunning", float64(robinMaxRunning))
	r.atLeast("prefix/affinity", "savedOfPrefill", immediate, robin)
	r.info("prefix/affinity", "mostRunning", float64(immediateMaxRunning))
	r.atLeast("prefix/lateEvents", "savingOfAffinity", (delayed-robin)/(immediate-robin), minShareOfSaving)
	r.info("prefix/lateEvents", "mostRunning", float64(delayedMaxRunning))
}
