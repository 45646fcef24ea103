package delegator

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	core "github.com/dogwoodledge/dogwoodledge/pkg/core/delegator"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/drainer"
	"github.com/dogwoodledge/dogwoodledge/pkg/dialer"
)

const maxWait = 10 * time.Second

var testHeaders = Headers{RequestID: "X-Id", Timeout: "X-Timeout", NotExecuted: "X-Not-Run", Signature: "X-Signed"}

// testVM is a VM that serves the requests of others on a loopback address, and the connections of one that hands over to it.
type testVM struct {
	*Delegator
	t    *testing.T
	pool *dialer.Pool
}

func newTestVM(t *testing.T, limits Limits, h http.HandlerFunc) *testVM {
	t.Helper()
	log, _ := logtest.NewNullLogger()
	socket, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := netip.MustParseAddrPort(socket.Addr().String())
	require.NoError(t, socket.Close())
	d := New(Config{VM: "v", Address: address, Zone: "a", Limits: limits, Headers: testHeaders}, nil, nil, log)
	d.SetHandler(h)
	ctx, cancel := context.WithCancel(context.Background())
	require.NoError(t, d.Start(ctx))
	t.Cleanup(cancel)
	return &testVM{Delegator: d, t: t, pool: dialer.NewPool(func(string) int { return 100 })}
}

// request returns a request as a VM hands it over, with a second left.
func request(id, body string) dialer.Request {
	return dialer.Request{
		Method: http.MethodPost, Target: "/notes?x=1", Host: "h", Body: []byte(body), IDHeader: testHeaders.RequestID, ID: id,
		Header: http.Header{
			testHeaders.RequestID: {id}, testHeaders.Timeout: {"1000"}, Header: {"other"}, "X-Of-Caller": {"a", "b"},
		},
	}
}

// send hands the request over and returns its answer, whose body is not read.
func (v *testVM) send(ctx context.Context, r dialer.Request) (*dialer.Exchange, error) {
	conn, err := v.pool.Get(ctx, "v", v.cfg.Address, r.ID)
	if err != nil {
		return nil, err
	}
	return v.pool.Do(ctx, conn, r)
}

// answer is a whole answer.
type answer struct {
	status int
	header http.Header
	body   string
	// closes says that the connection is closed after the answer.
	closes bool
}

func (a answer) isNotRun() bool { return a.header.Get(testHeaders.NotExecuted) != "" }

// call hands the request over and returns the whole answer; it may be called in any goroutine.
func (v *testVM) call(r dialer.Request) answer {
	v.t.Helper()
	x, err := v.send(v.t.Context(), r)
	if !assert.NoError(v.t, err, r.ID) {
		return answer{}
	}
	defer x.Close()
	body, err := io.ReadAll(x)
	assert.NoError(v.t, err, r.ID)
	return answer{status: x.Response.StatusCode, header: x.Response.Header, body: string(body), closes: x.Response.Close}
}

// sign adds to the answer what shows that it comes from an endpoint.
func sign(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(testHeaders.RequestID, r.Header.Get(testHeaders.RequestID))
	w.Header().Set(testHeaders.Signature, "of the endpoint")
}

// TestAnswersOfEndpointsPassUnchanged hands requests over, small ones one after the other on one connection, and a large one:
// method, target, headers and body reach the peer, and the answers come back whole.
func TestAnswersOfEndpointsPassUnchanged(t *testing.T) {
	for _, status := range []int{200, 201, 204, 302, 400, 404, 429, 500, 503} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			small, large := strings.Repeat("a", 5_000), strings.Repeat("0123456789", 20_000)
			v := newTestVM(t, Limits{}, func(w http.ResponseWriter, r *http.Request) {
				body, err := io.ReadAll(r.Body)
				assert.NoError(t, err)
				assert.Contains(t, []string{small, large}, string(body))
				assert.EqualValues(t, r.ContentLength, len(body))
				assert.Equal(t, "/notes?x=1", r.RequestURI)
				assert.Equal(t, "h", r.Host)
				assert.Equal(t, []string{"a", "b"}, r.Header["X-Of-Caller"])
				assert.Equal(t, "other", r.Header.Get(Header))
				sign(w, r)
				w.Header()["X-Of-Endpoint"] = []string{"c", "d"}
				w.Header().Set("Content-Type", "a/b")
				w.Header()["Date"] = nil
				w.WriteHeader(status)
				if status != http.StatusNoContent {
					_, _ = io.WriteString(w, large)
				}
			})
			for n, body := range []string{small, small, small, large} {
				id := fmt.Sprint("r", n)
				got := v.call(request(id, body))
				assert.Equal(t, status, got.status)
				assert.Equal(t, http.Header{
					testHeaders.RequestID: {id}, testHeaders.Signature: {"of the endpoint"}, "X-Of-Endpoint": {"c", "d"},
					"Content-Type": {"a/b"},
				}, without(got.header, "Content-Length"))
				if status != http.StatusNoContent {
					assert.Equal(t, large, got.body)
				}
				if body == small {
					assert.EqualValues(t, 1, v.Connections.Open.Load(), "the connection is not used again")
				}
			}
			assert.EqualValues(t, 4, v.Received.Load())
			assert.Zero(t, v.RefusedHere.Load())
		})
	}
}

