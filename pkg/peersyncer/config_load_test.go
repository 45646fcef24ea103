package peersyncer

import (
	"context"
	"fmt"
	"math"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/authenticator"
)

const (
	// routeBytes is the size of a route in the configuration.
	routeBytes = 200
	// inForceWithin is the time within which a configuration has to be in force in deployments of many VMs.
	inForceWithin = 4 * time.Second
)

// strict is the policy for revoked keys of the deployments of many VMs.
var strict = authenticator.Policy{IsStrict: true, RevokeAfter: 5 * time.Second}

// putRoutes writes a configuration with the number of routes.
func (s *versionedStore) putRoutes(version, routes int) {
	// Compression finds little in names drawn at random.
	text := []byte(fmt.Sprintf("%-20d", version))
	seed := uint64(version) + 1
	for range routes {
		for i := range routeBytes {
			seed = seed*6364136223846793005 + 1442695040888963407
			c := "abcdefghijklmnop"[seed>>60]
			if i >= 60 {
				c = 'r'
			}
			text = append(text, c)
		}
	}
	s.put("config", "c", text)
}

// configAge returns the age of the VM's knowledge of the configuration.
func (v *testVM) configAge() time.Duration {
	asOf, ok := v.watcher.ConfigAsOf()
	if !ok {
		return math.MaxInt64
	}
	return v.fleet.now() - asOf
}

// runConfig runs a test with VMs in two regions that follow the configuration.
func runConfig(t *testing.T, perRegion [2]int, hasReaders bool, test func(t *testing.T, f *testFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		store := newVersionedStore()
		store.putEndpoint(0, 'r', 0)
		store.putConfig(1)
		f := newTestFleet(store, perRegion, hasReaders)
		for _, v := range f.vms {
			v.watcher.SetMaxConfigWatch(strict.MaxWatch)
		}
		ctx, cancel := context.WithCancel(t.Context())
		f.start(ctx)
		_, ok := f.until(5*time.Second, func(v *testVM) bool { return v.hasConfig(1) && v.configAge() < strict.MaxAge() })
		require.True(t, ok, "all VMs know the configuration")
		time.Sleep(5 * time.Second)
		test(t, f)
		cancel()
		time.Sleep(20 * time.Second)
	})
}

// watchAges returns a function that ends the watch of the VMs but those excluded, and returns the longest age of their
// knowledge.
func (f *testFleet) watchAges(except ...*testVM) func() time.Duration {
	worst, done, ended := time.Duration(0), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-done:
				return
			case <-time.After(50 * time.Millisecond):
			}
			for _, v := range f.vms {
				if !slices.Contains(except, v) {
					worst = max(worst, v.configAge())
				}
			}
		}
	}()
	return func() time.Duration {
		close(done)
		<-ended
		return worst
	}
}

// changeRoutes writes three versions with as many routes, the second one a second after the first, and returns the longest time
// until one was in force at all VMs but those excluded, and the bytes over the link.
func changeRoutes(f *testFleet, routes int, except ...*testVM) (worst time.Duration, bytes int64) {
	before := f.link.bytes.Load()
	for n, pause := range []time.Duration{time.Second, 4 * time.Second, 0} {
		f.store.putRoutes(2+n, routes)
		if pause == time.Second {
			time.Sleep(pause)
			continue
		}
		took, _ := f.until(loadLimit, func(v *testVM) bool { return v.hasConfig(int64(2 + n)) }, except...)
		worst = max(worst, took)
		time.Sleep(pause)
	}
	return worst, f.link.bytes.Load() - before
}

