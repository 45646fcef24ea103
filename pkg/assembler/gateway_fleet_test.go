package assembler_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/fx"

	"github.com/dogwoodledge/dogwoodledge/pkg/assembler"
	"github.com/dogwoodledge/dogwoodledge/pkg/gossiper"
	"github.com/dogwoodledge/dogwoodledge/pkg/isolator"
	"github.com/dogwoodledge/dogwoodledge/pkg/loader"
	"github.com/dogwoodledge/dogwoodledge/pkg/peersyncer"
	"github.com/dogwoodledge/dogwoodledge/pkg/ratesharer"
	"github.com/dogwoodledge/dogwoodledge/pkg/resumer"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
	"github.com/dogwoodledge/dogwoodledge/pkg/tracer"
	"github.com/dogwoodledge/dogwoodledge/pkg/watcher"
	"github.com/dogwoodledge/dogwoodledge/platform"
	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

const (
	testHost = "desk.example"
	maxWait  = 20 * time.Second
)

var lastIP atomic.Uint32

// testFleet is a store, endpoints and VMs that run in the test's process.
type testFleet struct {
	t         *testing.T
	store     *standin.Store
	server    *httptest.Server
	endpoints []*standin.Endpoint
	vms       []*testVM
	routes    []map[string]any
	// accounts are those of the configuration; none if it is nil.
	accounts []map[string]any
	// revokeAfter is the bound for revoked keys in the settings of the VMs that are added; 0 if there is none.
	revokeAfter time.Duration
	version     int64
	jobStatus   time.Duration
	// grace is the grace period of the VMs that are added.
	grace time.Duration
	// region and storeAddr are those of the VMs that are added; storeAddr is the store's own if it is not valid.
	region    string
	storeAddr netip.AddrPort
	// prepare, if set, is called with each endpoint that is added before it registers.
	prepare func(*standin.Endpoint)
	// isPartitionable makes the VMs that are added have partitions.
	isPartitionable bool
	// addresses holds those of the endpoints.
	addresses sync.Map
}

type testVM struct {
	name string
	ip   netip.Addr
	app  *fx.App
	base string
	// gossiper is that of the VM's app.
	gossiper *gossiper.Gossiper
	// rateSharer is that of the VM's app.
	rateSharer *ratesharer.Sharer
	// isolator is that of the VM's app.
	isolator  *isolator.Isolator
	endpoints *peersyncer.Table
	watcher   *watcher.Watcher
	// partition is between the VM and all endpoints, if the fleet is partitionable.
	partition *partition
}

func route(kind, prefix, service string, extra map[string]any) map[string]any {
	r := map[string]any{
		"name": "r-" + strings.Trim(prefix, "/"), "host": testHost, "pathPrefix": prefix, "kind": kind, "service": service,
		"timeoutMs": 5000, "targetLatencyMs": 1000, "maxAttempts": 2, "priority": 0,
	}
	for k, v := range extra {
		r[k] = v
	}
	return r
}

func defaultRoutes() []map[string]any {
	return []map[string]any{
		route("safe", "/status/", "app", nil),
		route("non_idempotent", "/book/", "app", nil),
		route("stream", "/draft/", "llm", map[string]any{"maxAttempts": 1}),
		route("stream", "/note/", "llm", map[string]any{"resumable": true}),
		route("safe", "/mark/", "mark", nil),
		route("batch_job", "/batch/", "llm", map[string]any{"maxAttempts": 3, "dueMs": 18000, "maxWaitS": 60, "cap": 0}),
	}
}

// newFleet starts a store with a configuration, two endpoints for each of two services, and n VMs, and waits until they are
// ready.
func newFleet(t *testing.T, n int) *testFleet {
	t.Helper()
	f := &testFleet{
		t: t, store: standin.NewStore(), routes: defaultRoutes(), jobStatus: 2 * time.Minute, grace: 8 * time.Second, region: "syd",
	}
	f.server = httptest.NewServer(f.store)
	t.Cleanup(func() {
		f.server.CloseClientConnections()
		f.server.Close()
	})
	for _, service := range []string{"llm", "app"} {
		f.addEndpoint("i-"+service+"-1", service)
		f.addEndpoint("i-"+service+"-2", service)
	}
	f.configure()
	for range n {
		f.addVM()
	}
	return f
}

func (f *testFleet) addEndpoint(id, service string) *standin.Endpoint {
	e := standin.NewEndpoint(id, service, "syd-a")
	f.t.Cleanup(e.Close)
	if f.prepare != nil {
		f.prepare(e)
	}
	f.endpoints = append(f.endpoints, e)
	f.addresses.Store(e.Entry("ready")["address"], true)
	f.store.Put("servers", "", id, e.Entry("ready"))
	return e
}

func (f *testFleet) endpoint(id string) *standin.Endpoint {
	for _, e := range f.endpoints {
		if e.ID == id {
			return e
		}
	}
	require.Fail(f.t, "no endpoint "+id)
	return nil
}

