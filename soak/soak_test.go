package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
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
	// troubled is how long troubles begin for; each lasts up to longestTrouble.
	troubled       = 8 * time.Second
	longestTrouble = 3 * time.Second
	troubleCount   = 14
	// quiet is how long callers go on after the last trouble.
	quiet = time.Second
	// recovery is how long after its return a VM that did not run may be late.
	recovery = 2 * time.Second
)

// fixedSeeds are played by CI: two short ones, and each that ever failed, with its cause.
var fixedSeeds = []uint64{
	1, 2,
	// A planned stop took 8.1 s of 8: programs built under the race detector sleep for a second at their end.
	2088822166,
}

var (
	binaries string
	// isTimed says that bounds of time are checked: not by CI, whose verdict must not hang on how busy a machine is.
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
	// Each process has 256 addresses of its own: VMs of two runs at once would take each other for peers.
	lastIP.Store(uint32(1+os.Getpid()%255) << 8)
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// seeds returns the seeds to play: SEED, or SEEDS new ones, or the fixed ones.
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

// TestSoak plays each seed: troubles that overlap while callers go on, then quiet, then all that is owed.
func TestSoak(t *testing.T) {
	for _, seed := range seeds(t) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			play(t, seed)
		})
	}
}

func play(t *testing.T, seed uint64) {
	f := newFleet(t, vmCount)
	s := &soak{t: t, fleet: f, random: rand.New(rand.NewPCG(seed, 0)), paused: newPauses()}
	f.store.SetFault(func(r *http.Request) standin.Fault {
		return s.storeFault(strings.TrimPrefix(r.UserAgent(), "dogwoodledge/"))
	})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	c := &callers{fleet: f, seed: seed, paused: s.paused}
	c.start(ctx, callerCount)
	s.run()
	// Callers go on for a while with everything sound; what is owed is awaited below, on conditions.
	time.Sleep(quiet)
	stop()
	c.wg.Wait()
	for _, v := range f.vms {
		assert.Eventually(t, v.isReady, patience, 20*time.Millisecond, "%s is not ready after the troubles", v.name)
	}
	s.awaitJobs(c)
	for _, v := range f.vms {
		s.stopPlanned(v)
	}
	faults := append(checkAll(c.attempts, c.jobs, f.runs()), s.faults...)
	faults = append(faults, f.logFaults()...)
	for _, fault := range faults {
		t.Errorf("seed %d: %s", seed, fault)
	}
	s.report(c)
	if t.Failed() {
		s.keepLogs(seed)
	}
}

// soak is the troubles of a seed.
type soak struct {
	t      *testing.T
	fleet  *fleet
	random *rand.Rand
	paused *pauses

	mu     sync.Mutex
	faults []string
	// storeFaults are in force, by VM; "" is for all of them.
	storeFaults map[string]standin.Fault
	begun       []string
	wg          sync.WaitGroup
}

func (s *soak) fault(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, fmt.Sprintf(format, args...))
}

// storeFault finds the fault for a call by the name that its VM states.
func (s *soak) storeFault(agent string) standin.Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f, ok := s.storeFaults[agent]; ok {
		return f
	}
	return s.storeFaults[""]
}

// run begins the troubles at times of the seed and waits until the last is over.
func (s *soak) run() {
	troubles := []func(*trouble){
		s.terminate, s.kill, s.freeze, s.reload, s.failStore, s.failStore, s.forget, s.breakStoreLink, s.breakStoreLink,
		s.breakEndpointLink, s.trick, s.trick, s.loseEndpoint, s.drainEndpoint, s.reconfigure,
	}
	start := time.Now()
	for range troubleCount {
		tr := &trouble{
			at:    time.Duration(s.random.Int64N(int64(troubled))),
			lasts: longestTrouble/10 + time.Duration(s.random.Int64N(int64(longestTrouble))),
			vm:    s.fleet.vms[s.random.IntN(len(s.fleet.vms))],
			n:     s.random.IntN(1 << 20),
		}
		cause := troubles[s.random.IntN(len(troubles))]
		s.wg.Add(1)
		go s.runTrouble(start, tr, cause)
	}
	s.wg.Wait()
	for _, v := range s.fleet.vms {
		if v.hasEnded() {
			s.fault("%s ended by itself", v.name)
		}
		v.start()
	}
}

