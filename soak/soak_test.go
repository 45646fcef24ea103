package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

const (
	vmCount     = 4
	callerCount = 16
	// Faults start within injectionWindow; each lasts faultDurationSpan/10 plus a random time below faultDurationSpan.
	injectionWindow   = 8 * time.Second
	faultDurationSpan = 3 * time.Second
	injectionCount    = 14
	// quietPeriod is how long callers continue after the last fault has ended.
	quietPeriod = time.Second
	// recoveryTime is how long after a VM runs again its answers may exceed their time bounds.
	recoveryTime = 2 * time.Second
)

// fixedSeeds are run by CI: two for a short run, and every seed that once failed, with its cause.
var fixedSeeds = []uint64{
	1, 2,
	// A planned stop took 8.1 s against a bound of 8 s: programs built with the race detector sleep for 1 s before they exit.
	2088822166,
	// A data race: a request read its group's region while an update of the registry defined the group again. Under the race
	// detector every seed showed it.
	3090318071,
	// A VM that was killed started again while its settings file was invalid for a reload, and rejected the file as it should.
	// After two probes of a part of their prompts had ended with their engines, items were not sent until they were abandoned.
	4078669023,
}

var (
	binaries string
	// isTimed enables the checks of time bounds. CI leaves them out, so that its result does not depend on the machine's load.
	isTimed = os.Getenv("SEED")+os.Getenv("SEEDS") != ""
)

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "dogwoodledge-soak")
	if err != nil {
		panic(err)
	}
	args := []string{"build", "-o", dir + "/"}
	if os.Getenv("SOAK_RACE") != "" {
		args = append(args, "-race")
	}
	build := exec.Command("go", append(args, "./cmd/dogwoodledged")...)
	build.Dir = ".."
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	binaries = dir
	// Each process uses 256 addresses of its own. VMs of two runs at once would otherwise take each other for peers.
	lastIP.Store(uint32(1+os.Getpid()%255) << 8)
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// seeds returns the seeds to run: the one in SEED, as many random ones as SEEDS says, or else fixedSeeds.
func seeds(t *testing.T) []uint64 {
	if text := os.Getenv("SEED"); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		require.NoError(t, err, "SEED")
		return []uint64{seed}
	}
	text := os.Getenv("SEEDS")
	if text == "" {
		return fixedSeeds
	}
	n, err := strconv.Atoi(text)
	require.NoError(t, err, "SEEDS")
	drawn := make([]uint64, n)
	for i := range drawn {
		drawn[i] = uint64(rand.Uint32())
	}
	return drawn
}

// TestSoak runs each seed: overlapping faults under load, then a period without faults, then a wait until every accepted job has
// completed.
func TestSoak(t *testing.T) {
	for _, seed := range seeds(t) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runSeed(t, seed)
		})
	}
}

// runSeed runs one seed on a fleet of its own and fails the test for each violation.
func runSeed(t *testing.T, seed uint64) {
	f := newFleet(t, vmCount, func(f *fleet) {
		if hasAccounts(seed) {
			f.addAccounts()
		}
	})
	s := &soak{t: t, fleet: f, seed: seed, random: rand.New(rand.NewPCG(seed, 0)), outages: newOutages()}
	s.callers = &callers{fleet: f, seed: seed, outages: s.outages}
	f.store.SetFault(func(r *http.Request) standin.StoreFault {
		return s.storeFault(strings.TrimPrefix(r.UserAgent(), "dogwoodledge/"))
	})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	c := s.callers
	c.start(ctx, callerCount)
	s.run()
	s.awaitReady()
	lay := s.awaitCalm(c.longJobs())
	s.injectAfterwards(seed)
	// Callers continue without faults for this long; the waits for VMs and jobs below poll conditions.
	time.Sleep(quietPeriod)
	stop()
	c.wg.Wait()
	s.awaitReady()
	lay = max(lay, s.awaitCalm(c.jobs))
	s.readAll(c)
	for _, v := range f.vms {
		s.stopPlanned(v)
	}
	violations := append(checkAll(c.attempts, c.jobs, f.runs()), s.violations...)
	violations = append(violations, f.logViolations()...)
	if hasAccounts(seed) {
		violations = append(violations, accountViolations(f.runs())...)
	}
	for _, violation := range violations {
		t.Errorf("seed %d: %s", seed, violation)
	}
	s.report(c, lay)
	if t.Failed() {
		s.keepLogs(seed)
	}
}

