package dialer

import (
	"bufio"
	"errors"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestAnswerNeedsAStatus guards against answers whose status is none.
func TestAnswerNeedsAStatus(t *testing.T) {
	for _, status := range []string{"000", "007", "099", "600", "999"} {
		addr, _ := serveRaw(t, func(conn net.Conn, br *bufio.Reader) {
			answerEach(br, func(id string) bool {
				_, err := io.WriteString(conn, "HTTP/1.1 "+status+" Trouble\r\nX-Id: "+id+"\r\nContent-Length: 2\r\n\r\nok")
				return err == nil
			})
		})
		_, err := roundTrip(t, NewPool(atMost(4)), addr, "1", nil)
		exchange := (*ExchangeError)(nil)
		require.Error(t, err, "status %s", status)
		assert.True(t, errors.As(err, &exchange), "status %s", status)
	}
}