// TestLargeConfigurationFitsTheLink guards against copies of a large configuration, one for each VM, that fill the link
// between regions, so that neither the configuration nor the proof of its age arrives in time. Without readers, each VM reads
// the store.
func TestLargeConfigurationFitsTheLink(t *testing.T) {
	for _, perRegion := range [][2]int{{32, 34}, {98, 97}, {180, 180}} {
		for _, routes := range []int{1400, 2800} {
			runConfig(t, perRegion, true, func(t *testing.T, f *testFleet) {
				ages := f.watchAges()
				worst, bytes := changeRoutes(f, routes)
				age := ages()
				t.Logf("%v VMs, %d routes: in force after %s, %.1f MB over the link, knowledge %s old at most",
					perRegion, routes, worst, float64(bytes)/1e6, age)
				assert.Less(t, worst, inForceWithin)
				assert.Less(t, age, strict.MaxAge(), "keys count as valid all the time")
				// Three readers read three versions.
				assert.Less(t, bytes, int64(9*1.5*float64(routes*routeBytes)+1e6))
			})
		}
	}
	runConfig(t, [2]int{180, 180}, false, func(t *testing.T, f *testFleet) {
		worst, bytes := changeRoutes(f, 1400)
		t.Logf("each VM reads the store: in force after %s, %.1f MB over the link", worst, float64(bytes)/1e6)
		assert.Greater(t, worst, inForceWithin)
		assert.Greater(t, bytes, int64(100e6))
	})
}

// TestSourcesOfALargeConfigurationDie changes a large configuration while those that pass it on have died, hear nothing, or
// are of an earlier build.
func TestSourcesOfALargeConfigurationDie(t *testing.T) {
	for name, strike := range map[string]func(v *testVM){
		"refuse":  func(v *testVM) { v.isDown.Store(true); v.isCutOff.Store(true) },
		"frozen":  func(v *testVM) { v.isFrozen.Store(true); v.isCutOff.Store(true) },
		"earlier": func(v *testVM) { v.isEarlier.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			runConfig(t, [2]int{32, 34}, true, func(t *testing.T, f *testFleet) {
				readers, relays, _ := f.placed()
				struck := slices.Concat(readers[:2], readers[3:5], relays[:2])
				for _, v := range struck {
					strike(v)
				}
				var except []*testVM
				if name != "earlier" {
					except = struck
				}
				ages := f.watchAges(except...)
				worst, bytes := changeRoutes(f, 1400, except...)
				age := ages()
				t.Logf("in force after %s, %.1f MB over the link, knowledge %s old at most", worst, float64(bytes)/1e6, age)
				assert.Less(t, worst, inForceWithin)
				assert.Less(t, age, strict.MaxAge())
			})
		})
	}
}

// TestAllVMsStartWithALargeConfiguration starts all VMs at once while a large configuration is active.
func TestAllVMsStartWithALargeConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newVersionedStore()
		store.putEndpoint(0, 'r', 0)
		store.putRoutes(1, 1400)
		f := newTestFleet(store, [2]int{98, 97}, true)
		ctx, cancel := context.WithCancel(t.Context())
		f.start(ctx)
		took, ok := f.until(loadLimit, func(v *testVM) bool { return v.hasConfig(1) && v.configAge() < strict.MaxAge() })
		t.Logf("in force after %s, %.1f MB over the link", took, float64(f.link.bytes.Load())/1e6)
		assert.True(t, ok)
		assert.Less(t, took, inForceWithin)
		cancel()
		time.Sleep(20 * time.Second)
	})
}

// TestNoVMProvesItsAgeByAnother guards against VMs that, cut off from the store, take each other's word that keys are still
// valid.
func TestNoVMProvesItsAgeByAnother(t *testing.T) {
	runConfig(t, [2]int{0, 30}, true, func(t *testing.T, f *testFleet) {
		lastHeard := f.now()
		for _, v := range f.vms {
			v.isCutOffFromStore.Store(true)
		}
		time.Sleep(strict.RevokeAfter)
		for _, v := range f.vms {
			asOf, ok := v.watcher.ConfigAsOf()
			assert.LessOrEqual(t, asOf, lastHeard, v.name)
			assert.True(t, strict.IsStale(f.now(), asOf, ok), v.name)
		}
		for _, v := range f.vms[:1] {
			v.isCutOffFromStore.Store(false)
		}
		_, ok := f.until(loadLimit, func(v *testVM) bool { return v.configAge() < 2*time.Second }, f.vms[1:]...)
		assert.True(t, ok, "a VM that the store answers knows again")
	})
}