func without(h http.Header, name string) http.Header {
	h = h.Clone()
	h.Del(name)
	return h
}

// TestEventsAreFlushedOneByOne has the peer send an event of a stream only when the one before it has arrived.
func TestEventsAreFlushedOneByOne(t *testing.T) {
	const events = 20
	arrived := make(chan struct{})
	v := newTestVM(t, Limits{}, func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		for n := range events {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: a\n\n", n)
			assert.NoError(t, http.NewResponseController(w).Flush())
			select {
			case <-arrived:
			case <-time.After(maxWait):
				assert.Fail(t, "an event has not arrived", "event %d", n)
				return
			}
		}
	})
	x, err := v.send(t.Context(), request("r1", ""))
	require.NoError(t, err)
	defer x.Close()
	br := bufio.NewReader(x)
	for n := range events {
		for _, want := range []string{fmt.Sprintf("id: %d\n", n), "data: a\n", "\n"} {
			line, err := br.ReadString('\n')
			require.NoError(t, err)
			require.Equal(t, want, line)
		}
		arrived <- struct{}{}
	}
	_, err = br.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

// TestCallerThatLeavesEndsTheRequest ends a request at the VM that handed it over, before and within its answer: it must end at
// the peer, too.
func TestCallerThatLeavesEndsTheRequest(t *testing.T) {
	for _, isBegun := range []bool{false, true} {
		t.Run(fmt.Sprint("answer begun: ", isBegun), func(t *testing.T) {
			reached, ended := make(chan struct{}), make(chan struct{})
			v := newTestVM(t, Limits{}, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if isBegun {
					sign(w, r)
					_ = http.NewResponseController(w).Flush()
				}
				close(reached)
				<-r.Context().Done()
				close(ended)
			})
			ctx, leave := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				defer close(done)
				if x, err := v.send(ctx, request("r1", "prompt")); err == nil {
					_, err = io.Copy(io.Discard, x)
					assert.Error(t, err)
					x.Close()
				}
			}()
			<-reached
			leave()
			select {
			case <-ended:
			case <-time.After(maxWait):
				assert.Fail(t, "the request goes on at the peer")
			}
			<-done
			require.Eventually(t, func() bool { return v.InFlight() == 0 }, maxWait, time.Millisecond)
		})
	}
}

// TestBrokenAnswerIsNotWhole has the peer break off an answer, with and without a stated length: the VM that handed the request
// over must see that it is not whole.
func TestBrokenAnswerIsNotWhole(t *testing.T) {
	for name, length := range map[string]string{"chunks": "", "length": "100"} {
		for _, isFlushed := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", flushed: ", isFlushed), func(t *testing.T) {
				v := newTestVM(t, Limits{}, func(w http.ResponseWriter, r *http.Request) {
					sign(w, r)
					if length != "" {
						w.Header().Set("Content-Length", length)
					}
					_, _ = io.WriteString(w, "id: 0\ndata: a\n\n")
					if isFlushed {
						_ = http.NewResponseController(w).Flush()
					}
					panic(http.ErrAbortHandler)
				})
				x, err := v.send(t.Context(), request("r1", "prompt"))
				if err == nil {
					_, err = io.ReadAll(x)
					x.Close()
				}
				assert.Error(t, err)
				require.Eventually(t, func() bool { return v.InFlight() == 0 }, maxWait, time.Millisecond)
			})
		}
	}
}