// soak injects the faults of one seed and collects the violations of the promises.
type soak struct {
	t       *testing.T
	fleet   *fleet
	seed    uint64
	random  *rand.Rand
	outages *outages
	callers *callers

	mu         sync.Mutex
	violations []string
	// storeFaults holds the active faults of the store by VM name; "" applies to every VM.
	storeFaults map[string]standin.StoreFault
	// injected describes the faults injected so far.
	injected []string
	wg       sync.WaitGroup
}

func (s *soak) addViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// storeFault returns the active fault for a call, by the VM name in its User-Agent header.
func (s *soak) storeFault(agent string) standin.StoreFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f, ok := s.storeFaults[agent]; ok {
		return f
	}
	return s.storeFaults[""]
}

// run injects the faults at the times drawn from the seed and waits until the last has ended.
func (s *soak) run() {
	injectors := []func(*injection){
		s.terminate, s.kill, s.freeze, s.reload, s.failStore, s.failStore, s.dropStoreHistory, s.breakStoreLink, s.breakStoreLink,
		s.breakEndpointLink, s.misbehave, s.misbehave, s.loseEndpoint, s.drainEndpoint, s.reconfigure,
	}
	start := time.Now()
	s.injectTroubles(s.seed, start)
	for range injectionCount {
		inj := &injection{
			at:       time.Duration(s.random.Int64N(int64(injectionWindow))),
			duration: faultDurationSpan/10 + time.Duration(s.random.Int64N(int64(faultDurationSpan))),
			vm:       s.fleet.vms[s.random.IntN(len(s.fleet.vms))],
			n:        s.random.IntN(1 << 20),
		}
		apply := injectors[s.random.IntN(len(injectors))]
		s.wg.Add(1)
		go s.inject(start, inj, apply)
	}
	s.wg.Wait()
	for _, v := range s.fleet.vms {
		if v.hasExitedUnexpectedly() {
			s.addViolation("%s exited unexpectedly", v.name)
		}
		v.start()
	}
}

// injection is one planned fault: its start, its duration, the VM it may affect, and a number that selects the variant.
type injection struct {
	at, duration time.Duration
	vm           *vm
	n            int
}

func (s *soak) inject(start time.Time, inj *injection, apply func(*injection)) {
	defer s.wg.Done()
	// The start time depends on the seed alone, not on the state of the system.
	time.Sleep(time.Until(start.Add(inj.at)))
	apply(inj)
}

func (s *soak) recordInjection(inj *injection, what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.injected = append(s.injected,
		fmt.Sprintf("%s %s for %s", inj.at.Round(time.Millisecond), what, inj.duration.Round(time.Millisecond)))
}

func (s *soak) terminate(inj *injection) {
	s.recordInjection(inj, "stop "+inj.vm.name)
	s.outages.recordDown(inj.vm.name, time.Now().Add(grace+recoveryTime))
	s.stopPlanned(inj.vm)
	time.Sleep(inj.duration / 4)
	inj.vm.start()
}

// stopPlanned stops a VM by SIGTERM. It must exit within the grace period unless it is frozen in the meantime.
func (s *soak) stopPlanned(v *vm) {
	began := time.Now()
	took, code := v.end(syscall.SIGTERM, grace+slack)
	if isTimed && took > grace && !s.outages.isFrozenSince(v.name, began) {
		s.addViolation("%s needed %s to stop, bound %s", v.name, took.Round(time.Millisecond), grace)
	}
	if code > 0 {
		s.addViolation("%s ended with status %d", v.name, code)
	}
}

