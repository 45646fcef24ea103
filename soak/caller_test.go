package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// callerWait is how long a caller stays: beyond it the answer counts as missing.
	callerWait = routeTimeout + slack + time.Second
	// returnAfter is the pause of a caller that got nothing.
	returnAfter = 20 * time.Millisecond
	// readEvery is how often a job is read; jobItems is its number of items.
	readEvery = 200 * time.Millisecond
	jobItems  = 4
)

// callers make requests of every kind until they are told to stop, and keep their connections open.
type callers struct {
	fleet *fleet
	seed  uint64
	// paused tells the VMs that are stopped, or were lately.
	paused *pauses

	mu       sync.Mutex
	attempts []attempt
	jobs     []*job
	wg       sync.WaitGroup
}

// pauses notes when VMs did not run.
type pauses struct {
	mu sync.Mutex
	// until is when VMs that were ended or frozen run again; frozen is for those only that were frozen.
	until, frozen map[string]time.Time
}

func newPauses() *pauses {
	return &pauses{until: map[string]time.Time{}, frozen: map[string]time.Time{}}
}

// note says that the VM doesn't run until a time, or is still recovering.
func (p *pauses) note(vm string, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if until.After(p.until[vm]) {
		p.until[vm] = until
	}
}

// noteFrozen says that the VM is stopped by a signal until a time.
func (p *pauses) noteFrozen(vm string, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if until.After(p.frozen[vm]) {
		p.frozen[vm] = until
	}
}

// isFrozenSince says whether the VM was frozen at some time after began.
func (p *pauses) isFrozenSince(vm string, began time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.frozen[vm].After(began)
}

// isSince says whether the VM did not run at some time after began.
func (p *pauses) isSince(vm string, began time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.until[vm].After(began)
}

func (c *callers) start(ctx context.Context, n int) {
	for i := range n {
		c.wg.Add(2)
		go c.runRequests(ctx, i)
		go c.runJobs(ctx, i)
	}
}

// runRequests makes one request after the other, each at any VM.
func (c *callers) runRequests(ctx context.Context, n int) {
	defer c.wg.Done()
	random := rand.New(rand.NewPCG(c.seed, uint64(n)))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	online := []kind{status, book, draft, note}
	for i := 0; ctx.Err() == nil; i++ {
		k, v := online[random.IntN(len(online))], c.fleet.vms[random.IntN(len(c.fleet.vms))]
		a := c.ask(client, v, k, fmt.Sprintf("c%d-%d-%d", c.seed, n, i))
		c.mu.Lock()
		c.attempts = append(c.attempts, a)
		c.mu.Unlock()
		if a.status == 0 || isRefusal(a.status) {
			// A caller does not come back in a tight loop to a VM that is down or refuses.
			time.Sleep(returnAfter)
		}
	}
}

func (c *callers) ask(client *http.Client, v *vm, k kind, id string) attempt {
	ctx, cancel := context.WithTimeout(context.Background(), callerWait)
	defer cancel()
	a := attempt{kind: k, id: id, vm: v.name}
	began := time.Now()
	defer func() {
		a.took, a.isExcused = time.Since(began), !isTimed || c.paused.isSince(v.name, began)
	}()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, v.url(k.prefix+id), bytes.NewReader([]byte("body of "+id)))
	if err != nil {
		panic(err)
	}
	// Without this the library might send the request once more by itself.
	r.GetBody = nil
	r.Host = host
	r.Header.Set("X-Request-Id", id)
	if k.isStream {
		r.Header.Set("X-Token-Count", "450,250")
		r.Header.Set("X-Model", "m")
	}
	res, err := client.Do(r)
	if err != nil {
		return a
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	a.status, a.isWhole, a.body, a.stamp = res.StatusCode, err == nil, string(text), res.Header.Get("X-Response-Stamp")
	return a
}

// runJobs submits jobs and reads each at any VM until its results are all there.
func (c *callers) runJobs(ctx context.Context, n int) {
	defer c.wg.Done()
	random := rand.New(rand.NewPCG(c.seed, 1000+uint64(n)))
	for i := 0; ctx.Err() == nil; i++ {
		j := &job{id: fmt.Sprintf("j%d-%d-%d", c.seed, n, i)}
		for k := range jobItems {
			j.items = append(j.items, fmt.Sprintf("%s-i%d", j.id, k))
		}
		c.mu.Lock()
		c.jobs = append(c.jobs, j)
		c.mu.Unlock()
		for try := 0; try < 4 && !j.isAccepted() && ctx.Err() == nil; try++ {
			c.submit(j, c.fleet.vms[random.IntN(len(c.fleet.vms))])
		}
		for !j.isDone() && ctx.Err() == nil {
			c.read(j, c.fleet.vms[random.IntN(len(c.fleet.vms))], random.IntN(4) == 0)
			// Callers read at this pace; the loop ends on the job's results.
			time.Sleep(readEvery)
			if random.IntN(60) == 0 {
				c.endJob(j, c.fleet.vms[random.IntN(len(c.fleet.vms))])
			}
		}
	}
}

// callJob makes a call about a job on a connection of its own; status 0 says that there was no answer.
func (c *callers) callJob(v *vm, method, path, id string, body any) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), callerWait)
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
	for _, id := range j.items {
		items = append(items, map[string]any{
			"id": id, "path": "/lot/run/" + id, "body": []byte("body of " + id), "tokens": 940,
			"headers": map[string]string{"X-Model": "m", "X-Token-Count": "540,400"},
		})
	}
	code, _ := c.callJob(v, http.MethodPost, lots.prefix+j.id, j.id, map[string]any{"items": items})
	j.hear(code, time.Now())
}

// read reads the job from where it is known, or from the start.
func (c *callers) read(j *job, v *vm, isFromStart bool) {
	began := time.Now()
	j.mu.Lock()
	after := len(j.listed)
	j.mu.Unlock()
	if isFromStart {
		after = 0
	}
	code, text := c.callJob(v, http.MethodGet, fmt.Sprintf("/lots/%s?after=%d", j.id, after), "read-"+j.id, nil)
	switch code {
	case http.StatusNotFound:
		j.hearMissing(began, v.name)
	case http.StatusOK:
		page := struct {
			Total   int      `json:"total"`
			Results []result `json:"results"`
		}{}
		if err := json.Unmarshal(text, &page); err != nil {
			j.mu.Lock()
			j.fault("MIXED: unreadable page %q", text)
			j.mu.Unlock()
			return
		}
		j.read(after, page.Total, page.Results, v.name)
	}
}

func (c *callers) endJob(j *job, v *vm) {
	began := time.Now()
	code, _ := c.callJob(v, http.MethodDelete, "/lots/"+j.id, "end-"+j.id, nil)
	if code == http.StatusNotFound {
		j.hearMissing(began, v.name)
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	// Without an answer the job may have ended all the same.
	j.isEnded = true
}