// TestOwnAnswersNameTheirRequest has the peer answer itself, twice on one connection. An answer that names no request would be
// taken for one to the request before it.
func TestOwnAnswersNameTheirRequest(t *testing.T) {
	for _, status := range []int{404, 502, 503, 504} {
		v := newTestVM(t, Limits{}, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) })
		for n := range 2 {
			id := fmt.Sprint("r", n)
			got := v.call(request(id, "prompt"))
			assert.Equal(t, status, got.status)
			assert.Equal(t, id, got.header.Get(testHeaders.RequestID))
		}
		assert.EqualValues(t, 1, v.Connections.Open.Load(), "the connection is not used again")
	}
}

// TestRequestsOfOthersAreRefused sends a request that no VM handed over.
func TestRequestsOfOthersAreRefused(t *testing.T) {
	v := newTestVM(t, Limits{}, func(http.ResponseWriter, *http.Request) { assert.Fail(t, "the request is passed on") })
	r := request("r1", "prompt")
	r.Header.Del(Header)
	got := v.call(r)
	assert.Equal(t, http.StatusForbidden, got.status)
	assert.True(t, got.isNotRun())
	assert.EqualValues(t, 1, v.RefusedHere.Load())
}

// TestRequestsInFlightAreBounded hands over more requests at once than the peer allows.
func TestRequestsInFlightAreBounded(t *testing.T) {
	release := make(chan struct{})
	v := newTestVM(t, Limits{Requests: 3}, func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		<-release
	})
	answers := make(chan answer)
	for n := range 3 {
		go func() { answers <- v.call(request(fmt.Sprint("r", n), "")) }()
	}
	require.Eventually(t, func() bool { return v.InFlight() == 3 }, maxWait, time.Millisecond)
	for n := range 5 {
		got := v.call(request(fmt.Sprint("more", n), "prompt"))
		assert.Equal(t, http.StatusServiceUnavailable, got.status)
		assert.True(t, got.isNotRun())
		assert.NotEmpty(t, got.header.Get("Retry-After"))
	}
	close(release)
	for range 3 {
		assert.Equal(t, http.StatusOK, (<-answers).status)
	}
	require.Eventually(t, func() bool { return v.InFlight() == 0 }, maxWait, time.Millisecond)
	assert.Equal(t, http.StatusOK, v.call(request("last", "")).status)
	assert.EqualValues(t, 5, v.RefusedHere.Load())
}

// TestConnectionsAreBounded opens more connections than the peer allows, in all or from one address. The refusals say that
// nothing has run.
func TestConnectionsAreBounded(t *testing.T) {
	for name, limits := range map[string]Limits{"all": {Connections: 3}, "one address": {PerAddress: 3}} {
		t.Run(name, func(t *testing.T) {
			v := newTestVM(t, limits, func(w http.ResponseWriter, r *http.Request) {
				sign(w, r)
				_ = http.NewResponseController(w).Flush()
				<-r.Context().Done()
			})
			for n := range 3 {
				x, err := v.send(t.Context(), request(fmt.Sprint("r", n), ""))
				require.NoError(t, err)
				defer x.Close()
			}
			conn, err := net.Dial("tcp4", v.cfg.Address.String())
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			assert.Equal(t, http.StatusServiceUnavailable, res.StatusCode)
			assert.NotEmpty(t, res.Header.Get(testHeaders.NotExecuted))
			assert.EqualValues(t, 1, v.Connections.Refused.Load())
		})
	}
}

