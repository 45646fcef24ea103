package soak

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/platform"
	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

const (
	host     = "soak.example"
	patience = 60 * time.Second
	// grace and drain are the platform's bounds that the settings state.
	grace = 8 * time.Second
	drain = 2500 * time.Millisecond
	// goneAfter is when an endpoint's row goes that was lost: three of its heartbeats.
	goneAfter = time.Second
)

// lastIP numbers the VMs of all runs of a process, each with a loopback address of its own.
var lastIP atomic.Uint32

// vm is a VM and the process that runs on it, if one does.
type vm struct {
	t        testing.TB
	name     string
	ip       netip.Addr
	link     *proxy
	settings string
	log      string
	// build is the folder of the program that the next start runs.
	build string

	mu     sync.Mutex
	cmd    *exec.Cmd
	done   chan struct{}
	runs   int
	isTold bool
}

func (v *vm) url(path string) string { return fmt.Sprintf("http://%s:18144%s", v.ip, path) }

// writeSettings writes the platform's settings file; extra is appended to it.
func (v *vm) writeSettings(extra string) {
	text := fmt.Sprintf(`nodeName = %q
ip = %q
zone = "syd-a"
region = "syd"
internalPorts = [17660, 17670]
heartbeatMs = 300

[listen]
front = "%s:18144"
ready = "%s:18140"

[zones]
syd-a = "syd"

[limits]
memoryMb = 512
maxFds = 4096

[bounds]
drainMs = %d
graceS = %d
configApplyMs = 2500
statusS = 120

[platform]
address = %q
rowBytes = 65536
%s`, v.name, v.ip.String(), v.ip, v.ip, drain.Milliseconds(), int(grace.Seconds()), v.link.addr().String(), extra)
	require.NoError(v.t, os.WriteFile(v.settings, []byte(text), 0o600))
}

// start starts the process unless it runs.
func (v *vm) start() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd != nil {
		return
	}
	v.runs++
	file, err := os.OpenFile(v.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(v.t, err)
	cmd := exec.Command(filepath.Join(v.build, "dogwoodledged"), "platform")
	// The race detector otherwise adds a second to each end of a process.
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+v.settings, "GORACE=atexit_sleep_ms=0")
	cmd.Stdout, cmd.Stderr = file, file
	require.NoError(v.t, cmd.Start())
	v.cmd, v.done, v.isTold = cmd, make(chan struct{}), false
	go v.run(cmd, v.done, file)
}

func (v *vm) run(cmd *exec.Cmd, done chan struct{}, file *os.File) {
	_ = cmd.Wait()
	_ = file.Close()
	close(done)
}

// signal sends a signal to the process, if there is one.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd == nil {
		return
	}
	v.isTold = v.isTold || s == syscall.SIGTERM || s == syscall.SIGKILL
	_ = v.cmd.Process.Signal(s)
}

// end sends a signal that ends the process, kills it when the limit passes, and returns how long it took and its code.
func (v *vm) end(s syscall.Signal, limit time.Duration) (time.Duration, int) {
	v.mu.Lock()
	cmd, done := v.cmd, v.done
	v.mu.Unlock()
	if cmd == nil {
		return 0, 0
	}
	start := time.Now()
	v.signal(s)
	select {
	case <-done:
	case <-time.After(limit):
		v.signal(syscall.SIGKILL)
		<-done
	}
	v.mu.Lock()
	// Another trouble may have ended this process and started the next.
	if v.cmd == cmd {
		v.cmd = nil
	}
	v.mu.Unlock()
	return time.Since(start), cmd.ProcessState.ExitCode()
}

// hasEnded says whether the process ended by itself.
func (v *vm) hasEnded() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd == nil || v.isTold {
		return false
	}
	select {
	case <-v.done:
		return true
	default:
		return false
	}
}