// trouble is one fault with its time and what it is drawn for.
type trouble struct {
	at, lasts time.Duration
	vm        *vm
	n         int
}

func (s *soak) runTrouble(start time.Time, tr *trouble, cause func(*trouble)) {
	defer s.wg.Done()
	// The seed says when a trouble begins, whatever the system does.
	time.Sleep(time.Until(start.Add(tr.at)))
	cause(tr)
}

func (s *soak) note(tr *trouble, what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begun = append(s.begun, fmt.Sprintf("%s %s for %s", tr.at.Round(time.Millisecond), what, tr.lasts.Round(time.Millisecond)))
}

func (s *soak) terminate(tr *trouble) {
	s.note(tr, "stop "+tr.vm.name)
	s.paused.note(tr.vm.name, time.Now().Add(grace+recovery))
	s.stopPlanned(tr.vm)
	time.Sleep(tr.lasts / 4)
	tr.vm.start()
}

// stopPlanned ends a VM by SIGTERM, which it must follow within the grace unless it is frozen meanwhile.
func (s *soak) stopPlanned(v *vm) {
	began := time.Now()
	took, code := v.end(syscall.SIGTERM, grace+slack)
	if isTimed && took > grace && !s.paused.isFrozenSince(v.name, began) {
		s.fault("%s needed %s to stop, bound %s", v.name, took.Round(time.Millisecond), grace)
	}
	if code > 0 {
		s.fault("%s ended with status %d", v.name, code)
	}
}

func (s *soak) kill(tr *trouble) {
	s.note(tr, "kill "+tr.vm.name)
	s.paused.note(tr.vm.name, time.Now().Add(tr.lasts+recovery))
	tr.vm.end(syscall.SIGKILL, patience)
	time.Sleep(tr.lasts / 4)
	tr.vm.start()
}

func (s *soak) freeze(tr *trouble) {
	s.note(tr, "freeze "+tr.vm.name)
	s.paused.note(tr.vm.name, time.Now().Add(tr.lasts+recovery))
	s.paused.noteFrozen(tr.vm.name, time.Now().Add(tr.lasts+recovery))
	tr.vm.signal(syscall.SIGSTOP)
	time.Sleep(tr.lasts)
	tr.vm.signal(syscall.SIGCONT)
}

// reload breaks the settings file, says so, and mends it.
func (s *soak) reload(tr *trouble) {
	s.note(tr, "reload "+tr.vm.name)
	tr.vm.writeSettings("not a setting\n")
	tr.vm.signal(syscall.SIGHUP)
	time.Sleep(tr.lasts / 4)
	tr.vm.writeSettings("# mended\n")
	tr.vm.signal(syscall.SIGHUP)
}

func (s *soak) failStore(tr *trouble) {
	faults := []standin.Fault{standin.Busy, standin.Limited, standin.Reset, standin.Silent, standin.LoseAnswer, standin.DoLate}
	fault, who := faults[tr.n%len(faults)], tr.vm.name
	if tr.n%4 == 0 {
		who = ""
	}
	s.note(tr, fmt.Sprintf("store fault %d for %q", fault, who))
	s.setStoreFault(who, fault)
	time.Sleep(tr.lasts)
	s.setStoreFault(who, standin.NoFault)
}

func (s *soak) setStoreFault(who string, f standin.Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.storeFaults == nil {
		s.storeFaults = map[string]standin.Fault{}
	}
	if f == standin.NoFault {
		delete(s.storeFaults, who)
		return
	}
	s.storeFaults[who] = f
}

