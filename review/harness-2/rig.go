//go:build review2

// Command harness-2 plays the cases of the second review that are scripts: real daemons on loopback addresses, with stand-ins of
// the platform, the runners and the clients that follow the users' pages.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
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

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// rig holds the processes and stand-ins of one play.
type rig struct {
	*record
	dir        string
	store      *standin.Store
	storeAddr  string
	hasTrouble bool

	mu      sync.Mutex
	daemons map[string]*daemon
}

// daemon is one VM and its process.
type daemon struct {
	rig            *rig
	name, ip, link string
	cmd            *exec.Cmd
	done           chan struct{}
}

func newRig(recordFile string) (*rig, error) {
	file, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	r := &rig{
		record: &record{file: file, start: time.Now()}, dir: dir, store: standin.NewStore(), daemons: map[string]*daemon{},
		hasTrouble: os.Getenv("TROUBLE") != "0",
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r.storeAddr = l.Addr().String()
	go func() { _ = http.Serve(l, r.store) }()
	return r, nil
}

// close ends all processes that the rig started.
func (r *rig) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range r.daemons {
		d.kill()
	}
	_ = os.RemoveAll(r.dir)
	_ = r.file.Close()
}

// ipOf returns the address of the n-th VM; the addresses of plays that run at once differ.
func ipOf(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 60+os.Getpid()/250%100, 1+os.Getpid()%250, n+1)
}

// addDaemon returns the n-th VM, which is not started.
func (r *rig) addDaemon(n int) *daemon {
	d := &daemon{rig: r, name: fmt.Sprintf("front-syd-a-%d", n+1), ip: ipOf(n), link: r.storeAddr}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.daemons[d.name] = d
	return d
}

const settings = `nodeName = %[1]q
role = "gateway"
machineClass = "front"
serves = ["front"]
ip = %[2]q
zone = "syd-a"
region = "syd"
internalPorts = [7660, 7675]
seeds = []
bootstrap = true
lossCounted = false
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","recover","batch","stream","engine","platform"]
[zones]
syd-a = "syd"
[listen]
front = "%[2]s:8144"
ready = "%[2]s:8140"
[limits]
cpuShare = 0.8
cpuCores = 1
memoryMb = 324
maxFds = 8200
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
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
address = %[3]q
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
`

// start starts the VM's process with the command of the deploy file.
func (d *daemon) start() error {
	file := filepath.Join(d.rig.dir, d.name+".toml")
	if err := os.WriteFile(file, fmt.Appendf(nil, settings, d.name, d.ip, d.link), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.rig.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/dogwoodledged", "platform")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.rig.dir, "LANG=C", "DOGWOODLEDGE_BOOT=" + file}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	d.cmd, d.done = cmd, make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(d.done)
	}()
	return nil
}

func (d *daemon) signal(s syscall.Signal) {
	if d.cmd != nil {
		_ = d.cmd.Process.Signal(s)
	}
}

// kill ends the process at once.
func (d *daemon) kill() {
	if d.cmd == nil {
		return
	}
	d.signal(syscall.SIGKILL)
	<-d.done
	d.cmd = nil
}

// awaitReady waits until the VM answers its readiness check with 200.
func (d *daemon) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		res, err := http.Get("http://" + d.ip + ":8140/readyz")
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// answer is what a client got; status is 0 if it got none.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// call sends a request on a new connection, as clients of batch jobs do.
func (d *daemon) call(method, path, host, id string, header map[string]string, body []byte) answer {
	client := &http.Client{
		Timeout: 8 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true},
	}
	r, err := http.NewRequest(method, "http://"+d.ip+":8144"+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	r.Host = host
	if id != "" {
		r.Header.Set("X-Request-Id", id)
	}
	for name, value := range header {
		r.Header.Set(name, value)
	}
	res, err := client.Do(r)
	if err != nil {
		d.rig.printf("%s %s at %s: no answer: %v", method, path, d.name, err)
		return answer{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	shown := strings.TrimSpace(string(text))
	d.rig.printf("%s %s (id %s) at %s: %d %.160s", method, path, id, d.name, res.StatusCode, shown)
	return answer{status: res.StatusCode, header: res.Header, body: text, err: err}
}

type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int64             `json:"tokens"`
}

func itemsBody(items []item) []byte {
	text, err := json.Marshal(map[string]any{"items": items})
	if err != nil {
		panic(err)
	}
	return text
}

type result struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Output string `json:"output"`
}

type page struct {
	Total   int      `json:"total"`
	Next    int      `json:"next"`
	Results []result `json:"results"`
}
