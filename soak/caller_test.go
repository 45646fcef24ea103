package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// callerTimeout is how long a caller waits for an answer; after it the answer counts as missing.
	callerTimeout = routeTimeout + slack + time.Second
	// retryPause is how long a caller waits after a refusal or a missing answer.
	retryPause = 20 * time.Millisecond
	// readInterval is how often a job is read; jobItems is its number of items.
	readInterval = 200 * time.Millisecond
	jobItems     = 4
	// itemPath is what the paths of items have between the prefix of their route and their ids.
	itemPath = "run/"
)

// callers make requests of every kind until their context ends. Those of online requests reuse their connections.
type callers struct {
	fleet *fleet
	seed  uint64
	// outages tells which VMs are down or still recovering.
	outages *outages

	mu       sync.Mutex
	attempts []attempt
	jobs     []*job
	wg       sync.WaitGroup
}

// outages records when VMs did not run.
type outages struct {
	mu sync.Mutex
	// until is when each VM that was ended or frozen has recovered; frozen is the same, for VMs that were frozen only.
	until, frozen map[string]time.Time
}

func newOutages() *outages {
	return &outages{until: map[string]time.Time{}, frozen: map[string]time.Time{}}
}

// recordDown records that the VM is down or recovering until the given time.
func (o *outages) recordDown(vm string, until time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if until.After(o.until[vm]) {
		o.until[vm] = until
	}
}

// recordFrozen records that the VM is frozen by SIGSTOP or recovering from it until the given time.
func (o *outages) recordFrozen(vm string, until time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if until.After(o.frozen[vm]) {
		o.frozen[vm] = until
	}
}

// isFrozenSince reports whether the VM was frozen, or recovering from it, at some time after began.
func (o *outages) isFrozenSince(vm string, began time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.frozen[vm].After(began)
}

// isDownSince reports whether the VM was down or recovering at some time after began.
func (o *outages) isDownSince(vm string, began time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.until[vm].After(began)
}

func (c *callers) start(ctx context.Context, n int) {
	for i := range n {
		c.wg.Add(2)
		go c.runRequests(ctx, i)
		go c.runJobs(ctx, i)
	}
}

// runRequests makes one request after the other, each to a random VM.
func (c *callers) runRequests(ctx context.Context, n int) {
	defer c.wg.Done()
	random := rand.New(rand.NewPCG(c.seed, uint64(n)))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	online := []kind{status, book, draft, note}
	for i := 0; ctx.Err() == nil; i++ {
		k, v := online[random.IntN(len(online))], c.fleet.vms[random.IntN(len(c.fleet.vms))]
		a := c.send(client, v, k, fmt.Sprintf("c%d-%d-%d", c.seed, n, i))
		c.record(a)
		if k.prefix == note.prefix && a.status == http.StatusOK && !a.isComplete && countEvents(a.body) > 0 {
			c.record(c.resume(client, c.fleet.vms[i%len(c.fleet.vms)], a))
		}
		if a.status == 0 || isRefusal(a.status) {
			// Avoids a busy loop of requests to a VM that is down or refuses them.
			time.Sleep(retryPause)
		}
	}
}

func (c *callers) record(a attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts = append(c.attempts, a)
}

// resume takes up the stream of an attempt that broke off.
func (c *callers) resume(client *http.Client, v *vm, broken attempt) attempt {
	a := c.send(client, v, broken.kind, broken.id+"-resumed", func(h http.Header) {
		h.Set("Last-Event-Id", strconv.Itoa(countEvents(broken.body)-1))
		h.Set("Resumes", broken.id)
	})
	a.resumed = broken.body
	return a
}

func (c *callers) send(client *http.Client, v *vm, k kind, id string, adjust ...func(http.Header)) (a attempt) {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	a = attempt{kind: k, id: id, vm: v.name}
	began := time.Now()
	defer func() {
		a.took, a.isExcused = time.Since(began), !isTimed || c.outages.isDownSince(v.name, began)
	}()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, v.url(k.prefix+id), bytes.NewReader([]byte("body of "+id)))
	if err != nil {
		panic(err)
	}
	// Keeps net/http from resending the request on its own, which would count as a run of the system.
	r.GetBody = nil
	r.Host = host
	r.Header.Set("X-Request-Id", id)
	if k.isStream {
		r.Header.Set("X-Token-Count", "450,250")
		r.Header.Set("X-Model", "m")
	}
	c.fleet.authorize(r.Header, accountOf(id))
	for _, set := range adjust {
		set(r.Header)
	}
	res, err := client.Do(r)
	if err != nil {
		return a
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	a.status, a.isComplete, a.body, a.stamp = res.StatusCode, err == nil, string(text), res.Header.Get("X-Response-Stamp")
	return a
}

