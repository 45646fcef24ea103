package relayer

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/continuer"
)

func TestEventsAreCompleteOrAbsent(t *testing.T) {
	long := strings.Repeat("x", 3*eventBufferBytes)
	r := NewEventReader(strings.NewReader(
		"id: 0\ndata: a\n\nx-version: 4\r\nid: 1\r\ndata: b\r\ndata: c\r\n\r\nid: 2\ndata: "+long+"\n\nid: 3\nda"), nil)
	e, err := r.Next()
	require.NoError(t, err)
	assert.Equal(t, int64(0), e.ID)
	assert.Equal(t, "a", string(e.Data))
	e, err = r.Next()
	require.NoError(t, err)
	assert.Equal(t, "b\nc", string(e.Data))
	assert.Equal(t, "x-version: 4\r\nid: 1\r\ndata: b\r\ndata: c\r\n\r\n", string(e.Raw), "events are forwarded unchanged")
	e, err = r.Next()
	require.NoError(t, err)
	assert.Equal(t, int64(2), e.ID)
	assert.Equal(t, long, string(e.Data))
	_, err = r.Next()
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF, "an event without its closing empty line is truncated")
	_, err = NewEventReader(strings.NewReader("data: a\n\n\n"), nil).Next()
	require.NoError(t, err)
}

func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 0\ndata: a\n\nid: 1\ndata: b\n\n"))
	f.Add([]byte("\n\n\n"))
	f.Add([]byte("data"))
	f.Fuzz(func(t *testing.T, b []byte) {
		r := NewEventReader(bytes.NewReader(b), nil)
		var all []byte
		for {
			e, err := r.Next()
			if err != nil {
				break
			}
			all = append(all, e.Raw...)
		}
		assert.True(t, bytes.HasPrefix(b, all), "the events joined are a prefix of the stream")
	})
}

// TestCommentsAreNoProgress checks that what only keeps a connection open does not count as an event of the work.
func TestCommentsAreNoProgress(t *testing.T) {
	r := NewEventReader(strings.NewReader(": still here\n\n\nid: 0\n\ndata: a\n\n"), nil)
	for _, want := range []bool{false, false, true, true} {
		e, err := r.Next()
		require.NoError(t, err)
		assert.Equal(t, want, e.IsProgress(), "%q", e.Raw)
	}
}

// TestNegativeIDIsNone guards against an id that is taken for the one of no event, or for one before it.
func TestNegativeIDIsNone(t *testing.T) {
	for _, id := range []string{"-1", "-5"} {
		e, err := NewEventReader(strings.NewReader("id: "+id+"\ndata: a\n\n"), nil).Next()
		require.NoError(t, err)
		assert.Equal(t, continuer.NoEvent, e.ID)
	}
}
