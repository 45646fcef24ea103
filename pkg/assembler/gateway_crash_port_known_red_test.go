//go:build knownred

package assembler_test

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// holdPort accepts and closes connections at the address, as a supervisor does while its engine starts again.
func holdPort(t *testing.T, addr string) net.Listener {
	ln, err := net.Listen("tcp4", addr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
				_, _ = io.ReadAll(c)
				_ = c.Close()
			}()
		}
	}()
	return ln
}

// TestCrashIsSeenIfThePortStaysOpen makes engines crash while something else holds their ports; they are back after 2.5 s, as
// other incarnations under the same ids.
func TestCrashIsSeenIfThePortStaysOpen(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	crashes := atomic.Int64{}
	put := func(id string, e *rawEngine, born int64) {
		f.store.Put("servers", "", id, map[string]any{
			"service": "llm", "address": e.ln.Addr().String(), "zone": "syd-a", "version": "v1", "slots": 8, "state": "ready",
			"coldLeftMs": 0, "seq": 1, "born": born,
		})
	}
	var arm func(id string, e *rawEngine, born int64)
	arm = func(id string, e *rawEngine, born int64) {
		e.onEnd = func() {
			crashes.Add(1)
			addr := e.ln.Addr().String()
			held := holdPort(t, addr)
			time.AfterFunc(2500*time.Millisecond, func() {
				_ = held.Close()
				next := newRawEngineAt(t, addr, e.crash)
				arm(id, next, born+1)
				put(id, next, born+1)
			})
		}
	}
	for _, e := range []string{"i-llm-1", "i-llm-2"} {
		f.store.Remove("servers", "", e)
	}
	for range 12 {
		e := newRawEngine(t, func(id string) string { return head(id, "Content-Length: 500\r\n") }, nil)
		id := newID("i-raw")
		arm(id, e, 1)
		put(id, e, 1)
	}
	f.awaitEndpoints()
	for n := range 24 {
		f.ask(f.vms[n%2], "/draft/1", crashingPart)
		time.Sleep(300 * time.Millisecond)
	}
	t.Logf("%d engines ended", crashes.Load())
	assert.LessOrEqual(t, crashes.Load(), int64(maxEnded))
}
