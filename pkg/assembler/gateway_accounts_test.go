package assembler_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

// account returns an account of the configuration with keys.
func account(name string, keys ...string) map[string]any {
	return map[string]any{"name": name, "apiKeys": keys}
}

func withKey(key string) callOption { return withHeader("Authorization", "Bearer "+key) }

// callerKey is the key that tests send where any known one will do.
const callerKey = "key-of-a"

// newAccountFleet starts a fleet whose configuration has the accounts a and b and a public route /open/ besides the others.
func newAccountFleet(t *testing.T, n int) *testFleet {
	t.Helper()
	f := newFleet(t, n)
	f.setAccounts(account("a", callerKey, "second-key-of-a"), account("b", "key-of-b"))
	return f
}

// setAccounts stores a configuration with the accounts, and waits until it is active on every VM.
func (f *testFleet) setAccounts(accounts ...map[string]any) {
	f.t.Helper()
	f.accounts = accounts
	if len(f.routes) == len(defaultRoutes()) {
		f.routes = append(f.routes, route("safe", "/open/", "app", map[string]any{"public": true}))
	}
	f.awaitConfig()
}

func (f *testFleet) submitAs(vm *testVM, key, job string, items []jobItem) answer {
	f.t.Helper()
	body, err := json.Marshal(map[string]any{"items": items})
	require.NoError(f.t, err)
	return f.call(context.Background(), vm, http.MethodPost, "/batch/"+job, job, string(body), withKey(key))
}

func (f *testFleet) readAs(vm *testVM, key, job string) (jobPage, int) {
	f.t.Helper()
	a := f.call(context.Background(), vm, http.MethodGet, "/lots/"+job, newID("read"), "", withKey(key),
		withHeader("X-Wait-Ms", "200"))
	p := jobPage{}
	if a.status == http.StatusOK {
		require.NoError(f.t, json.Unmarshal([]byte(a.body), &p))
	}
	return p, a.status
}

func (f *testFleet) awaitAs(vm *testVM, key, job string, n int) {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		p, _ := f.readAs(vm, key, job)
		return len(p.Results) >= n
	}, maxWait, 20*time.Millisecond, "job has fewer results than awaited")
}

// requireAccount checks what the runs of a request, of which there must be n, were told of its account.
func (f *testFleet) requireAccount(id, account string, n int) {
	f.t.Helper()
	runs := f.runsOf(id)
	require.Len(f.t, runs, n)
	for _, r := range runs {
		assert.Empty(f.t, r.Header.Values("Authorization"), "the key reached an endpoint")
		var want []string
		if account != "" {
			want = []string{account}
		}
		assert.ElementsMatch(f.t, want, r.Header.Values("X-Tenant"))
	}
}

func TestRequestsNeedKeys(t *testing.T) {
	t.Parallel()
	f := newAccountFleet(t, 1)
	cases := []struct {
		name, path string
		headers    map[string]string
		status     int
		account    string
	}{
		{"a key", "/status/1", map[string]string{"Authorization": "Bearer " + callerKey}, 200, "a"},
		{
			"a key, and the name of another account", "/status/1",
			map[string]string{"Authorization": "bearer  key-of-b", "X-Tenant": "a"},
			200, "b",
		},
		{
			"a key, and a header that hides the account's", "/status/1",
			map[string]string{"Authorization": "Bearer key-of-b", "Connection": "X-Tenant"},
			200, "b",
		},
		{"no key", "/status/1", nil, 401, ""},
		{"an unknown key", "/status/1", map[string]string{"Authorization": "Bearer x"}, 401, ""},
		{"an empty key", "/status/1", map[string]string{"Authorization": "Bearer "}, 401, ""},
		{"another scheme", "/status/1", map[string]string{"Authorization": "Basic " + callerKey}, 401, ""},
		{"no key for a job", "/batch/1", nil, 401, ""},
		{"no key for a read", "/lots/1", nil, 401, ""},
		{"no route and no key", "/nothing/", nil, 404, ""},
		{"a public route", "/open/1", nil, 200, ""},
		{"a public route with a key", "/open/1", map[string]string{"Authorization": "Bearer " + callerKey, "X-Tenant": "a"}, 200, ""},
		{"a public route with an unknown key", "/open/1", map[string]string{"Authorization": "Bearer x"}, 200, ""},
	}
	for _, c := range cases {
		id := newID("k")
		method := http.MethodPost
		if strings.HasPrefix(c.path, "/lots/") {
			method = http.MethodGet
		}
		var opts []callOption
		for name, value := range c.headers {
			opts = append(opts, withHeader(name, value))
		}
		a := f.call(t.Context(), f.vms[0], method, c.path, id, "body", opts...)
		assert.Equal(t, c.status, a.status, "%s: %s", c.name, a.body)
		n := 0
		if c.status == http.StatusOK {
			n = 1
		}
		f.requireAccount(id, c.account, n)
	}
}

