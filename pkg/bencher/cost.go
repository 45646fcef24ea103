package bencher

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"strconv"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/allocator"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/hasher"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/limiter"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/router"
	"github.com/dogwoodledge/dogwoodledge/pkg/declarer"
)

const (
	costRounds               = 2000
	maxControlBytesPerSecond = 4096.0
	gossipWarmUp             = 20 * time.Second
	gossipDuration           = 40 * time.Second
	// datagramLossOneIn: one datagram in this many is lost.
	datagramLossOneIn = 50
	// udpHeaderBytes is the size of the IPv4 and UDP headers of a datagram.
	udpHeaderBytes = 28
	// tagBytes is the size of a datagram's authentication tag.
	tagBytes      = 16
	bytesPerMiB   = 1 << 20
	maxStateMiB   = 128.0
	accountsLarge = 1200
	// changesPerDay is the number of changes of the configuration, each of which sends a snapshot to every VM.
	changesPerDay = 650
	// maxActivationSeconds is the users' limit on the time until a configuration is active on every VM.
	maxActivationSeconds = 16.0
	secondsPerDay        = 86_400
)

// fleetSize is a size of the fleet at which costs are measured.
type fleetSize struct {
	name                     string
	vms, endpoints, accounts int
	regions, models          int
}

var (
	sizeToday  = fleetSize{"today", 9, 12, 40, 2, 2}
	sizeToCome = fleetSize{"toCome", 360, 600, accountsLarge, 3, 19}
)

// cost is the mean time, heap bytes and heap allocations of one decision.
type cost struct {
	nanos  float64
	bytes  float64
	allocs float64
}

// measure calls decide costRounds times, after one call to warm up, and returns the mean cost of a call.
func measure(decide func(i int)) cost {
	decide(0)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	startedAt := time.Now()
	for i := range costRounds {
		decide(i)
	}
	took := time.Since(startedAt)
	runtime.ReadMemStats(&after)
	return cost{
		nanos:  float64(took.Nanoseconds()) / costRounds,
		bytes:  float64(after.TotalAlloc-before.TotalAlloc) / costRounds,
		allocs: float64(after.Mallocs-before.Mallocs) / costRounds,
	}
}

// routerAt returns a router configured for a fleet of size s.
func routerAt(s fleetSize) *router.Router {
	r := router.New(rand.New(rand.NewPCG(1, 1)))
	conf := router.Configured{Region: "region-0", AvailabilityZone: "az"}
	for i := range s.endpoints {
		conf.Endpoints = append(conf.Endpoints, router.Endpoint{
			Name: endpointName(i), Region: "region-" + strconv.Itoa(i%s.regions), AvailabilityZone: "az",
			Serves: []string{"model-" + strconv.Itoa(i/s.regions%s.models)}, Slots: engineSlots,
		})
	}
	r.Handle(epoch, conf)
	return r
}

func routeCost(s fleetSize) cost {
	r := routerAt(s)
	random := rand.New(rand.NewPCG(2, 2))
	return measure(func(i int) {
		blocks := []uint64{1, 2, 3, random.Uint64()}
		now := epoch.Add(time.Duration(i) * time.Millisecond)
		r.Handle(now, router.Route{Serves: "model-" + strconv.Itoa(i%s.models), Blocks: blocks})
	})
}

// allocatorCost returns the cost of one request at a slot allocator: ask for a slot, receive it and return it.
func allocatorCost(s fleetSize) cost {
	a := allocator.New()
	a.Handle(epoch, allocator.Configured{Policy: tailFirst()})
	return measure(func(i int) {
		now := epoch.Add(time.Duration(i) * 100 * time.Millisecond)
		id := strconv.Itoa(i)
		a.Handle(now, allocator.Woken{})
		a.Handle(now, allocator.SlotRequested{
			ID: id, VM: "vm-" + strconv.Itoa(i%s.vms), Account: "account-" + strconv.Itoa(i%s.accounts), Tokens: 100,
			Deadline: now.Add(time.Second), HoldUntil: now.Add(time.Minute),
		})
		a.Handle(now, allocator.SlotReleased{ID: id, Report: allocator.Report{Took: time.Second, TokenGap: 30 * time.Millisecond}})
	})
}

func limiterCost(s fleetSize) cost {
	l := limiter.New()
	l.SetFleet(epoch, s.vms, 1)
	limits := limiter.Limits{Requests: 1e6, Tokens: 1e9}
	names := make([]string, s.accounts)
	for i := range names {
		names[i] = "account-" + strconv.Itoa(i)
	}
	return measure(func(i int) { l.Allow(epoch.Add(time.Duration(i)*time.Millisecond), names[i%len(names)], limits, 100) })
}

