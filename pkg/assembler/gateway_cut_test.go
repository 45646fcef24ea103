package assembler_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// cutAnswer is an answer of an endpoint, and what a caller may get of it.
type cutAnswer struct {
	Name   string `yaml:"name"`
	Path   string `yaml:"path"`
	Method string `yaml:"method"`
	Answer string `yaml:"answer"`
	Body   string `yaml:"body"`
	// IsUnframed says that the answer has neither a length nor chunks.
	IsUnframed bool `yaml:"isUnframed"`
	IsItem     bool `yaml:"isItem"`
	// IsCompletedLater says that only the first run of a request is cut.
	IsCompletedLater bool `yaml:"later"`
}

// text returns the answer to the request with the id.
func (c cutAnswer) text(id string) string { return strings.Replace(c.Answer, "ID", id, 1) }

// cuts returns after how many bytes the answer is cut. A close between the bytes of a body that nothing frames is its end.
func (c cutAnswer) cuts(id string, isReset bool) []int {
	text := c.text(id)
	n := len(text)
	if c.IsUnframed && !isReset {
		n = strings.Index(text, "\r\n\r\n") + len("\r\n\r\n")
	}
	cuts := make([]int, n)
	for i := range cuts {
		cuts[i] = i
	}
	return cuts
}

// cuttingEndpoint answers a request by its headers X-Form, X-Cut and X-Reset: it writes X-Cut bytes of the answer with the name
// X-Form, and closes or resets the connection.
type cuttingEndpoint struct {
	forms map[string]cutAnswer
	mu    sync.Mutex
	runs  map[string]int
}

func (e *cuttingEndpoint) runsOf(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

func (e *cuttingEndpoint) serve(c net.Conn, br *bufio.Reader) {
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if r.Method == http.MethodGet {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 25\r\n\r\n{\"running\":0,\"waiting\":0}")
			continue
		}
		form := e.forms[r.Header.Get("X-Form")]
		id := r.Header.Get("X-Request-Id")
		e.mu.Lock()
		e.runs[id]++
		run := e.runs[id]
		e.mu.Unlock()
		if run > 1 && (form.IsItem || form.IsCompletedLater) {
			_, _ = io.WriteString(c, restOfStream(id, r.Header.Get("Last-Event-Id")))
			continue
		}
		cut, _ := strconv.Atoi(r.Header.Get("X-Cut"))
		_, _ = io.WriteString(c, form.text(id)[:cut])
		if r.Header.Get("X-Reset") != "" {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		return
	}
}

// restOfStream returns a complete answer with the events after the last one.
func restOfStream(id, last string) string {
	events := []string{"id: 0\ndata: ab\n\n", "id: 1\ndata: cd\n\n"}
	if n, err := strconv.Atoi(last); err == nil {
		events = events[n+1:]
	}
	body := strings.Join(events, "")
	return head(id, fmt.Sprintf("Content-Length: %d\r\n", len(body))) + body
}

func newCuttingEndpoint(t *testing.T) *cuttingEndpoint {
	t.Helper()
	raw, err := os.ReadFile("testdata/cut_answers.yaml")
	require.NoError(t, err)
	forms := []cutAnswer{}
	require.NoError(t, yaml.UnmarshalWithOptions(raw, &forms, yaml.Strict()))
	e := &cuttingEndpoint{forms: map[string]cutAnswer{}, runs: map[string]int{}}
	for _, c := range forms {
		e.forms[c.Name] = c
	}
	return e
}

// TestCutAnswerIsNoCompleteAnswer has endpoints close or reset their connections after each byte of an answer: nobody gets a
// complete answer that isn't the endpoint's whole one.
func TestCutAnswerIsNoCompleteAnswer(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1)
	e := newCuttingEndpoint(t)
	f.replaceEndpoints(2, e.serve, "app", "llm")
	for _, isReset := range []bool{false, true} {
		for name, c := range e.forms {
			if c.IsItem {
				continue
			}
			t.Run(fmt.Sprintf("%s, reset %t", name, isReset), func(t *testing.T) {
				t.Parallel()
				f.testCutRequests(t, e, c, isReset)
			})
		}
	}
}

// cutHeaders returns the headers that make the endpoint cut its answer after n bytes.
func cutHeaders(form string, n int, isReset bool) map[string]string {
	h := map[string]string{"X-Form": form, "X-Cut": strconv.Itoa(n), "X-Model": "m", "X-Token-Count": "450,250"}
	if isReset {
		h["X-Reset"] = "1"
	}
	return h
}

func (f *testFleet) testCutRequests(t *testing.T, e *cuttingEndpoint, c cutAnswer, isReset bool) {
	method := http.MethodPost
	if c.Method != "" {
		method = c.Method
	}
	ask := func(n int) (string, answer) {
		id := newID("cut")
		opts := []callOption{withHeader("X-Deadline-Ms", "5000")}
		for name, value := range cutHeaders(c.Name, n, isReset) {
			opts = append(opts, withHeader(name, value))
		}
		return id, f.call(t.Context(), f.vms[0], method, c.Path, id, "body of "+id, opts...)
	}
	sample := newID("cut")
	for _, n := range c.cuts(sample, isReset) {
		id, a := ask(n)
		assert.Positive(t, e.runsOf(id), "the request with its answer cut after %d bytes did not run: %d %q", n, a.status, a.body)
		if a.err != nil || a.status >= 300 {
			continue
		}
		assert.True(t, c.IsCompletedLater, "an answer of %d bytes counts as complete", n)
		assert.Equal(t, c.Body, a.body, "the answer that was cut after %d bytes", n)
	}
	if !isReset {
		_, a := ask(len(c.text(sample)))
		require.NoError(t, a.err)
		assert.Less(t, a.status, 300)
		assert.Equal(t, c.Body, a.body)
	}
}

// TestCutAnswerIsNoWholeOutput has endpoints cut the first answer to each item of a batch job, after each of its bytes.
func TestCutAnswerIsNoWholeOutput(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1)
	e := newCuttingEndpoint(t)
	// An endpoint that broke off gets no further items for a while.
	f.replaceEndpoints(100, e.serve, "llm")
	want, wg := map[string]string{}, sync.WaitGroup{}
	results, mu := map[string]string{}, sync.Mutex{}
	for _, isReset := range []bool{false, true} {
		for name, c := range e.forms {
			if !c.IsItem {
				continue
			}
			cuts := c.cuts(newItems(1)[0].ID, isReset)
			items := newItems(len(cuts))
			for i, n := range cuts {
				items[i].Headers = cutHeaders(name, n, isReset)
				want[items[i].ID] = c.Body
			}
			job := newID("job")
			require.Equal(t, http.StatusAccepted, f.submit(f.vms[0], job, items).status)
			wg.Go(func() {
				page := f.await(f.vms[0], job, len(items))
				mu.Lock()
				defer mu.Unlock()
				for _, r := range page.Results {
					results[r.ID] = r.Output
				}
			})
		}
	}
	wg.Wait()
	assert.Equal(t, want, results)
	for id := range want {
		assert.GreaterOrEqual(t, e.runsOf(id), 2, "the runs of item %s", id)
	}
}
