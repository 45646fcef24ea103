//go:build review2

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is a request that a runner began to work on.
type run struct {
	at                       time.Time
	runner, id, method, path string
	header                   http.Header
	body                     string
	lastEvent                string
}

// runner is a sound runner of a service: it reads requests as net/http does, refuses those that are not for it, and sends the events
// that the request's id stands for.
type runner struct {
	*record
	id, service string
	events      int
	step        time.Duration
	// hold keeps a run from ending; nil for none.
	hold func(r *run) time.Duration
	// fault is asked before an answer: "" serves it, "500" and "422" fail the run.
	fault func(r *run) string

	// memory is the largest request in tokens that it takes; 0 for any. refused counts those that it rejected.
	memory  int
	refused atomic.Int64

	listener net.Listener
	born     int64
	mu       sync.Mutex
	runs     []*run
}

func newRunner(rec *record, id, service string, events int, step time.Duration) (*runner, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &runner{record: rec, id: id, service: service, events: events, step: step, listener: l, born: time.Now().UnixMilli()}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

func (s *runner) entry(state string) map[string]any {
	return map[string]any{
		"service": s.service, "address": s.listener.Addr().String(), "zone": "syd-a", "version": "v1", "slots": 8, "state": state,
		"coldLeftMs": 0, "seq": 1, "born": s.born,
	}
}

// eventOf returns the data of the n-th event of the request with the id.
func eventOf(id string, n int) string { return fmt.Sprintf("%s.%d", id, n) }

// outputOf returns the whole output of an item.
func outputOf(id string, events int) string {
	lines := make([]string, events)
	for n := range lines {
		lines[n] = eventOf(id, n)
	}
	return strings.Join(lines, "\n")
}

func (s *runner) allRuns() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]run, 0, len(s.runs))
	for _, r := range s.runs {
		list = append(list, *r)
	}
	return list
}

func (s *runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	if r.Method == http.MethodGet && r.URL.Path == "/report" {
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"stage":"both","models":[],"busy":false,"seq":0,"waiting":0,"running":0,"kvUsed":0,"kvTotal":72000,"handles":0,"born":%d}`, s.born)
		return
	}
	if r.Method == http.MethodGet && r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", s.id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("X-Request-Id", id)
	switch want := r.Header.Get("X-Expect-Instance"); {
	case id == "":
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case want != "" && want != s.id:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if count := r.Header.Get("X-Token-Count"); s.memory > 0 && tokensOf(count) > s.memory {
		// As if the runner were full.
		if n := s.refused.Add(1); n <= 3 || n%50 == 0 {
			s.printf("runner %s rejects %s (%s tokens), as if it were full; rejected so far: %d", s.id, id, count, n)
		}
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	now := &run{
		at: time.Now(), runner: s.id, id: id, method: r.Method, path: r.RequestURI, header: r.Header.Clone(), body: string(body),
		lastEvent: r.Header.Get("Last-Event-Id"),
	}
	s.mu.Lock()
	s.runs = append(s.runs, now)
	s.mu.Unlock()
	s.printf("runner %s runs %s %s, id %s, X-Tenant %q, Last-Event-Id %q, %d bytes", s.id, r.Method, r.RequestURI, id,
		r.Header.Get("X-Tenant"), now.lastEvent, len(body))
	w.Header().Set("X-Response-Stamp", "stamp."+s.id)
	if s.fault != nil {
		switch f := s.fault(now); f {
		case "500", "422":
			status, _ := strconv.Atoi(f)
			s.printf("runner %s answers %s to %s", s.id, f, id)
			w.WriteHeader(status)
			return
		}
	}
	w.Header().Set("Content-Type", "text/event-stream")
	first := 0
	if n, err := strconv.Atoi(now.lastEvent); err == nil {
		first = n + 1
	}
	if s.hold != nil {
		select {
		case <-time.After(s.hold(now)):
		case <-r.Context().Done():
			return
		}
	}
	control := http.NewResponseController(w)
	for n := first; n < s.events; n++ {
		select {
		case <-time.After(s.step):
		case <-r.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventOf(id, n))
		_ = control.Flush()
	}
}