func (s *soak) kill(inj *injection) {
	s.recordInjection(inj, "kill "+inj.vm.name)
	s.outages.recordDown(inj.vm.name, time.Now().Add(inj.duration+recoveryTime))
	inj.vm.end(syscall.SIGKILL, waitTimeout)
	time.Sleep(inj.duration / 4)
	inj.vm.start()
}

func (s *soak) freeze(inj *injection) {
	s.recordInjection(inj, "freeze "+inj.vm.name)
	s.outages.recordDown(inj.vm.name, time.Now().Add(inj.duration+recoveryTime))
	s.outages.recordFrozen(inj.vm.name, time.Now().Add(inj.duration+recoveryTime))
	inj.vm.signal(syscall.SIGSTOP)
	time.Sleep(inj.duration)
	inj.vm.signal(syscall.SIGCONT)
}

// reload has the VM reload an invalid settings file, and then the valid one again.
func (s *soak) reload(inj *injection) {
	s.recordInjection(inj, "reload "+inj.vm.name)
	// A process that another fault starts in the meantime would rightly reject the file.
	inj.vm.settingsMu.Lock()
	defer inj.vm.settingsMu.Unlock()
	inj.vm.writeSettings("not a setting\n")
	inj.vm.signal(syscall.SIGHUP)
	time.Sleep(inj.duration / 4)
	inj.vm.writeSettings("# mended\n")
	inj.vm.signal(syscall.SIGHUP)
}

func (s *soak) failStore(inj *injection) {
	faults := []standin.StoreFault{
		standin.Busy, standin.Limited, standin.Reset, standin.Silent, standin.LoseAnswer, standin.ExecuteLate,
	}
	fault, agent := faults[inj.n%len(faults)], inj.vm.name
	if inj.n%4 == 0 {
		agent = ""
	}
	s.recordInjection(inj, fmt.Sprintf("store fault %d for %q", fault, agent))
	s.setStoreFault(agent, fault)
	time.Sleep(inj.duration)
	s.setStoreFault(agent, standin.NoFault)
}

func (s *soak) setStoreFault(agent string, f standin.StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.storeFaults == nil {
		s.storeFaults = map[string]standin.StoreFault{}
	}
	if f == standin.NoFault {
		delete(s.storeFaults, agent)
		return
	}
	s.storeFaults[agent] = f
}

func (s *soak) dropStoreHistory(inj *injection) {
	s.recordInjection(inj, "drop the store's history")
	s.fleet.store.DropHistory()
}

var linkFaults = []linkFault{linkSlow, linkReset, linkSilent, linkSilentToVM, linkSilentFromVM}

func (s *soak) breakStoreLink(inj *injection) {
	s.breakLink(inj, inj.vm.link, "store link of "+inj.vm.name)
}

func (s *soak) breakEndpointLink(inj *injection) {
	e := s.fleet.endpointAt(inj.n / len(linkFaults))
	s.breakLink(inj, e.link, "link of "+e.ID)
}

func (s *soak) breakLink(inj *injection, p *proxy, what string) {
	fault := linkFaults[inj.n%len(linkFaults)]
	s.recordInjection(inj, fmt.Sprintf("fault %d on the %s", fault, what))
	p.set(fault)
	time.Sleep(inj.duration)
	p.set(linkHealthy)
}

// misbehave makes an endpoint mishandle a third of its requests.
func (s *soak) misbehave(inj *injection) {
	faults := []standin.EndpointFault{standin.Shed, standin.Truncate, standin.LoseAll, standin.ExtraAnswer, standin.NoAnswer}
	e, fault := s.fleet.endpointAt(inj.n/len(faults)), faults[inj.n%len(faults)]
	s.recordInjection(inj, fmt.Sprintf("wrong answers (fault %d) from %s", fault, e.ID))
	e.SetFault(func(n int, _ *http.Request) standin.EndpointFault {
		if n%3 == 0 {
			return fault
		}
		return standin.NoEndpointFault
	})
	time.Sleep(inj.duration)
	e.SetFault(func(int, *http.Request) standin.EndpointFault { return standin.NoEndpointFault })
}

