//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// attempt is one run of a request at a runner.
type attempt struct {
	runner, id, path, lastEvent string
	// n is the number of this run of the request at all runners, from 1.
	n     int
	begun time.Time

	mu      sync.Mutex
	outcome string
	ended   time.Time
}

func (a *attempt) end(outcome string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.outcome == "" {
		a.outcome, a.ended = outcome, time.Now()
	}
}

func (a *attempt) state() (outcome string, ended time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.outcome, a.ended
}

// ledger holds all runs of all runners.
type ledger struct {
	mu   sync.Mutex
	runs []*attempt
}

func (l *ledger) begin(runner, id, path, lastEvent string) *attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := &attempt{runner: runner, id: id, path: path, lastEvent: lastEvent, n: 1, begun: time.Now()}
	for _, other := range l.runs {
		if other.id == id {
			a.n++
		}
	}
	l.runs = append(l.runs, a)
	return a
}

// of returns the runs of a request.
func (l *ledger) of(id string) []*attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	var runs []*attempt
	for _, a := range l.runs {
		if a.id == id {
			runs = append(runs, a)
		}
	}
	return runs
}

// running returns the number of runs that have not ended.
func (l *ledger) running() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, a := range l.runs {
		if outcome, _ := a.state(); outcome == "" {
			n++
		}
	}
	return n
}

// answeredBy returns the number of answers that a runner gave within the last d.
func (l *ledger) answeredBy(runner string, d time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, a := range l.runs {
		outcome, ended := a.state()
		if a.runner == runner && (outcome == "whole" || outcome == "500") && time.Since(ended) < d {
			n++
		}
	}
	return n
}

// isIdleFor reports whether no run of the request went on or ended in the time d before now.
func (l *ledger) isIdleFor(now time.Time, id string, d time.Duration) bool {
	for _, a := range l.of(id) {
		if outcome, ended := a.state(); outcome == "" || now.Sub(ended) < d {
			return false
		}
	}
	return true
}

// lastEnd returns when the last run ended.
func (l *ledger) lastEnd() time.Time {
	last := time.Time{}
	for _, a := range l.all() {
		if _, ended := a.state(); ended.After(last) {
			last = ended
		}
	}
	return last
}

// all returns all runs.
func (l *ledger) all() []*attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*attempt(nil), l.runs...)
}

// model says how runners answer.
type model struct {
	// events of a stream, step apart, the first one after first.
	events      int
	first, step time.Duration
	// isUnframed says that streams have neither a length nor chunks, and end with their connections.
	isUnframed bool
	// padding is the number of bytes that are added to the data of each event.
	padding int
	// shortEvents is the number of events of requests whose path begins with shortPath, if that is set.
	shortPath   string
	shortEvents int
	// fails says whether a run is answered with 500.
	fails func(a *attempt) bool
	// sendsExtra says whether the answer to a run comes a second time, late: at the point where the next answer on its connection
	// is expected.
	sendsExtra func(a *attempt) bool
}

// runner is one incarnation of a runner.
type runner struct {
	w        *world
	id       string
	service  string
	address  string
	model    model
	ledger   *ledger
	slots    chan struct{}
	listener net.Listener
	born     int64
	version  string

	mu       sync.Mutex
	conns    map[net.Conn]bool
	hasEnded bool
}

// startRunner starts a runner at the n-th runner's address and registers it in the store.
func (w *world) startRunner(n int, service string, m model, l *ledger) (*runner, error) {
	return w.startVersion(n, service, "v1", m, l)
}

// startVersion starts a runner of a software version.
func (w *world) startVersion(n int, service, version string, m model, l *ledger) (*runner, error) {
	r := &runner{
		w: w, id: "i-" + newID()[:10], service: service, address: fmt.Sprintf("%s%d:%d", w.net, 100+n, runnerPort), model: m,
		ledger: l, slots: make(chan struct{}, 8), conns: map[net.Conn]bool{}, born: time.Now().UnixMilli(), version: version,
	}
	var err error
	for range 50 {
		if r.listener, err = listen(r.address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.runners = append(w.runners, r)
	w.mu.Unlock()
	go r.accept()
	r.register("ready")
	w.logf("runner %s of %s started at %s", r.id, service, r.address)
	return r, nil
}

// register writes the runner's entry.
func (r *runner) register(state string) {
	r.w.store.Put("servers", "", r.id, map[string]any{
		"service": r.service, "address": r.address, "zone": "syd-a", "version": r.version, "slots": 8, "state": state,
		"coldLeftMs": 0, "seq": 1, "born": r.born, "stage": "both",
		"models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}},
	})
}

func (r *runner) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[conn] = true
		r.mu.Unlock()
		go r.serve(conn)
	}
}