// TestLargeHeadIsRefusedAsNotRun sends a head without an end.
func TestLargeHeadIsRefusedAsNotRun(t *testing.T) {
	v := newTestVM(t, Limits{}, func(http.ResponseWriter, *http.Request) { assert.Fail(t, "the request is passed on") })
	conn, err := net.Dial("tcp4", v.cfg.Address.String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	go func() {
		_, _ = io.WriteString(conn, "POST /notes HTTP/1.1\r\nHost: h\r\n")
		line := "X-Long: " + strings.Repeat("h", 1000) + "\r\n"
		for range 400 {
			if _, err := io.WriteString(conn, line); err != nil {
				return
			}
		}
	}()
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	assert.Equal(t, http.StatusRequestHeaderFieldsTooLarge, res.StatusCode)
	assert.NotEmpty(t, res.Header.Get(testHeaders.NotExecuted))
}

// TestLeavingVMRefusesWhatMayOutlastIt hands requests over to a VM that stops: it accepts those whose time is over before it ends
// and refuses the others from the first moment, as the VM that hands over can ask another one.
func TestLeavingVMRefusesWhatMayOutlastIt(t *testing.T) {
	v := newTestVM(t, Limits{}, sign)
	now := time.Now()
	v.Leave(drainer.Drain{Begun: now, End: now.Add(time.Minute), Propagation: time.Hour})
	for _, tt := range []struct {
		timeout    string
		isAccepted bool
	}{
		{"1000", true},
		{"30000.5", true},
		{"61000", false},
		{"1e300", false},
		{"", false},
		{"soon", false},
		{"NaN", false},
		{"-1", false},
		{"0", false},
	} {
		r := request("r"+tt.timeout, "prompt")
		r.Header.Set(testHeaders.Timeout, tt.timeout)
		got := v.call(r)
		assert.Equal(t, tt.isAccepted, got.status == http.StatusOK, "timeout %q: status %d", tt.timeout, got.status)
		assert.Equal(t, !tt.isAccepted, got.isNotRun(), "timeout %q", tt.timeout)
		assert.True(t, got.closes, "the connection of a VM that stops must be closed after the answer")
		if !tt.isAccepted {
			assert.Equal(t, http.StatusServiceUnavailable, got.status)
		}
	}
}

// TestStopCutsNoRequestOff closes a VM while it serves a request: further ones are refused, on new and on kept connections, and
// the one in flight gets its whole answer.
func TestStopCutsNoRequestOff(t *testing.T) {
	reached, release := make(chan struct{}), make(chan struct{})
	v := newTestVM(t, Limits{}, func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		if r.Header.Get(testHeaders.RequestID) == "long" {
			close(reached)
			<-release
		}
		_, _ = io.WriteString(w, "whole")
	})
	assert.Equal(t, "whole", v.call(request("before", "")).body)
	kept, err := v.pool.Get(t.Context(), "v", v.cfg.Address, "kept")
	require.NoError(t, err)
	answers := make(chan answer, 1)
	go func() { answers <- v.call(request("long", "")) }()
	<-reached
	v.Close()
	x, err := v.pool.Do(t.Context(), kept, request("kept", "prompt"))
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, x.Response.StatusCode)
	assert.NotEmpty(t, x.Response.Header.Get(testHeaders.NotExecuted))
	x.Close()
	got := v.call(request("after", "prompt"))
	assert.Equal(t, http.StatusServiceUnavailable, got.status)
	assert.True(t, got.isNotRun())
	assert.EqualValues(t, 1, v.InFlight())
	ctx, cancel := context.WithTimeout(t.Context(), maxWait)
	defer cancel()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		v.Stop(ctx)
	}()
	time.Sleep(20 * time.Millisecond)
	close(release)
	assert.Equal(t, "whole", (<-answers).body)
	<-stopped
	assert.NoError(t, ctx.Err(), "the server waits for connections that are gone")
	_, err = v.pool.Open(t.Context(), "v", v.cfg.Address)
	assert.Error(t, err)
}

// TestDelegationsAreCounted begins and ends delegations: each counts once at its peer, and the tried peers are not chosen again.
func TestDelegationsAreCounted(t *testing.T) {
	log, _ := logtest.NewNullLogger()
	peers := []core.Peer{
		{VM: "p", Address: netip.MustParseAddrPort("127.0.0.1:1"), AvailabilityZone: "a", IsNear: true},
		{VM: "q", Address: netip.MustParseAddrPort("127.0.0.1:2"), AvailabilityZone: "a", IsNear: true},
	}
	d := New(Config{VM: "v", Zone: "a"}, func() []core.Peer { return peers }, rand.New(rand.NewPCG(1, 1)), log)
	tried := map[string]bool{}
	var begun []*Delegation
	for range peers {
		g, ok := d.Begin(tried)
		require.True(t, ok)
		assert.Contains(t, peers, core.Peer{VM: g.VM, Address: g.Address, AvailabilityZone: "a", IsNear: true})
		assert.False(t, tried[g.VM])
		tried[g.VM] = true
		begun = append(begun, g)
	}
	_, ok := d.Begin(tried)
	assert.False(t, ok)
	assert.EqualValues(t, 2, d.HandedOver.Load())
	assert.EqualValues(t, 1, d.NoPeer.Load())
	// The bound leaves room for one more request at the first peer if, and only if, its first delegation has ended.
	first := begun[0]
	only := map[string]bool{begun[1].VM: true}
	for range core.MaxNear - 1 {
		_, ok := d.Begin(only)
		require.True(t, ok)
	}
	_, ok = d.Begin(only)
	require.False(t, ok)
	first.End(core.Served)
	first.End(core.Served)
	_, ok = d.Begin(only)
	assert.True(t, ok)
	_, ok = d.Begin(only)
	assert.False(t, ok, "the second end of a delegation counts")
}
