//go:build review

package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	mrand "math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

// host is the host of all routes.
const host = "ficu95.example"

// entryLife is how long the entry of a runner that crashed stays: three of its heartbeats.
const entryLife = 3 * 1200 * time.Millisecond

// The ports of all machines, of the store and of the runners; they are drawn anew for each run, as the addresses are.
var frontPort, readyPort, internalPort, storePort, runnerPort int

// drawPorts draws ports that are free at the address.
func drawPorts(ip string) error {
	for _, port := range []*int{&frontPort, &readyPort, &internalPort, &storePort, &runnerPort} {
		l, err := listen(ip + ":0")
		if err != nil {
			return err
		}
		defer func() { _ = l.Close() }()
		*port = l.Addr().(*net.TCPAddr).Port
	}
	return nil
}

// world is a small deployment: machines with daemons, the store, and runners.
type world struct {
	// isTroubled says that the disruption takes place.
	isTroubled bool
	start      time.Time
	folder     string
	net        string
	store      *standin.Store
	storeSrv   *http.Server
	storeConns *standin.Port
	storeAddr  string

	mu       sync.Mutex
	record   io.Writer
	machines []*machine
	runners  []*runner
	version  int
}

func newWorld(record io.Writer, isTroubled bool) (*world, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{
		isTroubled: isTroubled, start: time.Now(), folder: folder, record: record, store: standin.NewStore(),
		net: fmt.Sprintf("127.%d.%d.", 2+mrand.IntN(250), 1+mrand.IntN(250)),
	}
	if err := drawPorts(w.net + "1"); err != nil {
		return nil, err
	}
	w.storeAddr = fmt.Sprintf("%s1:%d", w.net, storePort)
	listener, err := listen(w.storeAddr)
	if err != nil {
		return nil, err
	}
	w.storeSrv, w.storeConns = &http.Server{Handler: w.store}, standin.NewPort(listener)
	go func() { _ = w.storeSrv.Serve(w.storeConns) }()
	w.logf("start; disruption: %t", isTroubled)
	return w, nil
}

// listen opens a port.
func listen(address string) (net.Listener, error) {
	c := net.ListenConfig{}
	return c.Listen(context.Background(), "tcp4", address)
}

// logf writes a line to the record.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f "+format+"\n", append([]any{time.Since(w.start).Seconds()}, args...)...)
}

// close ends all processes and stand-ins.
func (w *world) close() {
	for _, m := range w.machines {
		m.kill()
	}
	for _, r := range w.allRunners() {
		r.crash()
	}
	_ = w.storeSrv.Close()
	_ = os.RemoveAll(w.folder)
}

func (w *world) allRunners() []*runner {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*runner(nil), w.runners...)
}

// configure writes the next version of the configuration, as the operator does.
func (w *world) configure(routes, services []map[string]any) {
	w.version += 3
	w.store.Put("op", "", "config", map[string]any{
		"version": w.version, "routes": routes, "services": services,
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
		},
	})
	names := make([]string, 0, len(routes))
	for _, r := range routes {
		names = append(names, fmt.Sprint(r["kind"], " ", r["pathPrefix"]))
	}
	w.logf("configuration %d acknowledged: %s", w.version, strings.Join(names, ", "))
}

// batchRoute returns a route for batch jobs like those of the small deployments.
func batchRoute(prefix, service string) map[string]any {
	return map[string]any{
		"name": "r-batch", "host": host, "pathPrefix": prefix, "kind": "batch_job", "timeoutMs": 15000, "targetLatencyMs": 400,
		"priority": 2, "service": service, "maxAttempts": 3, "sessionAffinity": true, "resumable": true, "gapTargetMs": 250,
		"dueMs": 18000, "maxWaitS": 60, "cap": 2000000,
	}
}

// safeRoute returns a route for requests that may be repeated.
func safeRoute(name, prefix, service string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "pathPrefix": prefix, "kind": "safe", "timeoutMs": 1500, "targetLatencyMs": 250,
		"priority": 2, "service": service, "maxAttempts": 2,
	}
}

// engineService returns a service of model runners.
func engineService(name string) map[string]any {
	return map[string]any{
		"name": name, "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": 8, "kvCapacity": 101945, "kvTokenBytes": 35136, "linkMbps": 740000.0, "stride": 7,
			"models": []map[string]any{{"name": "m"}},
		},
	}
}

// plainService returns a service without models.
func plainService(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/healthz", "maxConns": 96, "protocol": "h1", "tls": false}
}