// runJobs submits jobs one after the other and reads each through random VMs until it is complete. It ends some of them early.
func (c *callers) runJobs(ctx context.Context, n int) {
	defer c.wg.Done()
	random, heads := rand.New(rand.NewPCG(c.seed, 1000+uint64(n))), rand.New(rand.NewPCG(c.seed, 2000+uint64(n)))
	for i := 0; ctx.Err() == nil; i++ {
		if heads.IntN(4) == 0 {
			c.submitUnsendable(heads, c.fleet.vms[heads.IntN(len(c.fleet.vms))], fmt.Sprintf("u%d-%d-%d", c.seed, n, i))
		}
		j := c.newJob(fmt.Sprintf("j%d-%d-%d", c.seed, n, i), kind{})
		for try := 0; try < 4 && !j.isAccepted() && ctx.Err() == nil; try++ {
			c.submit(j, c.fleet.vms[random.IntN(len(c.fleet.vms))])
		}
		for !j.isDone() && ctx.Err() == nil {
			c.read(j, c.fleet.vms[random.IntN(len(c.fleet.vms))], random.IntN(4) == 0)
			// The polling interval of a caller; the loop ends on the state of the job.
			time.Sleep(readInterval)
			if random.IntN(60) == 0 {
				c.endJob(j, c.fleet.vms[random.IntN(len(c.fleet.vms))])
			}
		}
	}
}

// newJob returns a job that is still to be submitted; all jobs are checked in the end.
func (c *callers) newJob(id string, k kind) *job {
	j := &job{id: id, kind: k}
	for n := range jobItems {
		j.items = append(j.items, fmt.Sprintf("%s-i%d", id, n))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs = append(c.jobs, j)
	return j
}

// callJob makes a call about a job of the usual host.
func (c *callers) callJob(v *vm, method, path, id string, body any) (int, []byte) {
	return c.callJobAt(host, v, method, path, id, body)
}

// callJobAt makes a call about a job on a new connection. Status 0 means that no complete answer arrived.
func (c *callers) callJobAt(host string, v *vm, method, path, id string, body any) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	r, err := http.NewRequestWithContext(ctx, method, v.url(path), bytes.NewReader(raw))
	if err != nil {
		panic(err)
	}
	r.GetBody = nil
	r.Host = host
	r.Header.Set("X-Request-Id", id)
	c.fleet.authorize(r.Header, callerAccounts[0])
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, text
}

func (c *callers) submit(j *job, v *vm) {
	var items []map[string]any
	k, host := j.route()
	for _, id := range j.items {
		h := http.Header{"X-Model": {"m"}, "X-Token-Count": {"540,400"}}
		if isLong(id) {
			h.Set("X-Prompt-Prefix", fmt.Sprintf("%s:300,%x:240", sharedPart, id))
		}
		c.fleet.authorize(h, callerAccounts[1])
		headers := maps.Clone(leftOutOf(id))
		if headers == nil {
			headers = map[string]string{}
		}
		for name := range h {
			headers[name] = h.Get(name)
		}
		items = append(items, map[string]any{
			"id": id, "path": k.prefix + itemPath + id, "body": []byte("body of " + id), "tokens": 940,
			"headers": headers,
		})
	}
	code, _ := c.callJobAt(host, v, http.MethodPost, k.prefix+j.id, j.id, map[string]any{"items": items})
	j.recordSubmission(code, time.Now())
}

// read reads the results of the job that are not yet known, or all of them if isFromStart.
func (c *callers) read(j *job, v *vm, isFromStart bool) {
	began := time.Now()
	j.mu.Lock()
	after := len(j.listed)
	j.mu.Unlock()
	if isFromStart {
		after = 0
	}
	_, host := j.route()
	code, text := c.callJobAt(host, v, http.MethodGet, fmt.Sprintf("/lots/%s?after=%d", j.id, after), "read-"+j.id, nil)
	switch code {
	case http.StatusNotFound:
		j.recordNotFound(began, v.name)
	case http.StatusOK:
		page := struct {
			Total   int      `json:"total"`
			Results []result `json:"results"`
		}{}
		if err := json.Unmarshal(text, &page); err != nil {
			j.mu.Lock()
			j.addViolation("MIXED: unreadable page %q", text)
			j.mu.Unlock()
			return
		}
		j.recordResults(after, page.Total, page.Results, v.name)
	}
}

func (c *callers) endJob(j *job, v *vm) {
	began := time.Now()
	code, _ := c.callJob(v, http.MethodDelete, "/lots/"+j.id, "end-"+j.id, nil)
	if code == http.StatusNotFound {
		j.recordNotFound(began, v.name)
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	// Without an answer the outcome is indeterminate: the job may have ended.
	j.isEnded = true
}
