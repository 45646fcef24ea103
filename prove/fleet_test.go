package prove

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/emulator"
	"github.com/dogwoodledge/dogwoodledge/pkg/follower"
	"github.com/dogwoodledge/dogwoodledge/pkg/server"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
	"github.com/dogwoodledge/dogwoodledge/platform"
)

const (
	operatorKey = "operator-key"
	counterKey  = "counter-key"
	kilnKey     = "kiln-key"
	waitTimeout = 60 * time.Second
	// buildFailed begins TestMain's panic if the programs don't compile; TestMutations rejects output that contains it.
	buildFailed = "build of the programs under test failed"
)

var (
	binaries string
	nextPort atomic.Uint32
)

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "dogwoodledge-prove")
	if err != nil {
		panic(err)
	}
	args := []string{"build", "-o", dir + "/"}
	if os.Getenv("PROVE_RACE") != "" {
		args = append(args, "-race")
	}
	build := exec.Command("go", append(args, "./cmd/...")...)
	build.Dir = ".."
	if out, err := build.CombinedOutput(); err != nil {
		panic(buildFailed + ":\n" + string(out))
	}
	binaries = dir
	// Each process starts at a port of its own. Two test processes could otherwise take the ports of each other's stopped VMs.
	nextPort.Store(20000 + uint32(os.Getpid()%24)*500)
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// freeAddress returns a loopback address whose port is free for TCP and UDP. Ports are taken from below the ephemeral range, from
// which the operating system assigns them.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	for range 1000 {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(nextPort.Add(1)))
		tcp, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
		if err != nil {
			continue
		}
		udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
		_ = tcp.Close()
		if err != nil {
			continue
		}
		_ = udp.Close()
		return addr
	}
	require.Fail(t, "no free port")
	return netip.AddrPort{}
}

// process is a program started by the test, with its log.
type process struct {
	name string
	cmd  *exec.Cmd
	log  string
	done chan struct{}
}

// start runs a program until the test ends; the log must then show no data race and no panic.
func start(t *testing.T, name string, args ...string) *process {
	t.Helper()
	log := filepath.Join(t.TempDir(), name+".log")
	file, err := os.Create(log)
	require.NoError(t, err)
	program := args[0]
	if !filepath.IsAbs(program) {
		program = filepath.Join(binaries, program)
	}
	p := &process{name: name, cmd: exec.Command(program, args[1:]...), log: log, done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = file, file
	require.NoError(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		_ = file.Close()
		close(p.done)
	}()
	t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.done
		raw, _ := os.ReadFile(log)
		assert.NotContains(t, string(raw), "DATA RACE", "%s", name)
		assert.NotContains(t, string(raw), "panic: ", "%s", name)
		if t.Failed() {
			lines := strings.Split(string(raw), "\n")
			t.Logf("--- %s\n%s", name, strings.Join(lines[max(0, len(lines)-25):], "\n"))
		}
	})
	return p
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// vm is a VM that runs dogwoodledged.
type vm struct {
	*process
	id, region, zone          string
	callers, operators, peers netip.AddrPort
	platform                  netip.AddrPort
	// build is the folder of the program that the next start runs.
	build string
}

func (v *vm) url(path string) string { return "http://" + v.callers.String() + path }

// fleet is a complete system on loopback: platform, engines, booking service and VMs.
type fleet struct {
	t        *testing.T
	platform netip.AddrPort
	store    *storer.TableStore
	vms      []*vm
	engines  []netip.AddrPort
	procs    map[string]*process
	booking  netip.AddrPort
	dir      string
}

type fleetSize struct {
	vms, engines int
	engineArgs   []string
	segmentItems int
}

// newFleet starts a fleet of the given size in one region, applies the declarations and waits until every VM is ready.
func newFleet(t *testing.T, size fleetSize) *fleet {
	t.Helper()
	f := newStandins(t, size)
	for i := range size.vms {
		f.startVM(fmt.Sprintf("vm-%d", i+1), size.segmentItems)
	}
	f.begin()
	return f
}

// newStandins starts the stand-ins of a fleet without VMs: a platform, engines and a booking service.
func newStandins(t *testing.T, size fleetSize) *fleet {
	t.Helper()
	f := &fleet{t: t, procs: map[string]*process{}, dir: t.TempDir()}
	f.platform = f.startStandin("platform", "platform")
	f.store = storer.NewTableStore(platform.NewStore(f.platform, "proof"))
	for i := range size.engines {
		f.engines = append(f.engines, f.startStandin(fmt.Sprintf("engine-%d", i+1), append([]string{"engine"}, size.engineArgs...)...))
	}
	f.booking = f.startStandin("booking-1", "service")
	return f
}

// begin waits until the VMs list each other as live, applies the declarations and waits until every VM is ready.
func (f *fleet) begin() {
	f.t.Helper()
	f.awaitMembers()
	f.apply()
	for _, v := range f.vms {
		f.awaitReady(v)
	}
}