// crash ends the runner: its port is closed and its connections are reset, or closed as the kernel does for a process that is
// killed if its answers are unframed. It sends nothing to the store.
func (r *runner) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.hasEnded {
		return
	}
	r.hasEnded = true
	_ = r.listener.Close()
	for conn := range r.conns {
		if tcp, ok := conn.(*net.TCPConn); ok && !r.model.isUnframed {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// crashAndFade crashes the runner; the store removes its entry later.
func (r *runner) crashAndFade() {
	r.w.logf("runner %s crashes", r.id)
	r.crash()
	time.AfterFunc(entryLife, func() { r.w.store.Remove("servers", "", r.id) })
}

// serve answers the requests of one connection, one at a time.
func (r *runner) serve(conn net.Conn) {
	defer func() {
		r.mu.Lock()
		delete(r.conns, conn)
		r.mu.Unlock()
		_ = conn.Close()
	}()
	br := bufio.NewReader(conn)
	late := ""
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if late != "" {
			if _, err := io.WriteString(conn, late); err != nil {
				return
			}
			r.w.logf("runner %s: extra copy of an earlier answer sent before the answer to %s", r.id, req.Header.Get("X-Request-Id"))
		}
		gone := make(chan struct{})
		next := make(chan error, 1)
		go func() {
			_, err := br.Peek(1)
			if err != nil {
				close(gone)
			}
			next <- err
		}()
		if late, err = r.answer(conn, req, body, gone); err != nil {
			return
		}
		if <-next != nil {
			return
		}
	}
}

// answer runs a request; it returns an answer that is to be sent once more, late.
func (r *runner) answer(conn net.Conn, req *http.Request, body []byte, gone <-chan struct{}) (string, error) {
	id := req.Header.Get("X-Request-Id")
	switch req.URL.Path {
	case "/report":
		return "", write(conn, http.StatusOK, "Content-Type: application/json\r\n", fmt.Sprintf(
			`{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":2,"waiting":0,"running":%d,`+
				`"kvUsed":%d,"kvTotal":101945,"handles":0}`, len(r.slots), 500*len(r.slots)))
	case "/healthz":
		return "", write(conn, http.StatusOK, "X-Instance-Id: "+r.id+"\r\n", "")
	}
	if want := req.Header.Get("X-Expect-Instance"); want != "" && want != r.id {
		return "", write(conn, http.StatusMisdirectedRequest, "X-Instance-Id: "+r.id+"\r\n", "")
	}
	select {
	case r.slots <- struct{}{}:
	case <-gone:
		return "", io.ErrClosedPipe
	case <-time.After(3 * time.Second):
		return "", write(conn, http.StatusServiceUnavailable, "X-Request-Id: "+id+"\r\nX-Not-Executed: 1\r\n", "")
	}
	defer func() { <-r.slots }()
	a := r.ledger.begin(r.id, id, req.URL.Path, req.Header.Get("Last-Event-Id"))
	r.w.logf("runner %s runs %s %s, run %d, Last-Event-Id %q", r.id, req.URL.Path, id, a.n, a.lastEvent)
	defer func() {
		outcome, _ := a.state()
		r.w.logf("runner %s ended %s, run %d: %s", r.id, id, a.n, outcome)
	}()
	defer a.end("cut off")
	signed := "X-Request-Id: " + id + "\r\nX-Response-Stamp: st." + r.id + "\r\nKeep-Alive: timeout=5\r\n"
	if r.model.fails != nil && r.model.fails(a) {
		a.end("500")
		late := ""
		if r.model.sendsExtra != nil && r.model.sendsExtra(a) {
			late = text(http.StatusInternalServerError, signed, "failed")
		}
		return late, write(conn, http.StatusInternalServerError, signed, "failed")
	}
	if req.Header.Get("X-Token-Count") == "" {
		time.Sleep(r.model.first)
		a.end("200")
		return "", write(conn, http.StatusOK, signed, "answer to "+id)
	}
	_ = body
	return "", r.stream(conn, a, signed, gone)
}

// stream sends the events of a run that is asked to go on after lastEvent.
func (r *runner) stream(conn net.Conn, a *attempt, signed string, gone <-chan struct{}) error {
	framing, end := "Transfer-Encoding: chunked", "0\r\n\r\n"
	if r.model.isUnframed {
		framing, end = "Connection: close", ""
	}
	head := "HTTP/1.1 200 OK\r\n" + signed + "Content-Type: text/event-stream\r\n" + framing + "\r\n\r\n"
	next := 1
	if n, err := strconv.Atoi(a.lastEvent); err == nil {
		next = n + 1
	}
	events := r.model.events
	if r.model.shortPath != "" && strings.HasPrefix(a.path, r.model.shortPath) {
		events = r.model.shortEvents
	}
	wait := r.model.first
	for ; next <= events; next++ {
		select {
		case <-gone:
			return io.ErrClosedPipe
		case <-time.After(wait):
		}
		wait = r.model.step
		event := fmt.Sprintf("id: %d\ndata: %s%s\n\n", next, eventData(a.id, next), strings.Repeat("x", r.model.padding))
		if !r.model.isUnframed {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if _, err := io.WriteString(conn, head+event); err != nil {
			return err
		}
		head = ""
	}
	if _, err := io.WriteString(conn, head+end); err != nil {
		return err
	}
	a.end("whole")
	if r.model.isUnframed {
		return io.EOF
	}
	return nil
}

func eventData(id string, n int) string { return fmt.Sprintf("%s.%d", id, n) }

func text(status int, headers, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), headers, len(body), body)
}

func write(conn net.Conn, status int, headers, body string) error {
	_, err := io.WriteString(conn, text(status, headers, body))
	return err
}