// TestHeadersStayWithoutAccounts guards a deployment without accounts against a change of what its endpoints get.
func TestHeadersStayWithoutAccounts(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1)
	id := newID("h")
	a := f.call(t.Context(), f.vms[0], http.MethodPost, "/status/1", id, "", withKey("any"), withHeader("X-Tenant", "any"))
	require.Equal(t, http.StatusOK, a.status)
	run := f.runsOf(id)[0]
	assert.Equal(t, []string{"Bearer any"}, run.Header.Values("Authorization"))
	assert.Equal(t, []string{"any"}, run.Header.Values("X-Tenant"))
}

// TestKeysReachNoEndpoint sends requests whose first attempt fails: neither the second attempt nor the rest of a stream may carry
// the key, and each must name the account.
func TestKeysReachNoEndpoint(t *testing.T) {
	t.Parallel()
	for path, fault := range map[string]standin.EndpointFault{"/status/1": standin.LoseAll, "/note/1": standin.Truncate} {
		f := newAccountFleet(t, 1)
		id := newID("k")
		var requests atomic.Int64
		for _, e := range f.endpoints {
			e.SetFault(func(_ int, r *http.Request) standin.EndpointFault {
				if r.Header.Get("X-Request-Id") == id && requests.Add(1) == 1 {
					return fault
				}
				return standin.NoEndpointFault
			})
		}
		opts := []callOption{withKey(callerKey), withHeader("X-Tenant", "b"), withHeader("X-Deadline-Ms", "3000")}
		if path == "/note/1" {
			opts = append(opts, withHeader("X-Token-Count", "450,250"))
		}
		a := f.call(t.Context(), f.vms[0], http.MethodPost, path, id, "body", opts...)
		assert.Equal(t, http.StatusOK, a.status, a.body)
		f.requireAccount(id, "a", 2)
	}
}

// TestJobsBelongToTheirAccounts checks that a job exists for its account alone, and that its items name the account whatever
// their submitter wrote, at the VM that accepted the job and at one that takes it over.
func TestJobsBelongToTheirAccounts(t *testing.T) {
	t.Parallel()
	f := newAccountFleet(t, 2)
	f.awaitPeers()
	items := newItems(3)
	items[0].Headers["Authorization"] = "Bearer " + callerKey
	items[1].Headers["x-tenant"] = "b"
	job := newID("job")
	require.Equal(t, http.StatusAccepted, f.submitAs(f.vms[0], callerKey, job, items).status)
	for _, vm := range f.vms {
		f.awaitAs(vm, "second-key-of-a", job, len(items))
		_, status := f.readAs(vm, "key-of-b", job)
		assert.Equal(t, http.StatusNotFound, status, "another account reads the job")
		_, status = f.readAs(vm, "nobody's", job)
		assert.Equal(t, http.StatusUnauthorized, status)
		a := f.call(t.Context(), vm, http.MethodGet, "/items/"+job+"?id="+items[0].ID, newID("i"), "", withKey("key-of-b"))
		assert.Equal(t, http.StatusNotFound, a.status, "another account reads an item")
		a = f.call(t.Context(), vm, http.MethodDelete, "/lots/"+job, newID("d"), "", withKey("key-of-b"))
		assert.Equal(t, http.StatusNotFound, a.status, "another account ends the job")
		assert.Equal(t, http.StatusConflict, f.submitAs(vm, "key-of-b", job, items).status)
		assert.Equal(t, http.StatusAccepted, f.submitAs(vm, "second-key-of-a", job, items).status)
		a = f.call(t.Context(), vm, http.MethodGet, "/items/"+job+"?id="+items[0].ID, newID("i"), "", withKey(callerKey))
		assert.Equal(t, string(items[0].Body), a.body)
	}
	for _, i := range items {
		f.requireAccount(i.ID, "a", 1)
	}
	f.requireNoKeys()
}

// requireNoKeys checks that the store holds no key outside the configuration.
func (f *testFleet) requireNoKeys() {
	f.t.Helper()
	for _, table := range []string{"job", "item", "result", "checkpoint"} {
		for _, value := range f.store.Values(table) {
			for _, key := range []string{callerKey, "second-key-of-a", "key-of-b"} {
				assert.NotContains(f.t, string(value), key, "table %s", table)
				assert.NotContains(f.t, string(value), "Bearer", "table %s", table)
			}
		}
	}
}