func (f *fleet) startStandin(name string, args ...string) netip.AddrPort {
	f.t.Helper()
	addr := freeAddress(f.t)
	f.procs[name] = start(f.t, name, append([]string{"standin", "--listen", addr.String()}, args...)...)
	f.await(name+" listens", func() bool {
		c, err := net.DialTimeout("tcp", addr.String(), time.Second)
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	})
	return addr
}

func (f *fleet) startVM(id string, segmentItems int) *vm {
	f.t.Helper()
	return f.startVMIn(id, "syd", f.platform, segmentItems)
}

// startVMIn starts a VM in the given region that reaches the platform at the given address.
func (f *fleet) startVMIn(id, region string, platform netip.AddrPort, segmentItems int) *vm {
	f.t.Helper()
	return f.startBuild(binaries, id, region, platform, segmentItems)
}

// startBuild starts a VM that runs the build in the given folder.
func (f *fleet) startBuild(build, id, region string, platform netip.AddrPort, segmentItems int) *vm {
	f.t.Helper()
	v := &vm{
		id: id, region: region, zone: region + "-a", platform: platform, build: build,
		callers: freeAddress(f.t), operators: freeAddress(f.t), peers: freeAddress(f.t),
	}
	f.post("http://"+f.platform.String()+"/admin/vms", storer.VMRecord{
		ID: id, Address: v.peers, Region: v.region, AvailabilityZone: v.zone,
	})
	f.runVM(v, segmentItems)
	f.vms = append(f.vms, v)
	return v
}

func (f *fleet) runVM(v *vm, segmentItems int) {
	f.t.Helper()
	settings := fmt.Sprintf(`vm: {id: %s, region: %s, availabilityZone: %s}
listen: {callers: %s, operators: %s, vms: %s}
platform: {address: %s, timeout: 1s}
fleet: {key: 000102030405060708090a0b0c0d0e0f}
operators: {keyHashes: ["%s"]}
lease: {length: 2s, renew: 500ms}
pollEvery: 1s
trace: {file: %s}
segmentItems: %d
`, v.id, v.region, v.zone, v.callers, v.operators, v.peers, v.platform, follower.HashKey(operatorKey),
		filepath.Join(f.dir, v.id+".spans"), max(1, segmentItems))
	file := filepath.Join(f.dir, v.id+".yaml")
	require.NoError(f.t, os.WriteFile(file, []byte(settings), 0o600))
	v.process = start(f.t, v.id, filepath.Join(v.build, "dogwoodledged"), "--settings", file)
	f.await(v.id+" listens", func() bool {
		res, err := http.Get(v.url("/healthz"))
		if err == nil {
			_ = res.Body.Close()
		}
		return err == nil
	})
}

func (f *fleet) awaitReady(v *vm) {
	f.t.Helper()
	f.await(v.id+" is ready", func() bool {
		res, err := http.Get(v.url("/readyz"))
		if err != nil {
			return false
		}
		_ = res.Body.Close()
		return res.StatusCode == http.StatusOK
	})
}

// awaitMembers waits until every VM counts all VMs as live members.
func (f *fleet) awaitMembers() {
	f.t.Helper()
	for _, v := range f.vms {
		f.await(v.id+" counts all VMs as live", func() bool { return f.liveMembers(v) == len(f.vms) })
	}
}

func (f *fleet) liveMembers(v *vm) int {
	n, _ := f.metric(v, "dogwoodledge_members_live")
	return n
}

// metric returns the value of the VM's first metric whose name begins with the given one, and whether there is any.
func (f *fleet) metric(v *vm, name string) (int, bool) {
	res, err := http.Get("http://" + v.operators.String() + "/metrics")
	if err != nil {
		return 0, false
	}
	defer func() { _ = res.Body.Close() }()
	raw, _ := io.ReadAll(res.Body)
	for _, line := range strings.Split(string(raw), "\n") {
		if strings.HasPrefix(line, name) {
			n := 0
			_, _ = fmt.Sscanf(line[strings.LastIndexByte(line, ' ')+1:], "%d", &n)
			return n, true
		}
	}
	return 0, false
}

const declarations = `kind: region
name: syd
availabilityZones: [syd-a]
holdsStore: true
---
kind: region
name: norr
availabilityZones: [norr-a]
---
kind: link
name: syd-norr
regions: [syd, norr]
megabitsPerSecond: 30
oneWayDelay: 1ms
bulkShare: 0.5
onlineOverflowShare: 0.5
---
kind: account
name: counter
keyHashes: ["%s"]
limits: {requestsPerSecond: 10000, tokensPerSecond: 10000000}
---
kind: account
name: kiln
keyHashes: ["%s"]
limits: {requestsPerSecond: 10000, tokensPerSecond: 10000000}
---
kind: model
name: card-writer
contextTokens: 8192
defaultTokens: 16
---
kind: service
name: booking
routes:
  - {method: GET, path: /offers, idempotent: true, timeout: 5s}
  - {method: POST, path: /bookings, idempotent: false, timeout: 5s}
---
kind: endpoint
name: booking-1
address: %s
region: syd
availabilityZone: syd-a
service: booking
slots: 64
---
`

