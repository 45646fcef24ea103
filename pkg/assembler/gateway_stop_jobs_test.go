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
		statuses                 []int
	}{
		{"a submission", http.MethodPost, "/batch/1", string(submission), false, []int{503, 504}},
		{"a submission whose body comes slowly", http.MethodPost, "/batch/1", string(submission), true, []int{503}},
		{"a read", http.MethodGet, "/lots/" + job + "?after=0", "", false, []int{503}},
		{"a body", http.MethodGet, "/items/unknown?id=i", "", false, []int{503}},
		{"an end", http.MethodDelete, "/lots/" + job, "", false, []int{503, 504}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 0)
			f.grace = 3 * time.Second
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
