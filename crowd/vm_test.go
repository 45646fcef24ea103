package crowd

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/platform"
	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

const (
	host = "crowd.example"
	// memoryMb is the memory of the smallest VMs, and the bound on the process's memory.
	memoryMb = 144
	// maxFds is the VM's limit of descriptors, and the bound on those that the process has open.
	maxFds = 1024
	// maxBodyBytes and maxHeaderBytes are the configuration's limits.
	maxBodyBytes   = 4 << 20
	maxHeaderBytes = 16384
	// waitTimeout bounds the waits for the process; it is no bound that the tests check.
	waitTimeout = 60 * time.Second
	// settleTimeout bounds the wait until the memory of a crowd has been given back.
	settleTimeout = 20 * time.Second
	pollPause     = 20 * time.Millisecond
	// bigEvents is the number of events of the stand-in's streams, and so of an item's output of about 300 KB.
	bigEvents = 20_000
)

var (
	binaries string
	lastIP   atomic.Uint32
)

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "dogwoodledge-crowd")
	if err != nil {
		panic(err)
	}
	build := exec.Command("go", "build", "-o", dir+"/", "./cmd/dogwoodledged")
	build.Dir = ".."
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	binaries = dir
	lastIP.Store(uint32(1+os.Getpid()%255) << 8)
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// site is a store, endpoints and one VM, which runs as a process.
type site struct {
	t    *testing.T
	ip   netip.Addr
	log  string
	cmd  *exec.Cmd
	done chan struct{}

	store     *standin.Store
	endpoints []*standin.Endpoint
}

// addEndpoint starts an endpoint of the service and announces it.
func (s *site) addEndpoint(id, service string, adjust func(*standin.Endpoint)) {
	e := standin.NewEndpoint(id, service, "syd-a")
	adjust(e)
	s.t.Cleanup(e.Close)
	s.store.Put(platform.EndpointTable, "", e.ID, e.Entry("ready"))
	s.endpoints = append(s.endpoints, e)
}

// newSite starts a site, after the adjustments, and waits until its VM is ready.
func newSite(t *testing.T, adjust ...func(*site)) *site {
	store := standin.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	s := &site{t: t, done: make(chan struct{}), store: store}
	for _, service := range []string{"app", "llm"} {
		s.addEndpoint("i-"+service, service, func(e *standin.Endpoint) { e.Events, e.Step = bigEvents, 0 })
	}
	for _, change := range adjust {
		change(s)
	}
	store.Put(platform.OperatorTable, "", platform.ConfigKey, configuration())
	n := lastIP.Add(1)
	s.ip = netip.AddrFrom4([4]byte{127, 12, byte(n >> 8), byte(n)})
	s.start(server.Listener.Addr().String())
	require.Eventually(t, s.isReady, waitTimeout, pollPause, "the VM is not ready")
	return s
}

func configuration() map[string]any {
	route := func(kind, prefix, service string) map[string]any {
		return map[string]any{
			"name": "r-" + strings.ReplaceAll(strings.Trim(prefix, "/"), "/", "-"), "host": host, "pathPrefix": prefix,
			"kind": kind, "service": service,
			"timeoutMs": 5000, "targetLatencyMs": 1000, "maxAttempts": 2, "dueMs": 18000, "maxWaitS": 60, "cap": 0,
		}
	}
	return map[string]any{
		"version": 3,
		"routes": []any{
			route("safe", "/status/", "app"), route("stream", "/note/", "llm"), route("batch_job", "/batch/", "llm"),
			route("safe", "/faulty/status/", "faulty"), route("batch_job", "/faulty/batch/", "faulty"),
		},
		"services": []any{
			map[string]any{"name": "llm", "maxConns": 100, "engine": map[string]any{"slots": 8}},
			map[string]any{"name": "app", "maxConns": 100},
			map[string]any{"name": "faulty", "maxConns": 100, "engine": map[string]any{"slots": 8}},
		},
		"limits": map[string]any{
			"maxHeaderBytes": maxHeaderBytes, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
		},
	}
}