func (f *testFleet) configure() {
	f.version += 3
	config := map[string]any{
		"version": f.version, "routes": f.routes,
		"services": []map[string]any{
			{"name": "llm", "maxConns": 100, "healthPath": standin.HealthPath, "engine": map[string]any{"slots": 8}},
			{"name": "app", "maxConns": 100, "healthPath": standin.HealthPath},
		},
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
		},
	}
	if f.accounts != nil {
		config["tenants"] = f.accounts
	}
	f.store.Put("op", "", "config", config)
}

// batchRoute returns the route of batch jobs.
func (f *testFleet) batchRoute() map[string]any {
	for _, r := range f.routes {
		if r["kind"] == "batch_job" {
			return r
		}
	}
	require.Fail(f.t, "no batch route")
	return nil
}

// routeOf returns the route with the path prefix.
func (f *testFleet) routeOf(prefix string) map[string]any {
	for _, r := range f.routes {
		if r["pathPrefix"] == prefix {
			return r
		}
	}
	require.Fail(f.t, "no route "+prefix)
	return nil
}

// awaitRoute waits until every VM serves the route with the path prefix.
func (f *testFleet) awaitRoute(prefix string) {
	f.t.Helper()
	for _, vm := range f.vms {
		require.Eventually(f.t, func() bool {
			a := f.call(f.t.Context(), vm, http.MethodPost, prefix+"1", newID("m"), "", withHeader("X-Deadline-Ms", "2000"))
			return a.status == http.StatusOK
		}, maxWait, 10*time.Millisecond, "route %s is not served", prefix)
	}
}

// awaitConfig stores a new configuration and waits until it is active on every VM, observed by a route that is new in it.
func (f *testFleet) awaitConfig() {
	f.t.Helper()
	prefix := fmt.Sprintf("/version%d/", f.version)
	f.routes = append(f.routes, route("safe", prefix, "app", map[string]any{"public": true}))
	f.configure()
	f.awaitRoute(prefix)
}

// awaitEndpoints waits until every VM has received all endpoint rows written so far. It writes one more row, for the only
// endpoint of a service, and waits until that service's route is served: rows arrive in the order of their writes.
func (f *testFleet) awaitEndpoints() {
	f.t.Helper()
	f.addEndpoint("i-mark-1", "mark")
	f.awaitRoute("/mark/")
}

// awaitPeers waits until every VM knows all others.
func (f *testFleet) awaitPeers() {
	f.t.Helper()
	for _, vm := range f.vms {
		require.Eventually(f.t, func() bool { return len(vm.gossiper.LiveVMs()) == len(f.vms) }, maxWait, 10*time.Millisecond,
			"%s does not know all VMs", vm.name)
	}
}

// awaitRecord waits until the store holds the record of the service's software versions, n of which are current.
func (f *testFleet) awaitRecord(service string, n int) {
	f.t.Helper()
	table := platform.NewStore(netip.MustParseAddrPort(f.server.Listener.Addr().String()), "test")
	require.Eventually(f.t, func() bool {
		page, err := table.Scan(f.t.Context(), storer.Range{Table: resumer.Table, From: service, To: service + "\x00"})
		if err != nil || len(page.Entries) == 0 {
			return false
		}
		row := struct{ Current []uint64 }{}
		return json.Unmarshal(page.Entries[0].Value, &row) == nil && len(row.Current) == n
	}, maxWait, 10*time.Millisecond, "no record of %d software versions of service %s", n, service)
}

// requireNoRequests sends requests to the VM and checks that none of them reaches the endpoint.
func (f *testFleet) requireNoRequests(vm *testVM, e *standin.Endpoint) {
	f.t.Helper()
	before := len(e.Runs())
	for range 10 {
		assert.Equal(f.t, 200, f.call(f.t.Context(), vm, http.MethodPost, "/status/1", newID("s"), "").status)
	}
	assert.Len(f.t, e.Runs(), before)
}

func (f *testFleet) settings(name string) platform.Settings {
	n := lastIP.Add(1)
	// Each test process has addresses of its own, so that several can run at once.
	ip := netip.AddrFrom4([4]byte{127, byte(10 + os.Getpid()%200), byte(n >> 8), byte(n)})
	storeAddr := f.storeAddr
	if !storeAddr.IsValid() {
		storeAddr = netip.MustParseAddrPort(f.server.Listener.Addr().String())
	}
	return platform.Settings{
		VM: loader.VMSettings{ID: name, Region: f.region, AvailabilityZone: f.region + "-a"}, IP: ip,
		Callers: netip.AddrPortFrom(ip, 18144), Ready: netip.AddrPortFrom(ip, 18140), FirstPort: 17660, LastPort: 17670,
		Store: storeAddr, RowBytes: 65536,
		Regions: map[string]string{"syd-a": "syd", "norr-a": "norr"}, EndpointHeartbeat: time.Second, Drain: 2500 * time.Millisecond,
		Grace: f.grace, ConfigApply: 2500 * time.Millisecond, JobStatus: f.jobStatus,
		MemoryBytes: 4 << 30, FileDescriptors: 8000, IsRevocationStrict: f.revokeAfter > 0, RevokeAfter: f.revokeAfter,
	}
}