func (s *soak) loseEndpoint(inj *injection) {
	e := s.fleet.endpointAt(inj.n)
	s.recordInjection(inj, "lose "+e.ID)
	s.fleet.loseEndpoint(e)
}

func (s *soak) drainEndpoint(inj *injection) {
	e := s.fleet.endpointAt(inj.n)
	s.recordInjection(inj, "drain "+e.ID)
	s.fleet.addEndpoint(e.Service)
	s.fleet.announce(e, "draining")
	time.Sleep(drain + faultDurationSpan)
	s.fleet.loseEndpoint(e)
}

func (s *soak) reconfigure(inj *injection) {
	s.recordInjection(inj, "new configuration")
	s.fleet.configure()
}

func (s *soak) awaitReady() {
	for _, v := range s.fleet.vms {
		assert.Eventually(s.t, v.isReady, waitTimeout, 20*time.Millisecond, "%s is not ready after the last fault", v.name)
	}
}

// awaitCalm polls the jobs that are still pending until they are complete, and returns how long an item of theirs lay at most.
func (s *soak) awaitCalm(jobs []*job) time.Duration {
	began, pending := time.Now(), jobs
	for limit := began.Add(waitTimeout); time.Now().Before(limit); time.Sleep(readInterval) {
		if pending = slices.DeleteFunc(slices.Clone(pending), (*job).isDone); len(pending) == 0 {
			break
		}
		for n, j := range pending {
			s.callers.read(j, s.fleet.vms[n%len(s.fleet.vms)], false)
		}
	}
	for _, j := range pending {
		s.addViolation("LOST: job %s is not complete %s after the faults", j.id, waitTimeout)
	}
	lay, violations := checkLying(jobs, s.fleet.runs(), began, time.Now())
	if isTimed {
		s.violations = append(s.violations, violations...)
	}
	return lay
}

// readAll reads every accepted job from its start.
func (s *soak) readAll(c *callers) {
	for n, j := range c.jobs {
		if !j.acceptedAt.IsZero() {
			c.read(j, s.fleet.vms[(n+1)%len(s.fleet.vms)], true)
		}
	}
}

// report logs the numbers of requests, jobs, results and runs of the seed, how long an item lay at most, and the faults injected.
func (s *soak) report(c *callers, lay time.Duration) {
	outcomes := map[int]int{}
	for _, a := range c.attempts {
		outcomes[a.status]++
	}
	accepted, results := 0, 0
	for _, j := range c.jobs {
		if !j.acceptedAt.IsZero() {
			accepted++
		}
		results += len(j.listed)
	}
	runs, cuts := s.fleet.runs(), 0
	for _, r := range runs {
		if isLong(r.ID) && r.WasBroken {
			cuts++
		}
	}
	s.t.Logf("%d requests by status %v, %d jobs accepted of %d, %d results, %d runs at endpoints; "+
		"runs of long items were cut %d times; after the faults items lay for %s at most; faults: %s",
		len(c.attempts), outcomes, accepted, len(c.jobs), results, len(runs),
		cuts, lay.Round(time.Millisecond), strings.Join(s.injected, "; "))
}

// keepLogs copies the logs of a failed seed to tmp/, where they outlast the test.
func (s *soak) keepLogs(seed uint64) {
	dir := fmt.Sprintf("../tmp/soak-%d", seed)
	if err := os.CopyFS(dir, os.DirFS(s.fleet.dir)); err != nil {
		s.t.Logf("copying the logs of the seed failed: %v", err)
		return
	}
	s.t.Logf("logs are in tmp/soak-%d", seed)
}