// recountCost returns the cost per endpoint of a membership change: a VM determines which endpoints of its region it
// allocates slots for.
func recountCost(s fleetSize) cost {
	vms := []string{}
	for i := range s.vms / s.regions {
		vms = append(vms, "vm-"+strconv.Itoa(i))
	}
	return measure(func(i int) { hasher.First(endpointName(i%s.endpoints), vms) })
}

// stateMiB returns the heap, in MiB, that the state of one VM takes in a fleet of size s.
func stateMiB(s fleetSize) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	r := routerAt(s)
	random := rand.New(rand.NewPCG(5, 5))
	for i := range 20_000 {
		blocks := []uint64{random.Uint64(), random.Uint64(), random.Uint64()}
		r.Handle(epoch, router.BlocksCached{Endpoint: endpointName(i % s.endpoints), Blocks: blocks})
	}
	l := limiter.New()
	for i := range s.accounts {
		l.Allow(epoch, "account-"+strconv.Itoa(i), limiter.Limits{Requests: 10, Tokens: 100}, 1)
	}
	allocators := []*allocator.Allocator{}
	for range max(2, s.endpoints/s.vms) {
		a := allocator.New()
		a.Handle(epoch, allocator.Configured{Policy: tailFirst()})
		allocators = append(allocators, a)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	mib := float64(after.HeapAlloc-before.HeapAlloc) / bytesPerMiB
	runtime.KeepAlive(r)
	runtime.KeepAlive(l)
	runtime.KeepAlive(allocators)
	return mib
}

// snapshotBytes returns the size of a configuration snapshot for a fleet of size s: plain, and compressed as VMs send it.
func snapshotBytes(s fleetSize) (plain, packed float64) {
	all := []declarer.Declaration{}
	for i := range s.accounts {
		sum := sha256.Sum256([]byte(strconv.Itoa(i)))
		all = append(all, &declarer.Account{
			Meta:      declarer.Meta{KindName: "account", Name: "account-" + strconv.Itoa(i)},
			KeyHashes: []string{"sha256:" + hex.EncodeToString(sum[:])},
			Limits:    declarer.AccountLimits{RequestsPerSecond: 50, TokensPerSecond: 20000}, Weight: 1,
		})
	}
	for i := range s.endpoints {
		all = append(all, &declarer.Endpoint{
			Meta:    declarer.Meta{KindName: "endpoint", Name: endpointName(i)},
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8000),
			Region:  "region-" + strconv.Itoa(i%s.regions), AvailabilityZone: "az-" + strconv.Itoa(i%s.regions),
			Models: []string{"model-" + strconv.Itoa(i%s.models)}, Slots: engineSlots,
		})
	}
	raw, _, err := declarer.NewSnapshot(all).Encode()
	if err != nil {
		return 0, 0
	}
	b := bytes.Buffer{}
	z := gzip.NewWriter(&b)
	_, _ = z.Write(raw)
	_ = z.Close()
	return float64(len(raw)), float64(b.Len())
}

// runCost is scenario cost: the cost of decisions and of control traffic, at today's fleet size and at a future one.
func runCost(r *report) {
	for _, c := range []struct {
		name string
		at   func(fleetSize) cost
	}{{"route", routeCost}, {"keep", allocatorCost}, {"limit", limiterCost}, {"recountEndpoint", recountCost}} {
		today, toCome := c.at(sizeToday), c.at(sizeToCome)
		for _, x := range []struct {
			size fleetSize
			cost cost
		}{{sizeToday, today}, {sizeToCome, toCome}} {
			name := "cost/" + c.name + "/" + x.size.name
			r.info(name, "nanos", x.cost.nanos)
			r.info(name, "bytes", x.cost.bytes)
			r.info(name, "allocs", x.cost.allocs)
		}
		r.info("cost/"+c.name, "nanosToComeOfToday", toCome.nanos/today.nanos)
	}
	for _, s := range []fleetSize{sizeToday, sizeToCome} {
		g := gossipAt(s)
		perVM, crossRegion := g.run()
		r.atMost("cost/gossip/"+s.name, "bytesPerVMSecond", perVM, maxControlBytesPerSecond)
		r.info("cost/gossip/"+s.name, "bytesAcrossRegionsSecond", crossRegion)
		r.atMost("cost/gossip/"+s.name, "liveVMsCalledLost", float64(g.falselyLost), 0)
		r.atMost("cost/head/"+s.name, "secondsUntilEverywhere", gossipAt(s).spread().Seconds(), maxActivationSeconds)
		plain, packed := snapshotBytes(s)
		r.info("cost/snapshot/"+s.name, "bytes", plain)
		r.info("cost/snapshot/"+s.name, "bytesPacked", packed)
		r.atMost("cost/control/"+s.name, "bytesPerVMSecond", perVM+packed*changesPerDay/secondsPerDay, maxControlBytesPerSecond)
		r.atMost("cost/state/"+s.name, "heapMiB", stateMiB(s), maxStateMiB)
	}
}