// TestJobsOutliveTheirKeys revokes the last key of an account, and then removes the account, while its job runs. The items must
// complete under the account's name, and a key that the account gets later reads them.
func TestJobsOutliveTheirKeys(t *testing.T) {
	t.Parallel()
	f := newAccountFleet(t, 2)
	for _, e := range f.endpoints {
		e.Step = 150 * time.Millisecond
	}
	items := newItems(40)
	job := newID("job")
	require.Equal(t, http.StatusAccepted, f.submitAs(f.vms[0], callerKey, job, items).status)
	f.setAccounts(account("a"), account("b", "key-of-b"))
	_, status := f.readAs(f.vms[1], callerKey, job)
	assert.Equal(t, http.StatusUnauthorized, status)
	f.setAccounts(account("b", "key-of-b"))
	_, status = f.readAs(f.vms[1], "key-of-b", job)
	assert.Equal(t, http.StatusNotFound, status)
	require.NoError(t, f.vms[0].app.Stop(context.Background()))
	f.vms = f.vms[1:]
	f.setAccounts(account("b", "key-of-b"), account("a", "new-key-of-a"))
	f.awaitAs(f.vms[0], "new-key-of-a", job, len(items))
	for _, i := range items {
		f.requireAccount(i.ID, "a", 1)
	}
}

// TestJobKeepsItsAccountAtAnEarlierBuild drops the account from a job's row, as a build that doesn't know of accounts does when
// it writes the row: the job still belongs to its account, at a VM that has never read the row before.
func TestJobKeepsItsAccountAtAnEarlierBuild(t *testing.T) {
	t.Parallel()
	f := newAccountFleet(t, 1)
	items := newItems(2)
	job := newID("job")
	require.Equal(t, http.StatusAccepted, f.submitAs(f.vms[0], callerKey, job, items).status)
	f.awaitAs(f.vms[0], callerKey, job, 2)
	record := map[string]any{}
	require.NoError(t, json.Unmarshal(f.store.Value("job", partitionFor(job), job), &record))
	require.Equal(t, "a", record["account"])
	delete(record, "account")
	f.store.Put("job", partitionFor(job), job, record)
	f.addVM()
	p, status := f.readAs(f.vms[1], callerKey, job)
	assert.Equal(t, http.StatusOK, status)
	assert.Len(t, p.Results, 2)
	_, status = f.readAs(f.vms[1], "key-of-b", job)
	assert.Equal(t, http.StatusNotFound, status)
}

// TestJobOfAnEarlierBuildIsReadable stores a job without an account, whose holder is lost: it must run, and its caller must be
// able to read it with a key.
func TestJobOfAnEarlierBuildIsReadable(t *testing.T) {
	t.Parallel()
	f := newAccountFleet(t, 1)
	items := newItems(2)
	items[0].Headers["X-Tenant"], items[0].Headers["Authorization"] = "b", "Bearer "+callerKey
	job := newID("job")
	f.storeJob(job, items, nil)
	f.awaitAs(f.vms[0], callerKey, job, 2)
	f.requireAccount(items[0].ID, "", 1)
}

// TestWaitingTokensCountByAccount fills the quota of one account: another one's jobs are accepted, and the quota holds over all
// VMs.
func TestWaitingTokensCountByAccount(t *testing.T) {
	t.Parallel()
	f := newAccountFleet(t, 2)
	f.batchRoute()["cap"] = 20 * 940
	f.awaitConfig()
	for _, id := range []string{"i-llm-1", "i-llm-2"} {
		f.endpoint(id).SetFault(func(int, *http.Request) standin.EndpointFault { return standin.NoAnswer })
	}
	statuses := make(chan string, 12)
	for n := range 12 {
		key := []string{callerKey, "key-of-b"}[n%2]
		go func() {
			statuses <- fmt.Sprint(key, " ", f.submitAs(f.vms[n/2%2], key, newID("job"), newItems(8)).status)
		}()
	}
	counts := map[string]int{}
	for range 12 {
		counts[<-statuses]++
	}
	assert.Equal(t, map[string]int{
		callerKey + " 202": 2, callerKey + " 429": 4, "key-of-b 202": 2, "key-of-b 429": 4,
	}, counts, "a quota of 20 items must fit exactly two jobs of 8 items of each account")
	f.batchRoute()["cap"] = 30 * 940
	f.awaitConfig()
	assert.Equal(t, http.StatusAccepted, f.submitAs(f.vms[0], callerKey, newID("job"), newItems(8)).status)
	a := f.submitAs(f.vms[1], callerKey, newID("job"), newItems(8))
	assert.Equal(t, http.StatusTooManyRequests, a.status)
	assert.NotEmpty(t, a.header.Get("Retry-After"))
	f.batchRoute()["cap"] = 5 * 940
	f.awaitConfig()
	assert.Equal(t, http.StatusTooManyRequests, f.submitAs(f.vms[1], "key-of-b", newID("job"), newItems(1)).status)
}

