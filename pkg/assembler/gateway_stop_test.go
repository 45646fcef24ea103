package assembler_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/platform"
	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

// streamUntilGone sends streams one after the other, each on a new connection or all on a kept one, until the VM is gone, and
// passes each answer to check.
func (f *testFleet) streamUntilGone(vm *testVM, isKept bool, check func(id string, a answer)) {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: !isKept}}
	defer client.CloseIdleConnections()
	for {
		id := newID("stop")
		r, err := http.NewRequest(http.MethodPost, vm.base+"/draft/1", strings.NewReader("prompt"))
		require.NoError(f.t, err)
		r.Host = testHost
		r.Header.Set("X-Request-Id", id)
		r.Header.Set("X-Token-Count", "450,250")
		r.Header.Set("X-Deadline-Ms", "5000")
		res, err := client.Do(r)
		if err != nil {
			check(id, answer{err: err})
			return
		}
		text, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		check(id, answer{status: res.StatusCode, header: res.Header, body: string(text), err: err})
		if res.StatusCode == http.StatusServiceUnavailable {
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// TestPlannedStopCutsNoRequestTakenLate keeps callers busy at a VM that stops, so that a request is always in flight: each
// answer must be complete, or say that the request has not run.
func TestPlannedStopCutsNoRequestTakenLate(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1)
	for _, e := range f.endpoints {
		e.Step = 250 * time.Millisecond
	}
	var wg sync.WaitGroup
	for n := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(n) * 180 * time.Millisecond)
			f.streamUntilGone(f.vms[0], n%2 == 0, func(id string, a answer) {
				switch a.status {
				case http.StatusServiceUnavailable:
					assert.NotEmpty(t, a.header.Get("Retry-After"))
					assert.Empty(t, f.runsOf(id), "the status says that the request did not run, but it ran")
				case 0:
					assert.Empty(t, f.runsOf(id), "no answer to a request that was passed on: %v", a.err)
				default:
					assert.NoError(t, a.err)
					assert.Equal(t, standin.CompleteStream(id, 6), a.body)
				}
			})
		}()
	}
	require.Eventually(t, func() bool { return len(f.allRuns()) >= 8 }, maxWait, 10*time.Millisecond)
	require.NoError(t, f.vms[0].app.Stop(context.Background()))
	wg.Wait()
}

// TestPlannedStopAnswersAcceptedConnections sends requests on connections that a VM accepted just before it closed its port at
// the end of a planned stop: one connection without a request until then, one kept since an earlier request. The drain accepts
// the short online request and the job until the end.
func TestPlannedStopAnswersAcceptedConnections(t *testing.T) {
	t.Parallel()
	job, err := json.Marshal(map[string]any{"items": newItems(1)})
	require.NoError(t, err)
	cases := []struct {
		name, path, deadline, body string
	}{
		{"a long request", "/draft/1", "5000", "prompt"},
		{"a short request", "/draft/1", "1000", "prompt"},
		{"a job", "/batch/1", "5000", string(job)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			testAcceptedConnections(t, c.path, c.deadline, c.body)
		})
	}
}

func testAcceptedConnections(t *testing.T, path, deadline, body string) {
	t.Helper()
	f := newFleet(t, 1)
	address := strings.TrimPrefix(f.vms[0].base, "http://")
	ask := func(conn net.Conn, path, body string) (int, string) {
		id := newID("end")
		_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Token-Count: 450,250\r\n"+
			"X-Deadline-Ms: %s\r\nContent-Length: %d\r\n\r\n%s", path, testHost, id, deadline, len(body), body)
		require.NoError(t, err)
		res, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if !assert.NoError(t, err, "the connection ends without an answer") {
			return 0, id
		}
		defer func() { _ = res.Body.Close() }()
		_, err = io.ReadAll(res.Body)
		assert.NoError(t, err)
		return res.StatusCode, id
	}
	dial := func() net.Conn {
		conn, err := net.Dial("tcp4", address)
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	kept := dial()
	status, _ := ask(kept, "/draft/1", "prompt")
	require.Equal(t, http.StatusOK, status)
	stopped := make(chan error, 1)
	go func() { stopped <- f.vms[0].app.Stop(context.Background()) }()
	unused := dial()
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp4", address)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	}, maxWait, time.Millisecond, "the port stays open")
	for _, conn := range []net.Conn{unused, kept} {
		status, id := ask(conn, path, body)
		assert.Equal(t, http.StatusServiceUnavailable, status)
		assert.Empty(t, f.runsOf(id), "the request was passed on to an endpoint by a VM that ends")
	}
	require.NoError(t, <-stopped)
}