// machine is a machine with one daemon.
type machine struct {
	w        *world
	name, ip string
	settings string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// startMachines starts n machines and waits until all are ready.
func (w *world) startMachines(n int) error {
	for i := range n {
		m := &machine{w: w, name: fmt.Sprintf("front-syd-a-%d", i+1), ip: fmt.Sprintf("%s%d", w.net, 10+i)}
		m.settings = filepath.Join(w.folder, m.name+".toml")
		if err := os.WriteFile(m.settings, []byte(m.settingsText()), 0o600); err != nil {
			return err
		}
		w.machines = append(w.machines, m)
		if err := m.run(); err != nil {
			return err
		}
	}
	for _, m := range w.machines {
		if err := m.awaitReady(20 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (m *machine) settingsText() string {
	return fmt.Sprintf(`nodeName = %[1]q
role = "gateway"
machineClass = "front"
serves = ["front"]
ip = %[2]q
zone = "syd-a"
region = "syd"
internalPorts = [%[3]d,%[4]d]
seeds = []
bootstrap = true
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","recover","batch","stream","engine","platform"]
[zones]
syd-a = "syd"
[listen]
front = "%[2]s:%[5]d"
ready = "%[2]s:%[6]d"
[limits]
cpuShare = 0.8
cpuCores = 1
memoryMb = 324
maxFds = 8200
linkMbps = 1000.0
diskMb = 0
[bounds]
seedLagS = 3
addrReuseS = 2
stableMs = 4000
ackMs = 5000
catchUpS = 4.8
drainMs = 2500
graceS = 8
lossSlackMs = 200
configApplyMs = 2500
rollbackSlackMs = 250
maxStretchMs = 6000
recoveryS = 12
passMs = 300
retryAfterS = 0
finishS = 18
statusS = 120
cancelMs = 3000
settleMs = 1000
quotaOverage = 0.1
[platform]
address = %[7]q
form = "table"
writesPerS = 800
readsPerS = 2000
txMs = 3.0
partWritesS = 300
rowBytes = 65536
across = true
historyS = 20
blobBytes = 8388608
blobMs = 25.0
blobMbS = 80.0
`, m.name, m.ip, internalPort, min(internalPort+15, 65535), frontPort, readyPort, m.w.storeAddr)
}

// command returns the words of the run line of the deploy file.
func command() ([]string, error) {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if name, value, ok := strings.Cut(line, "="); ok && strings.TrimSpace(name) == "run" {
			return strings.Fields(strings.Trim(strings.TrimSpace(value), `"`)), nil
		}
	}
	return nil, errors.New("deploy/system.toml has no run line")
}

// run starts the daemon's process.
func (m *machine) run() error {
	words, err := command()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(logFolder(), m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(words[0], words[1:]...) //nolint:noctx // the process is ended by kill.
	cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "DOGWOODLEDGE_BOOT=" + m.settings,
	}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	m.mu.Lock()
	m.cmd, m.done = cmd, make(chan struct{})
	done := m.done
	m.mu.Unlock()
	go func() {
		err := cmd.Wait()
		m.w.logf("%s: process ended: %v", m.name, err)
		_ = log.Close()
		close(done)
	}()
	m.w.logf("%s: process started at %s", m.name, m.ip)
	return nil
}

// logFolder returns where the daemons' logs go: LOGS, or a temporary folder of the system.
func logFolder() string {
	if f := os.Getenv("LOGS"); f != "" {
		return f
	}
	return os.TempDir()
}

// kill ends the process and waits for its end.
func (m *machine) kill() {
	m.mu.Lock()
	cmd, done := m.cmd, m.done
	m.cmd = nil
	m.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGKILL)
	<-done
	m.w.logf("%s: process killed", m.name)
}

// hasEnded reports whether the process has ended.
func (m *machine) hasEnded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case <-m.done:
		return true
	default:
		return false
	}
}

// awaitReady waits until the readiness check answers 200.
func (m *machine) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		r, _ := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/readyz", m.ip, readyPort), nil)
		res, err := freshClient().Do(r)
		cancel()
		if err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				m.w.logf("%s: ready", m.name)
				return nil
			}
		}
	}
	return fmt.Errorf("%s is not ready after %s", m.name, limit)
}

// freshClient returns a client that opens a new connection for each call.
func freshClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
}

// newID returns an id as clients and runners draw them.
func newID() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}