func (v *vm) isReady() bool {
	c := http.Client{Timeout: time.Second}
	res, err := c.Get(fmt.Sprintf("http://%s:18140%s", v.ip, platform.ReadyPath))
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// endpoint is an endpoint behind a proxy.
type endpoint struct {
	*standin.Endpoint
	link *proxy
}

// fleet is a store, endpoints and VMs.
type fleet struct {
	t       testing.TB
	dir     string
	store   *standin.Store
	server  *httptest.Server
	vms     []*vm
	version int

	mu        sync.Mutex
	endpoints []*endpoint
	started   int
}

func newFleet(t testing.TB, vms int) *fleet {
	store := standin.NewStore()
	return newFleetOf(t, store, store, slices.Repeat([]string{binaries}, vms)...)
}

// newFleetOf starts a VM of each build; serve stands before the store.
func newFleetOf(t testing.TB, store *standin.Store, serve http.Handler, builds ...string) *fleet {
	f := &fleet{t: t, dir: t.TempDir(), store: store}
	f.server = httptest.NewServer(serve)
	t.Cleanup(func() {
		f.server.CloseClientConnections()
		f.server.Close()
	})
	for range 3 {
		f.addEndpoint("llm")
	}
	for range 2 {
		f.addEndpoint("app")
	}
	f.configure()
	for _, build := range builds {
		f.addVM(build)
	}
	for _, v := range f.vms {
		require.Eventually(t, v.isReady, patience, 20*time.Millisecond, "%s is not ready", v.name)
	}
	return f
}

func (f *fleet) addVM(build string) {
	n := lastIP.Add(1)
	name := fmt.Sprintf("front-%d", len(f.vms)+1)
	v := &vm{
		t: f.t, name: name, ip: netip.AddrFrom4([4]byte{127, 11, byte(n >> 8), byte(n)}),
		link:     newProxy(f.t, netip.MustParseAddrPort(f.server.Listener.Addr().String())),
		settings: filepath.Join(f.dir, name+".toml"), log: filepath.Join(f.dir, name+".log"),
		build: build,
	}
	v.writeSettings("")
	v.start()
	f.t.Cleanup(func() {
		v.signal(syscall.SIGCONT)
		v.end(syscall.SIGKILL, patience)
	})
	f.vms = append(f.vms, v)
}

// addEndpoint starts an endpoint of the service, changed by adjust, and announces it.
func (f *fleet) addEndpoint(service string, adjust ...func(*standin.Endpoint)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started++
	e := standin.NewEndpoint(fmt.Sprintf("i-%s-%d", service, f.started), service, "syd-a")
	f.t.Cleanup(e.Close)
	for _, change := range adjust {
		change(e)
	}
	held := &endpoint{Endpoint: e, link: newProxy(f.t, netip.MustParseAddrPort(e.Entry("ready")["address"].(string)))}
	f.endpoints = append(f.endpoints, held)
	f.announce(held, "ready")
}

// announce writes the endpoint's row, with its proxy's address.
func (f *fleet) announce(e *endpoint, state string) {
	entry := e.Entry(state)
	entry["address"] = e.link.addr().String()
	f.store.Put(platform.EndpointTable, "", e.ID, entry)
}

// anyEndpoint returns the n-th endpoint, counted round.
func (f *fleet) anyEndpoint(n int) *endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.endpoints[n%len(f.endpoints)]
}

// loseEndpoint ends the endpoint; its row goes later, and another one takes its place.
func (f *fleet) loseEndpoint(e *endpoint) {
	e.Close()
	e.link.set(linkReset)
	f.addEndpoint(e.Service)
	// The platform keeps the row of a lost endpoint for so long: part of the fault, no wait for the system.
	time.Sleep(goneAfter)
	f.store.Remove(platform.EndpointTable, "", e.ID)
}

// runs returns what all endpoints worked on, those that were lost among them.
func (f *fleet) runs() []standin.Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	var runs []standin.Run
	for _, e := range f.endpoints {
		// What has no id is a question about the endpoint's load.
		runs = append(runs, slices.DeleteFunc(e.Runs(), func(r standin.Run) bool { return r.ID == "" })...)
	}
	return runs
}

// configure writes the next version of the configuration; a service that only further kinds name is an engine's.
func (f *fleet) configure(further ...kind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version += 2
	services := []map[string]any{
		{"name": "llm", "maxConns": 100, "engine": map[string]any{"slots": 8}}, {"name": "app", "maxConns": 100},
	}
	for _, k := range further {
		if !slices.ContainsFunc(services, func(s map[string]any) bool { return s["name"] == k.service }) {
			services = append(services, map[string]any{"name": k.service, "maxConns": 100, "engine": map[string]any{"slots": 8}})
		}
	}
	var routes []map[string]any
	for _, k := range slices.Concat(kinds, further) {
		routes = append(routes, k.route())
	}
	f.store.Put(platform.OperatorTable, "", platform.ConfigKey, map[string]any{
		"version": f.version, "routes": routes, "services": services,
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
		},
	})
}

// logFaults returns what must stand in no log.
func (f *fleet) logFaults() []string {
	var faults []string
	for _, v := range f.vms {
		text, err := os.ReadFile(v.log)
		require.NoError(f.t, err)
		for _, bad := range []string{"DATA RACE", "panic: "} {
			if strings.Contains(string(text), bad) {
				faults = append(faults, v.name+" logged "+bad)
			}
		}
	}
	return faults
}