func (s *site) start(store string) {
	dir := s.t.TempDir()
	settings := filepath.Join(dir, "settings.toml")
	s.log = filepath.Join(dir, "log")
	text := fmt.Sprintf(`nodeName = "front-1"
ip = %q
zone = "syd-a"
region = "syd"
internalPorts = [17660, 17670]
heartbeatMs = 300
[listen]
front = "%s"
ready = "%s"
[zones]
syd-a = "syd"
[limits]
memoryMb = %d
maxFds = %d
[bounds]
drainMs = 2500
graceS = 8
configApplyMs = 2500
statusS = 120
[platform]
address = %q
rowBytes = 65536
`, s.ip.String(), s.callers(), s.ready(), memoryMb, maxFds, store)
	require.NoError(s.t, os.WriteFile(settings, []byte(text), 0o600))
	file, err := os.Create(s.log)
	require.NoError(s.t, err)
	s.cmd = exec.Command(filepath.Join(binaries, "dogwoodledged"), "platform")
	s.cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+settings)
	s.cmd.Stdout, s.cmd.Stderr = file, file
	require.NoError(s.t, s.cmd.Start())
	go s.run(file)
	s.t.Cleanup(func() {
		_ = s.cmd.Process.Signal(syscall.SIGKILL)
		<-s.done
	})
}

func (s *site) run(file *os.File) {
	_ = s.cmd.Wait()
	_ = file.Close()
	close(s.done)
}

// The addresses of the VM's ports.
func (s *site) callers() string { return s.ip.String() + ":18144" }
func (s *site) ready() string   { return s.ip.String() + ":18140" }
func (s *site) metrics() string { return s.ip.String() + ":7661" }
func (s *site) peers() string   { return s.ip.String() + ":17660" }

func (s *site) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Get("http://" + s.ready() + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// isAlive reports whether the process runs.
func (s *site) isAlive() bool {
	select {
	case <-s.done:
		return false
	default:
		return true
	}
}

// call sends a request with a body over a connection of its own and returns its status, or 0 if there is no answer.
func (s *site) call(method, path, id, body string) (int, string) {
	r, err := http.NewRequest(method, "http://"+s.callers()+path, strings.NewReader(body))
	require.NoError(s.t, err)
	r.Host = host
	r.Header.Set("X-Request-Id", id)
	c := http.Client{Timeout: waitTimeout / 2, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err.Error()
	}
	return res.StatusCode, string(text)
}

// storeResults runs a job of n items whose outputs have about 300 KB each, and waits until all are done.
func (s *site) storeResults(job string, n int) {
	status, text := s.call(http.MethodPost, "/batch/"+job, job, submission(n, 100))
	require.Equal(s.t, http.StatusAccepted, status, text)
	require.Eventually(s.t, func() bool { return s.isDone(job, n) }, waitTimeout, pollPause, "the job's items are not done")
}

// isDone reports whether all n items of the job have a result.
func (s *site) isDone(job string, n int) bool {
	_, text := s.call(http.MethodGet, "/lots/"+job+"?after="+fmt.Sprint(n-1), "read", "")
	page := struct{ Next int }{}
	return json.Unmarshal([]byte(text), &page) == nil && page.Next == n
}

// submission returns the body of a submission of n items, each with a body of this many bytes.
func submission(n, bodyBytes int) string { return submissionTo("/batch/", n, bodyBytes) }

// submissionTo does what submission does for items below the prefix.
func submissionTo(prefix string, n, bodyBytes int) string {
	items := make([]map[string]any, 0, n)
	for i := range n {
		items = append(items, map[string]any{
			"id": fmt.Sprintf("item-%d", i), "path": fmt.Sprintf("%s%d", prefix, i),
			"headers": map[string]string{"X-Token-Count": "540,400"},
			"body":    make([]byte, bodyBytes), "tokens": 940,
		})
	}
	text, err := json.Marshal(map[string]any{"items": items})
	if err != nil {
		panic(err)
	}
	return string(text)
}
