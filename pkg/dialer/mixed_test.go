package dialer

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// longBody does not fit into the buffers of a connection.
var longBody = bytes.Repeat([]byte("x"), 16<<20)

// TestResetDuringTheUploadTruncatesAnswer guards against a part of an answer without a length that is taken for whole, since the
// write of the request learned of the reset and the read saw an end.
func TestResetDuringTheUploadTruncatesAnswer(t *testing.T) {
	addr, _ := serveRaw(t, func(conn net.Conn, br *bufio.Reader) {
		r, err := readHead(br)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, reply(r.Header.Get("X-Id"), "", "part"))
		// The rest of the request is unread, so the close resets the connection.
		time.Sleep(20 * time.Millisecond)
	})
	for range 40 {
		text, err := roundTrip(t, NewPool(atMost(4)), addr, "1", longBody)
		require.Error(t, err, "%q is taken for a complete answer", text)
	}
}

// TestAnswerThatEndsDuringTheUploadIsWhole checks an answer without a length that ends before the endpoint has read the request,
// if the endpoint reads the rest of it.
func TestAnswerThatEndsDuringTheUploadIsWhole(t *testing.T) {
	addr, _ := serveRaw(t, func(conn net.Conn, br *bufio.Reader) {
		r, err := readHead(br)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, reply(r.Header.Get("X-Id"), "", "whole"))
		assert.NoError(t, conn.(*net.TCPConn).CloseWrite())
		_, _ = io.Copy(io.Discard, r.Body)
	})
	text, err := roundTrip(t, NewPool(atMost(4)), addr, "1", longBody)
	require.NoError(t, err)
	assert.Equal(t, "whole", text)
}

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