func (s *soak) forget(tr *trouble) {
	s.note(tr, "drop the store's history")
	s.fleet.store.Forget()
}

var linkFaults = []linkFault{linkSlow, linkReset, linkSilent, linkDeaf, linkMute}

func (s *soak) breakStoreLink(tr *trouble) {
	s.breakLink(tr, tr.vm.link, "store link of "+tr.vm.name)
}

func (s *soak) breakEndpointLink(tr *trouble) {
	e := s.fleet.anyEndpoint(tr.n / len(linkFaults))
	s.breakLink(tr, e.link, "link of "+e.ID)
}

func (s *soak) breakLink(tr *trouble, p *proxy, what string) {
	fault := linkFaults[tr.n%len(linkFaults)]
	s.note(tr, fmt.Sprintf("fault %d on the %s", fault, what))
	p.set(fault)
	time.Sleep(tr.lasts)
	p.set(linkSound)
}

// trick makes an endpoint do wrong with a third of its requests.
func (s *soak) trick(tr *trouble) {
	tricks := []standin.Trick{standin.Shed, standin.BreakOff, standin.LoseAll, standin.Extra, standin.Mute}
	e, trick := s.fleet.anyEndpoint(tr.n/len(tricks)), tricks[tr.n%len(tricks)]
	s.note(tr, fmt.Sprintf("trick %d at %s", trick, e.ID))
	e.SetTrick(func(n int, _ *http.Request) standin.Trick {
		if n%3 == 0 {
			return trick
		}
		return standin.NoTrick
	})
	time.Sleep(tr.lasts)
	e.SetTrick(func(int, *http.Request) standin.Trick { return standin.NoTrick })
}

func (s *soak) loseEndpoint(tr *trouble) {
	e := s.fleet.anyEndpoint(tr.n)
	s.note(tr, "lose "+e.ID)
	s.fleet.loseEndpoint(e)
}

func (s *soak) drainEndpoint(tr *trouble) {
	e := s.fleet.anyEndpoint(tr.n)
	s.note(tr, "drain "+e.ID)
	s.fleet.addEndpoint(e.Service)
	s.fleet.announce(e, "draining")
	time.Sleep(drain + longestTrouble)
	s.fleet.loseEndpoint(e)
}

func (s *soak) reconfigure(tr *trouble) {
	s.note(tr, "new configuration")
	s.fleet.configure()
}

// awaitJobs reads the jobs that are owed until they are whole.
func (s *soak) awaitJobs(c *callers) {
	for limit := time.Now().Add(patience); time.Now().Before(limit); time.Sleep(readEvery) {
		isDone := true
		for n, j := range c.jobs {
			if !j.isDone() {
				isDone = false
				c.read(j, s.fleet.vms[n%len(s.fleet.vms)], false)
			}
		}
		if isDone {
			break
		}
	}
	for n, j := range c.jobs {
		if !j.acceptedAt.IsZero() {
			c.read(j, s.fleet.vms[(n+1)%len(s.fleet.vms)], true)
		}
	}
}

// report counts what the seed had.
func (s *soak) report(c *callers) {
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
	s.t.Logf("%d requests by status %v, %d jobs accepted of %d, %d results, %d runs at endpoints; troubles: %s",
		len(c.attempts), outcomes, accepted, len(c.jobs), results, len(s.fleet.runs()), strings.Join(s.begun, "; "))
}

// keepLogs copies the logs of a seed that failed to where the next run finds them.
func (s *soak) keepLogs(seed uint64) {
	dir := fmt.Sprintf("../tmp/soak-%d", seed)
	if err := os.CopyFS(dir, os.DirFS(s.fleet.dir)); err != nil {
		s.t.Logf("logs not kept: %v", err)
		return
	}
	s.t.Logf("logs are in tmp/soak-%d", seed)
}
