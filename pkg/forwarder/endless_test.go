package forwarder

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/encoder"
)

// TestEndlessHeadIsBounded has an endpoint send a head without end: the call fails once it has the bytes that a head may have.
func TestEndlessHeadIsBounded(t *testing.T) {
	socket, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = socket.Close() }()
	go func() {
		conn, err := socket.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		// Bytes before the request would be no answer to it.
		_, err = conn.Read(make([]byte, 4096))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
		for err == nil {
			_, err = io.WriteString(conn, strings.Repeat("X-Many: 1\r\n", 400))
		}
	}()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+socket.Addr().String(), nil)
	require.NoError(t, err)
	_, err = NewPools().Online.Do(r)
	assert.ErrorContains(t, err, "exceeded 65536 bytes")
}

// TestEndlessTextIsBounded adds events without end to an answer.
func TestEndlessTextIsBounded(t *testing.T) {
	a, err := Answer{}, error(nil)
	for n := 1; err == nil && n < 1000; n++ {
		ev := encoder.Event{Offset: n}
		ev.Chunk.Choices = []encoder.ChunkChoice{{}}
		ev.Chunk.Choices[0].Delta.Content = strings.Repeat("x", 64<<10)
		_, err = a.Add(ev)
	}
	tooLong := (*AnswerTooLongError)(nil)
	require.ErrorAs(t, err, &tooLong)
	assert.Equal(t, AnswerTooLongError{Limit: MaxServiceAnswerBytes, Token: 129}, *tooLong)
	assert.Len(t, a.Text(), MaxServiceAnswerBytes)
}
