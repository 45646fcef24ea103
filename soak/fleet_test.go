package soak

import (
	"fmt"
	"net"
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
	host        = "soak.example"
	waitTimeout = 60 * time.Second
	// grace and drain are the platform's time limits for a planned stop, as the settings state them.
	grace = 8 * time.Second
	drain = 2500 * time.Millisecond
	// lostRowRetention is how long the platform keeps the row of a lost endpoint: three of its heartbeats.
	lostRowRetention = time.Second
	// dialInterval is the time between two tries to reach the port of a process that starts.
	dialInterval = 10 * time.Millisecond
)

// lastIP numbers the VMs of all seeds of this test process, so that each has a loopback address of its own.
var lastIP atomic.Uint32

// vm is a VM and the process that runs on it, if any.
type vm struct {
	t        testing.TB
	name     string
	ip       netip.Addr
	link     *proxy
	settings string
	// bounds are further lines of the section of the settings with this name.
	bounds string
	log    string
	// build is the folder of the program that the next start runs.
	build string

	// settingsMu is held while the settings file is invalid, and from the start of a process until it has read the file.
	settingsMu sync.Mutex

	mu              sync.Mutex
	cmd             *exec.Cmd
	done            chan struct{}
	starts          int
	isStopRequested bool
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
%s
[platform]
address = %q
rowBytes = 65536
%s`, v.name, v.ip.String(), v.ip, v.ip, drain.Milliseconds(), int(grace.Seconds()), v.bounds, v.link.addr().String(), extra)
	require.NoError(v.t, os.WriteFile(v.settings, []byte(text), 0o600))
}

// start starts the process unless it is running, and waits until it has read its settings or has ended.
func (v *vm) start() {
	v.settingsMu.Lock()
	defer v.settingsMu.Unlock()
	if done := v.startProcess(); done != nil {
		v.awaitReadyPort(done)
	}
}

// awaitReadyPort waits until the process accepts connections, or is done. It opens its ports after it has read its settings.
func (v *vm) awaitReadyPort(done chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(dialInterval):
		}
		if conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:18140", v.ip), dialInterval); err == nil {
			_ = conn.Close()
			return
		}
	}
}

// startProcess starts the process and returns a channel that is closed when it has ended, or nil if one is running.
func (v *vm) startProcess() chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd != nil {
		return nil
	}
	v.starts++
	file, err := os.OpenFile(v.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(v.t, err)
	cmd := exec.Command(filepath.Join(v.build, "dogwoodledged"), "platform")
	// Without this the race detector delays each exit of the process by 1 s.
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+v.settings, "GORACE=atexit_sleep_ms=0")
	cmd.Stdout, cmd.Stderr = file, file
	require.NoError(v.t, cmd.Start())
	v.cmd, v.done, v.isStopRequested = cmd, make(chan struct{}), false
	go v.run(cmd, v.done, file)
	return v.done
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
	v.isStopRequested = v.isStopRequested || s == syscall.SIGTERM || s == syscall.SIGKILL
	_ = v.cmd.Process.Signal(s)
}

// end sends a terminating signal and kills the process if it still runs after the limit. It returns the time taken and the exit
// code.
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
	// Another fault may have ended this process and started the next.
	if v.cmd == cmd {
		v.cmd = nil
	}
	v.mu.Unlock()
	return time.Since(start), cmd.ProcessState.ExitCode()
}

// hasExitedUnexpectedly reports whether the process exited without a signal to stop.
func (v *vm) hasExitedUnexpectedly() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd == nil || v.isStopRequested {
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

// endpoint is a stand-in endpoint that the VMs reach through a proxy.
type endpoint struct {
	*standin.Endpoint
	link *proxy
}

// fleet is a store, its endpoints and VMs.
type fleet struct {
	t       testing.TB
	dir     string
	store   *standin.Store
	server  *httptest.Server
	vms     []*vm
	version int
	// crashes holds the ends of endpoints under crashing requests, by service.
	crashes map[string]*crashes

	mu        sync.Mutex
	endpoints []*endpoint
	// replaced holds those in whose place others came after they had ended.
	replaced []*endpoint
	started  int
	// accounts are those of the configuration, if it has any.
	accounts []map[string]any
	// bounds are lines of the settings of VMs that are added.
	bounds string
	// added holds the kinds whose routes the configuration has besides those of kinds.
	added []kind
}

func newFleet(t testing.TB, vms int, adjust ...func(*fleet)) *fleet {
	store := standin.NewStore()
	return newAdjustedFleet(t, store, store, adjust, slices.Repeat([]string{binaries}, vms)...)
}

// newAdjustedFleet starts a fleet with a VM of each build, after the adjustments. The VMs call serve, which forwards to the
// store.
func newAdjustedFleet(
	t testing.TB, store *standin.Store, serve http.Handler, adjust []func(*fleet), builds ...string,
) *fleet {
	f := &fleet{t: t, dir: t.TempDir(), store: store}
	f.crashes = map[string]*crashes{status.service: {}, note.service: {}}
	for _, change := range adjust {
		change(f)
	}
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
		require.Eventually(t, v.isReady, waitTimeout, 20*time.Millisecond, "%s is not ready", v.name)
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
		build: build, bounds: f.bounds,
	}
	v.writeSettings("")
	v.start()
	f.t.Cleanup(func() {
		v.signal(syscall.SIGCONT)
		v.end(syscall.SIGKILL, waitTimeout)
	})
	f.vms = append(f.vms, v)
}

// addEndpoint starts an endpoint of the service, applies adjust to it and announces it.
func (f *fleet) addEndpoint(service string, adjust ...func(*standin.Endpoint)) *endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started++
	e := standin.NewEndpoint(fmt.Sprintf("i-%s-%d", service, f.started), service, "syd-a")
	f.t.Cleanup(e.Close)
	for _, change := range adjust {
		change(e)
	}
	e.CrashBody = crashingBody
	e.LengthOf = func(id string) (int, time.Duration, time.Duration) {
		if isLong(id) {
			return longEvents, beforeLong, longItemStep
		}
		return e.Events, e.Step, e.Step
	}
	proxied := &endpoint{Endpoint: e, link: newProxy(f.t, netip.MustParseAddrPort(e.Entry("ready")["address"].(string)))}
	e.OnCrash = func() { go f.crash(proxied) }
	f.endpoints = append(f.endpoints, proxied)
	f.announce(proxied, "ready")
	return proxied
}

// announce writes the endpoint's row to the store, with the address of its proxy.
func (f *fleet) announce(e *endpoint, state string) {
	entry := e.Entry(state)
	entry["address"] = e.link.addr().String()
	f.store.Put(platform.EndpointTable, "", e.ID, entry)
}

// endpointAt returns the endpoint at position n modulo their number.
func (f *fleet) endpointAt(n int) *endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.endpoints[n%len(f.endpoints)]
}

// loseEndpoint ends the endpoint without notice, adds another one, and removes the row of the lost one after lostRowRetention.
func (f *fleet) loseEndpoint(e *endpoint) {
	e.Close()
	e.link.set(linkReset)
	f.addEndpoint(e.Service)
	// This delay is part of the fault; it does not wait for the system to do something.
	time.Sleep(lostRowRetention)
	f.store.Remove(platform.EndpointTable, "", e.ID)
}

// runs returns the requests that all endpoints have run, lost endpoints included.
func (f *fleet) runs() []standin.Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	var runs []standin.Run
	for _, e := range slices.Concat(f.endpoints, f.replaced) {
		// A run without an id is a query of the endpoint's load. The crashing request is counted by the ends of endpoints.
		runs = append(runs, slices.DeleteFunc(e.Runs(), func(r standin.Run) bool { return r.ID == "" || r.Body == crashingBody })...)
	}
	return runs
}

// killEndpoint kills the endpoint: its connections end as those of a killed process do. Its row goes after lostRowRetention.
func (f *fleet) killEndpoint(e *endpoint) {
	_ = e.link.socket.Close()
	e.Kill()
	time.Sleep(lostRowRetention)
	f.store.Remove(platform.EndpointTable, "", e.ID)
}

// runsAt returns the number of runs with the path prefix at the endpoints of a service.
func (f *fleet) runsAt(service, prefix string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, e := range slices.Concat(f.endpoints, f.replaced) {
		if e.Service == service {
			n += len(slices.DeleteFunc(e.Runs(), func(r standin.Run) bool { return !strings.HasPrefix(r.Path, prefix) }))
		}
	}
	return n
}

// setRoute writes a configuration with the route of the kind, or without it.
func (f *fleet) setRoute(k kind, isThere bool) {
	f.mu.Lock()
	f.added = slices.DeleteFunc(f.added, func(a kind) bool { return a.prefix == k.prefix && a.host == k.host })
	if isThere {
		f.added = append(f.added, k)
	}
	f.mu.Unlock()
	f.configure()
}

// configure writes the next version of the configuration to the store; services that only further kinds name
// are declared as engines.
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
	for _, k := range slices.Concat(kinds, f.added, further) {
		routes = append(routes, k.route())
	}
	config := map[string]any{
		"version": f.version, "routes": routes, "services": services,
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
		},
	}
	if len(f.accounts) > 0 {
		config["tenants"] = slices.Clone(f.accounts)
	}
	f.store.Put(platform.OperatorTable, "", platform.ConfigKey, config)
}

// logViolations returns the data races and panics found in the logs.
func (f *fleet) logViolations() []string {
	var violations []string
	for _, v := range f.vms {
		text, err := os.ReadFile(v.log)
		require.NoError(f.t, err)
		for _, mark := range []string{"DATA RACE", "panic: "} {
			if strings.Contains(string(text), mark) {
				violations = append(violations, v.name+" logged "+mark)
			}
		}
	}
	return violations
}