// TestTokensOfEarlierBuildsCountForTheRoute stores a job and the route's row as an earlier build writes them, with a full quota.
// They must not refuse the job of an account, and must refuse a job once the configuration has no accounts.
func TestTokensOfEarlierBuildsCountForTheRoute(t *testing.T) {
	t.Parallel()
	f := newAccountFleet(t, 1)
	for _, id := range []string{"i-llm-1", "i-llm-2"} {
		f.endpoint(id).SetFault(func(int, *http.Request) standin.EndpointFault { return standin.NoAnswer })
	}
	f.batchRoute()["cap"] = 10 * 940
	f.awaitConfig()
	key := "gate/" + strconv.FormatUint(xxhash.Sum64String(testHost+"\x00/batch/"), 16)
	f.store.Put("job", partitionFor(key), key, map[string]any{"accepted": 10 * 940})
	f.storeJob(newID("job"), newItems(10), nil)
	assert.Equal(t, http.StatusAccepted, f.submitAs(f.vms[0], callerKey, newID("job"), newItems(8)).status)
	row := struct{ Accepted int64 }{}
	require.NoError(t, json.Unmarshal(f.store.Value("job", partitionFor(key), key), &row))
	assert.EqualValues(t, 18*940, row.Accepted, "the route's row must stay the sum of all its jobs, as earlier builds read it")
	f.accounts = nil
	f.awaitConfig()
	assert.Equal(t, http.StatusTooManyRequests, f.submit(f.vms[0], newID("job"), newItems(1)).status)
}

// TestRevokedKeyIsRefusedByAVMThatHearsNothing cuts a VM off from the store and its peers and revokes a key. The VM must serve
// the key for a while, since it can't know, and refuse all keys once the bound has passed; when it hears the store again, it
// serves.
func TestRevokedKeyIsRefusedByAVMThatHearsNothing(t *testing.T) {
	t.Parallel()
	const bound = 2500 * time.Millisecond
	f := newFleet(t, 0)
	f.revokeAfter = bound
	f.accounts = []map[string]any{account("a", callerKey), account("b", "key-of-b")}
	f.configure()
	f.addVM()
	vm := f.vms[0]
	status := func(key string) int {
		opts := []callOption{withKey(key), withHeader("X-Deadline-Ms", "1000")}
		return f.call(t.Context(), vm, http.MethodPost, "/status/1", newID("r"), "", opts...).status
	}
	require.Eventually(t, func() bool { return status(callerKey) == http.StatusOK }, maxWait, 10*time.Millisecond)
	time.Sleep(bound) // The VM serves on while it hears the store, over more than one watch.
	require.Equal(t, http.StatusOK, status(callerKey))
	f.store.SetFault(func(*http.Request) standin.StoreFault { return standin.Silent })
	f.server.CloseClientConnections()
	cutAt := time.Now()
	f.accounts = []map[string]any{account("a"), account("b", "key-of-b")}
	f.configure()
	for time.Since(cutAt) < bound {
		sentAt := time.Now()
		got := status(callerKey)
		if time.Since(cutAt) < bound*55/100 {
			assert.Equal(t, http.StatusOK, got, "refused %s after the cut", sentAt.Sub(cutAt))
		}
	}
	a := f.call(t.Context(), vm, http.MethodPost, "/status/1", newID("r"), "", withKey("key-of-b"))
	assert.Equal(t, http.StatusServiceUnavailable, a.status)
	assert.NotEmpty(t, a.header.Get("Retry-After"))
	assert.Equal(t, http.StatusServiceUnavailable, status(callerKey))
	f.store.SetFault(func(*http.Request) standin.StoreFault { return standin.NoFault })
	require.Eventually(t, func() bool { return status("key-of-b") == http.StatusOK }, maxWait, 10*time.Millisecond)
	assert.Equal(t, http.StatusUnauthorized, status(callerKey))
}