const presetText = `kind: preset
name: %s
description: %s
online: {firstTokenTarget: 610ms, tokenGapTarget: 68ms, deadline: 30s, queueLimit: 512}
batch: {reservedShare: 0.1, latencyHeadroom: 0.8, itemDeadline: 1m, itemAttempts: 3}
retry: {onlineBudget: 0.5, batchBudget: 0.5}
---
`

func (f *fleet) declarations() []byte {
	b := &bytes.Buffer{}
	_, _ = fmt.Fprintf(b, declarations, follower.HashKey(counterKey), follower.HashKey(kilnKey), f.booking)
	for i, addr := range f.engines {
		_, _ = fmt.Fprintf(b, "kind: endpoint\nname: engine-%d\naddress: %s\nregion: syd\navailabilityZone: syd-a\n"+
			"models: [card-writer]\nslots: 16\n---\n", i+1, addr)
	}
	_, _ = fmt.Fprintf(b, presetText+presetText, "ordinary", "An ordinary day", "peak", "A rush")
	return b.Bytes()
}

func (f *fleet) apply() {
	f.t.Helper()
	file := filepath.Join(f.dir, "declarations")
	require.NoError(f.t, os.MkdirAll(file, 0o700))
	require.NoError(f.t, os.WriteFile(filepath.Join(file, "all.yaml"), f.declarations(), 0o600))
	out, err := f.cli(f.vms[0], operatorKey, "apply", "-f", file, "--expect", "0", "--preset", "ordinary")
	require.NoError(f.t, err, out)
}

// cli runs the command-line client against a VM and returns its output.
func (f *fleet) cli(v *vm, key string, args ...string) (string, error) {
	return f.cliOf(binaries, v, key, args...)
}

// cliOf runs the command-line client of the build in the given folder against a VM and returns its output.
func (f *fleet) cliOf(build string, v *vm, key string, args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(build, "dogwoodledge"),
		append([]string{"--operators", v.operators.String(), "--callers", v.callers.String()}, args...)...)
	cmd.Env = append(os.Environ(), "DOGWOODLEDGE_KEY="+key)
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// await waits until the condition holds, and fails the test after waitTimeout.
func (f *fleet) await(what string, isTrue func() bool) {
	f.t.Helper()
	require.Eventually(f.t, isTrue, waitTimeout, 20*time.Millisecond, what)
}

func (f *fleet) post(url string, body any) {
	f.t.Helper()
	raw, err := json.Marshal(body)
	require.NoError(f.t, err)
	res, err := http.Post(url, "application/json", bytes.NewReader(raw))
	require.NoError(f.t, err)
	_ = res.Body.Close()
	require.Less(f.t, res.StatusCode, 300)
}

func (f *fleet) platformFaults(faults emulator.PlatformFaults) {
	f.t.Helper()
	f.post("http://"+f.platform.String()+"/admin/faults", faults)
}

func (f *fleet) engineFaults(i int, faults emulator.EngineFaults) {
	f.t.Helper()
	f.post("http://"+f.engines[i].String()+"/admin/faults", faults)
}

func (f *fleet) serviceFaults(faults emulator.ServiceFaults) {
	f.t.Helper()
	f.post("http://"+f.booking.String()+"/admin/faults", faults)
}

func (f *fleet) counts(addr netip.AddrPort, path string) map[string]int {
	f.t.Helper()
	res, err := http.Get("http://" + addr.String() + path)
	require.NoError(f.t, err)
	defer func() { _ = res.Body.Close() }()
	counts := map[string]int{}
	require.NoError(f.t, json.NewDecoder(res.Body).Decode(&counts))
	return counts
}

func (f *fleet) ledger() map[string]int { return f.counts(f.booking, "/admin/ledger") }

func (f *fleet) executions(i int) int { return len(f.counts(f.engines[i], "/admin/executions")) }

// answer is the answer to a call, or the error in its place.
type answer struct {
	status  int
	outcome string
	retry   string
	vm      string
	body    string
	problem server.Problem
	err     error
}

type call struct {
	method, path, key, body, idempotencyKey, timeout string
}

func (f *fleet) do(v *vm, c call) answer {
	r, err := http.NewRequestWithContext(context.Background(), c.method, v.url(c.path), strings.NewReader(c.body))
	if err != nil {
		return answer{err: err}
	}
	r.Header.Set("Authorization", "Bearer "+c.key)
	r.Header.Set("Content-Type", "application/json")
	if c.idempotencyKey != "" {
		r.Header.Set("Idempotency-Key", c.idempotencyKey)
	}
	if c.timeout != "" {
		r.Header.Set("X-Request-Timeout", c.timeout)
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	a := answer{
		status: res.StatusCode, outcome: res.Header.Get("Dogwoodledge-Outcome"), retry: res.Header.Get("Retry-After"),
		vm: res.Header.Get("Dogwoodledge-VM"), body: string(raw), err: err,
	}
	_ = json.Unmarshal(raw, &a.problem)
	return a
}

func (f *fleet) book(v *vm, key, body string) answer {
	return f.do(v, call{method: http.MethodPost, path: "/services/booking/bookings", key: kilnKey, body: body, idempotencyKey: key})
}