// TestGracePeriodRaisedBeforeAStopIsUsed raises the grace period from 2 s to 8 s in the settings file just before a planned stop,
// without a SIGHUP: a stream of 3 s that the VM accepts must be complete before the process may exit.
func TestGracePeriodRaisedBeforeAStopIsUsed(t *testing.T) {
	text, err := os.ReadFile("../../platform/testdata/settings.toml")
	require.NoError(t, err)
	require.Contains(t, string(text), "graceS = 8")
	file := filepath.Join(t.TempDir(), "settings.toml")
	t.Setenv(platform.SettingsVariable, file)
	f := newFleet(t, 0)
	f.grace = 2 * time.Second
	f.addVM()
	for _, e := range f.endpoints {
		e.Step = 500 * time.Millisecond
	}
	require.NoError(t, os.WriteFile(file, text, 0o600))
	app := f.vms[0].app
	ctx, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	got := make(chan answer, 1)
	id := newID("g")
	go func() {
		time.Sleep(300 * time.Millisecond)
		got <- f.stream(f.vms[0], "/draft/1", id)
	}()
	assert.NoError(t, app.Stop(ctx), "the process exits before the daemon has stopped")
	select {
	case a := <-got:
		assert.NoError(t, a.err)
		assert.Equal(t, http.StatusOK, a.status)
		assert.Equal(t, standin.CompleteStream(id, 6), a.body)
	case <-time.After(time.Second):
		assert.Fail(t, "the request is still in flight when the process exits")
	}
}

// TestUnansweredRequestsAreAnsweredAtTheEndOfAStop sends requests whose deadlines are long after the end of a stop, before and
// after its signal; their endpoints are silent, or their bodies incomplete, until the end. Each must get a complete answer, which
// says that the request has not run only if it has not.
func TestUnansweredRequestsAreAnsweredAtTheEndOfAStop(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name, path string
		setUp      func(*standin.Endpoint)
		isPartial  bool
		status     int
	}{
		{"a silent endpoint", "/book/1", func(e *standin.Endpoint) {
			e.SetFault(func(int, *http.Request) standin.EndpointFault { return standin.NoAnswer })
		}, false, http.StatusGatewayTimeout},
		{"a silent endpoint of a safe request", "/status/1", func(e *standin.Endpoint) {
			e.SetFault(func(int, *http.Request) standin.EndpointFault { return standin.NoAnswer })
		}, false, http.StatusGatewayTimeout},
		{"a stream without an event", "/draft/1", func(e *standin.Endpoint) {
			e.Step = 12 * time.Second
		}, false, http.StatusGatewayTimeout},
		{"a body that comes slowly", "/book/1", func(*standin.Endpoint) {}, true, http.StatusServiceUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 0)
			f.grace = 3 * time.Second
			for _, r := range f.routes {
				r["timeoutMs"] = 30000
			}
			f.configure()
			f.addVM()
			for _, e := range f.endpoints {
				c.setUp(e)
			}
			ask := func(id string) (int, error) {
				conn, err := net.Dial("tcp4", strings.TrimPrefix(f.vms[0].base, "http://"))
				require.NoError(t, err)
				t.Cleanup(func() { _ = conn.Close() })
				body := "prompt"
				if c.isPartial {
					body = "pro"
				}
				_, err = io.WriteString(conn, "POST "+c.path+" HTTP/1.1\r\nHost: "+testHost+"\r\nX-Request-Id: "+id+
					"\r\nX-Token-Count: 450,250\r\nX-Deadline-Ms: 20000\r\nContent-Length: 6\r\n\r\n"+body)
				require.NoError(t, err)
				res, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil {
					return 0, err
				}
				defer func() { _ = res.Body.Close() }()
				_, err = io.ReadAll(res.Body)
				return res.StatusCode, err
			}
			var wg sync.WaitGroup
			for _, wait := range []time.Duration{0, 700 * time.Millisecond} {
				wg.Go(func() {
					time.Sleep(wait)
					id := newID("end")
					status, err := ask(id)
					assert.NoError(t, err, "the request ends without a complete answer")
					assert.Equal(t, c.status, status)
					if c.isPartial {
						assert.Empty(t, f.runsOf(id))
					} else {
						assert.NotEmpty(t, f.runsOf(id))
					}
				})
			}
			time.Sleep(300 * time.Millisecond)
			begun := time.Now()
			require.NoError(t, f.vms[0].app.Stop(context.Background()))
			assert.Less(t, time.Since(begun), f.grace)
			wg.Wait()
		})
	}
}
