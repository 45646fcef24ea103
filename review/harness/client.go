//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// item is an item of a batch job.
type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"tokens"`
}

// newItem returns an item whose prompt begins with a part that it shares with others.
func newItem(path, shared string) item {
	id := newID()
	return item{
		ID: id, Path: path, Tokens: 940, Body: []byte("text of " + id),
		Headers: map[string]string{
			"X-Model": "m", "X-Token-Count": "540,400", "X-Prompt-Prefix": shared + ":300," + newID()[:8] + ":240",
		},
	}
}

// listed is a result of an item.
type listed struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Output string `json:"output"`
}

// page is the answer to a read of a batch job.
type page struct {
	Total   int      `json:"total"`
	Next    int      `json:"next"`
	Results []listed `json:"results"`
}

// call makes a call to a machine on a new connection.
func (w *world) call(m *machine, method, path string, header map[string]string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", m.ip, frontPort, path), bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	r.Host = host
	for name, value := range header {
		r.Header.Set(name, value)
	}
	res, err := freshClient().Do(r)
	if err != nil {
		w.logf("%s %s at %s: %v", method, path, m.name, err)
		return 0, nil, err
	}
	defer func() { _ = res.Body.Close() }()
	answer, err := io.ReadAll(res.Body)
	shown := answer
	if len(shown) > 160 {
		shown = shown[:160]
	}
	w.logf("%s %s at %s: %d %q %v", method, path, m.name, res.StatusCode, shown, err)
	return res.StatusCode, answer, err
}

// submit hands a batch job in until it is accepted, as clients do.
func (w *world) submit(id, path string, items []item) error {
	return w.submitAt(w.machines, id, path, items)
}

// submitAt hands a batch job in at the machines in turn.
func (w *world) submitAt(machines []*machine, id, path string, items []item) error {
	body, err := json.Marshal(map[string]any{"items": items})
	if err != nil {
		return err
	}
	for _, i := range items {
		w.logf("client: batch job %s has item %s, %s", id, i.ID, i.Path)
	}
	for n := range 10 {
		m := machines[n%len(machines)]
		status, _, err := w.call(m, http.MethodPost, path, map[string]string{
			"X-Request-Id": id, "Content-Type": "application/json", "X-Deadline-Ms": "4000",
		}, body)
		if err == nil && status == http.StatusAccepted {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("batch job %s was not accepted", id)
}

// read reads a batch job from a position on.
func (w *world) read(m *machine, id string, after int) (page, int, error) {
	p := page{}
	status, answer, err := w.call(m, http.MethodGet, fmt.Sprintf("/lots/%s?after=%d", id, after), nil, nil)
	if err == nil && status == http.StatusOK {
		err = json.Unmarshal(answer, &p)
	}
	return p, status, err
}

// readAll reads all results of a batch job, at one machine after the other.
func (w *world) readAll(id string) (map[string]listed, page, error) {
	found := map[string]listed{}
	last := page{}
	failures := 0
	for after := 0; ; {
		p, status, err := w.read(w.machines[failures%len(w.machines)], id, after)
		if err != nil || status != http.StatusOK {
			if failures++; failures > 8 {
				return found, last, fmt.Errorf("batch job %s can't be read: status %d, %w", id, status, err)
			}
			time.Sleep(300 * time.Millisecond)
			continue
		}
		last = p
		for _, r := range p.Results {
			found[r.ID] = r
		}
		if len(p.Results) == 0 {
			return found, last, nil
		}
		after = p.Next
	}
}

// await waits until all items of a batch job are listed, at most until the limit.
func (w *world) await(id string, limit time.Duration) (map[string]listed, error) {
	for end := time.Now().Add(limit); ; time.Sleep(500 * time.Millisecond) {
		found, p, err := w.readAll(id)
		if err != nil || len(found) == p.Total || time.Now().After(end) {
			return found, err
		}
	}
}