func (f *testFleet) addVM() *testVM {
	f.t.Helper()
	s := f.settings(fmt.Sprintf("front-%d", len(f.vms)+1))
	vm := &testVM{name: s.VM.ID, ip: s.IP, base: "http://" + s.Callers.String()}
	opts := []fx.Option{
		fx.Replace(tracer.NewLogQueue(io.Discard)), fx.Populate(&vm.gossiper, &vm.rateSharer, &vm.isolator, &vm.endpoints, &vm.watcher),
	}
	if f.isPartitionable {
		vm.partition = f.newPartition()
		opts = append(opts, fx.Decorate(vm.partition.decorate))
	}
	vm.app = assembler.NewGateway(s, opts...)
	require.NoError(f.t, vm.app.Start(context.Background()))
	f.vms = append(f.vms, vm)
	f.t.Cleanup(func() { _ = vm.app.Stop(context.Background()) })
	require.Eventually(f.t, func() bool {
		res, err := http.Get("http://" + s.Ready.String() + "/readyz")
		if err != nil {
			return false
		}
		_ = res.Body.Close()
		return res.StatusCode == http.StatusOK
	}, maxWait, 10*time.Millisecond, "VM does not become ready")
	return vm
}

// answer is what the caller of a VM received.
type answer struct {
	status int
	header http.Header
	body   string
	// err is the error of sending the request or of reading the answer.
	err error
}

var lastRequest atomic.Uint64

func newID(prefix string) string { return fmt.Sprintf("%s%08x", prefix, lastRequest.Add(1)) }

type callOption func(*http.Request)

func withHeader(name, value string) callOption {
	return func(r *http.Request) { r.Header.Set(name, value) }
}

// call sends a request over a connection of its own, with the host and id that a caller on the platform sends.
func (f *testFleet) call(ctx context.Context, vm *testVM, method, path, id, body string, opts ...callOption) answer {
	f.t.Helper()
	r, err := http.NewRequestWithContext(ctx, method, vm.base+path, strings.NewReader(body))
	require.NoError(f.t, err)
	r.Host = testHost
	r.Header.Set("X-Request-Id", id)
	for _, o := range opts {
		o(r)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	return answer{status: res.StatusCode, header: res.Header, body: string(text), err: err}
}

func (f *testFleet) stream(vm *testVM, path, id string) answer {
	return f.call(context.Background(), vm, http.MethodPost, path, id, "prompt",
		withHeader("X-Token-Count", "450,250"), withHeader("X-Model", "m"), withHeader("X-Deadline-Ms", "5000"))
}

// allRuns returns the runs at all endpoints.
func (f *testFleet) allRuns() []standin.Run {
	var runs []standin.Run
	for _, e := range f.endpoints {
		runs = append(runs, e.Runs()...)
	}
	return runs
}

// runsOf returns the runs of a request at all endpoints.
func (f *testFleet) runsOf(id string) []standin.Run {
	return slices.DeleteFunc(f.allRuns(), func(r standin.Run) bool { return r.ID != id })
}

type jobItem struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int64             `json:"tokens"`
}

// newItems returns n items with unique ids.
func newItems(n int) []jobItem {
	items := make([]jobItem, 0, n)
	for range n {
		id := newID("item")
		items = append(items, jobItem{
			ID: id, Path: "/batch/3/" + id, Headers: map[string]string{"X-Model": "m", "X-Token-Count": "540,400"},
			Body: []byte("body of " + id), Tokens: 940,
		})
	}
	return items
}

func (f *testFleet) submit(vm *testVM, job string, items []jobItem) answer {
	f.t.Helper()
	body, err := json.Marshal(map[string]any{"items": items})
	require.NoError(f.t, err)
	return f.call(context.Background(), vm, http.MethodPost, "/batch/"+job, job, string(body))
}

type jobPage struct {
	Total   int `json:"total"`
	Next    int `json:"next"`
	Results []struct {
		ID     string `json:"id"`
		State  string `json:"state"`
		Output string `json:"output"`
	} `json:"results"`
}

func (f *testFleet) read(vm *testVM, job string, after int) (jobPage, answer) {
	f.t.Helper()
	a := f.call(context.Background(), vm, http.MethodGet, fmt.Sprintf("/lots/%s?after=%d", job, after), newID("read"), "",
		withHeader("X-Wait-Ms", "200"))
	p := jobPage{}
	if a.status == http.StatusOK {
		require.NoError(f.t, json.NewDecoder(bufio.NewReader(bytes.NewReader([]byte(a.body)))).Decode(&p))
	}
	return p, a
}

// await polls a job at the VM until it has n results.
func (f *testFleet) await(vm *testVM, job string, n int) jobPage {
	f.t.Helper()
	p := jobPage{}
	require.Eventually(f.t, func() bool {
		p, _ = f.read(vm, job, 0)
		return len(p.Results) >= n
	}, maxWait, 20*time.Millisecond, "job has fewer results than awaited")
	return p
}
