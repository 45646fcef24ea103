package assembler_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

// TestPlannedStopAnswersCallsAboutJobs sends calls about batch jobs early and late in a stop, while the store is silent or the
// body comes slowly. It guards against calls that end without an answer because they outlast the VM.
func TestPlannedStopAnswersCallsAboutJobs(t *testing.T) {
	t.Parallel()
	submission, err := json.Marshal(map[string]any{"items": newItems(1)})
	require.NoError(t, err)
	const job = "job-of-stop"
	cases := []struct {
		name, method, path, body string
		isPartial                bool
		grace                    time.Duration
		statuses                 []int
	}{
		{"a submission", http.MethodPost, "/batch/1", string(submission), false, 3 * time.Second, []int{503, 504}},
		{"a submission whose body comes slowly", http.MethodPost, "/batch/1", string(submission), true, 3 * time.Second, []int{503}},
		{
			"a body that comes for longer than a call may take", http.MethodPost, "/batch/1", string(submission), true, 6 * time.Second,
			[]int{503},
		},
		{"a read", http.MethodGet, "/lots/" + job + "?after=0", "", false, 3 * time.Second, []int{503}},
		{"a body", http.MethodGet, "/items/unknown?id=i", "", false, 3 * time.Second, []int{503}},
		{"an end", http.MethodDelete, "/lots/" + job, "", false, 3 * time.Second, []int{503, 504}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 0)
			f.grace = c.grace
			f.addVM()
			f.endpoint("i-llm-1").Step, f.endpoint("i-llm-2").Step = time.Minute, time.Minute
			require.Equal(t, http.StatusAccepted, f.submit(f.vms[0], job, newItems(2)).status)
			ask := func() (int, error) {
				conn, err := net.Dial("tcp4", strings.TrimPrefix(f.vms[0].base, "http://"))
				require.NoError(t, err)
				t.Cleanup(func() { _ = conn.Close() })
				body := c.body
				if c.isPartial {
					body = body[:len(body)/2]
				}
				_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s",
					c.method, c.path, testHost, newID("late"), len(c.body), body)
				require.NoError(t, err)
				res, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil {
					return 0, err
				}
				defer func() { _ = res.Body.Close() }()
				_, err = io.ReadAll(res.Body)
				return res.StatusCode, err
			}
			f.store.SetFault(func(r *http.Request) standin.StoreFault {
				if r.URL.Path == "/rows-feed" {
					return standin.NoFault
				}
				return standin.Silent
			})
			var wg sync.WaitGroup
			// The load balancer may use the VM for 2.2 s.
			for _, wait := range []time.Duration{0, 700 * time.Millisecond, 2 * time.Second, 2300 * time.Millisecond} {
				wg.Go(func() {
					time.Sleep(wait)
					status, err := ask()
					assert.NoError(t, err, "the call sent after %s ends without a complete answer", wait)
					assert.Contains(t, c.statuses, status, "sent after %s", wait)
				})
			}
			time.Sleep(100 * time.Millisecond)
			begun := time.Now()
			require.NoError(t, f.vms[0].app.Stop(context.Background()))
			assert.Less(t, time.Since(begun), f.grace)
			wg.Wait()
		})
	}
}

// TestRequestRefusedLateInAStopIsNotSentOn has an endpoint refuse a request that may not be repeated shortly before a stopping VM
// ends. It guards against passing on what the VM can't answer any more.
func TestRequestRefusedLateInAStopIsNotSentOn(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/book/1", "/draft/1"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 0)
			f.grace = 3 * time.Second
			for _, r := range f.routes {
				r["timeoutMs"] = 30000
			}
			f.configure()
			f.addVM()
			id := newID("late")
			var sent atomic.Int64
			var begun time.Time
			for _, e := range f.endpoints {
				e.Step, e.Work = 2*time.Second, 2*time.Second
				e.SetFault(func(_ int, r *http.Request) standin.EndpointFault {
					if r.Header.Get("X-Request-Id") != id || sent.Add(1) > 1 {
						return standin.NoEndpointFault
					}
					time.Sleep(time.Until(begun.Add(2400 * time.Millisecond)))
					return standin.Shed
				})
			}
			begun = time.Now()
			got := make(chan answer, 1)
			go func() {
				got <- f.call(context.Background(), f.vms[0], http.MethodPost, path, id, "prompt",
					withHeader("X-Token-Count", "450,250"), withHeader("X-Deadline-Ms", "20000"))
			}()
			require.Eventually(t, func() bool { return sent.Load() == 1 }, maxWait, time.Millisecond)
			require.NoError(t, f.vms[0].app.Stop(context.Background()))
			a := <-got
			assert.NoError(t, a.err)
			assert.Equal(t, http.StatusServiceUnavailable, a.status, "the caller can't tell that the request has not run: %s", a.body)
			assert.Empty(t, f.runsOf(id), "the request was passed on to an endpoint by a VM that ends")
		})
	}
}

// TestEndOfAJobWithoutAnAnswerIsUnknown loses the store's answers to the end of a job, which takes effect. It guards against an
// answer by which the call has not run.
func TestEndOfAJobWithoutAnAnswerIsUnknown(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1)
	f.slowDown(time.Minute)
	job := newID("job")
	require.Equal(t, http.StatusAccepted, f.submit(f.vms[0], job, newItems(2)).status)
	f.store.SetFault(func(r *http.Request) standin.StoreFault {
		switch r.URL.Path {
		case "/rows-tx":
			return standin.LoseAnswer
		case "/rows-feed", "/rows-get":
			return standin.Silent
		default:
			return standin.NoFault
		}
	})
	f.server.CloseClientConnections()
	a := f.call(t.Context(), f.vms[0], http.MethodDelete, "/lots/"+job, newID("e"), "")
	assert.Equal(t, http.StatusGatewayTimeout, a.status, a.body)
}
