package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestRequestsWithinTheLimitsAreServed sends the largest requests that the configuration allows to a VM that has nothing else to
// do, one at a time. It guards against limits that refuse or cut a client within them.
func TestRequestsWithinTheLimitsAreServed(t *testing.T) {
	whole := submission(1, maxBodyBytes/4*3-1024)
	require.LessOrEqual(t, len(whole), maxBodyBytes)
	tests := []struct {
		name   string
		pieces []piece
		status int
	}{
		// About 11 Mbit/s: half of the slowest link, and less than the route's time-out.
		{"slow body of 4 MiB", []piece{
			{data: bodyHead, times: 1},
			{data: repeated("0", 64<<10), times: maxBodyBytes / (64 << 10), pause: 45 * time.Millisecond},
		}, http.StatusOK},
		{"slow chunked body of 4 MiB", []piece{
			{data: chunkHead, times: 1},
			{data: chunkOf(64 << 10), times: maxBodyBytes / (64 << 10), pause: 45 * time.Millisecond},
			{data: text("0\r\n\r\n"), times: 1},
		}, http.StatusOK},
		{"submission of 4 MiB", []piece{
			{data: text(headOf("POST", "/batch/calm", fmt.Sprintf("Content-Length: %d", len(whole))) + whole), times: 1},
		}, http.StatusAccepted},
		{"slow head near the limit", []piece{
			{data: text(endlessLine), times: 1},
			{data: repeated("x", 1000), times: 15, pause: 100 * time.Millisecond},
			{data: text("\r\nX-Request-Id: calm\r\n\r\n"), times: 1},
		}, http.StatusOK},
	}
	s := newSite(t)
	require.Eventually(t, s.isServed, waitTimeout, pollPause)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			conn, err := net.Dial("tcp4", s.callers())
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			(&client{conn: conn}).write(tt.pieces)
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			answer, err := io.ReadAll(res.Body)
			require.NoError(t, err)
			assert.Equal(t, tt.status, res.StatusCode, string(answer))
		})
	}
	assert.LessOrEqual(t, memoryMbOf(s.cmd.Process.Pid, "VmHWM"), float64(memoryMb))
}
