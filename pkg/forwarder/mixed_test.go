package forwarder

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/dialer"
)

// TestServiceAnswerNeedsAStatus guards against an answer whose status is none that is passed on.
func TestServiceAnswerNeedsAStatus(t *testing.T) {
	t.Parallel()
	for _, status := range []string{"000", "099", "600"} {
		d := newCuttingDispatcher(t, "HTTP/1.1 "+status+" Trouble\r\nContent-Length: 2\r\n\r\nok", false)
		call := Call{Serves: testModel, Deadline: time.Now().Add(5 * time.Second)}
		reply, err := d.Service(t.Context(), NewPools(), call,
			ServiceRequest{Method: http.MethodPost, Path: "/", Header: http.Header{}})
		noStatus := (*dialer.StatusError)(nil)
		assert.True(t, errors.As(err, &noStatus), "status %s: %v", status, err)
		assert.Empty(t, reply.Body)
	}
}

// TestServiceAnswerResetDuringTheUploadIsNotWhole guards against a part of an answer without a length that is taken for whole,
// since the write of the request learned of the reset.
func TestServiceAnswerResetDuringTheUploadIsNotWhole(t *testing.T) {
	t.Parallel()
	d := newEarlyDispatcher(t, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart")
	for range 40 {
		call := Call{Serves: testModel, Deadline: time.Now().Add(5 * time.Second)}
		reply, err := d.Service(t.Context(), NewPools(), call,
			ServiceRequest{Method: http.MethodPost, Path: "/", Header: http.Header{}, Body: bytes.Repeat([]byte("x"), 16<<20)})
		require.Error(t, err, "%q is taken for a complete answer", reply.Body)
	}
}
