package storer

import (
	"bytes"
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// objects is a store whose objects all have the same length; it counts the calls.
type objects struct {
	Store
	bytes, calls int
}

// PutObject counts the call.
func (o *objects) PutObject(context.Context, string, []byte) error {
	o.calls++
	return nil
}

// GetObject counts the call and returns an object.
func (o *objects) GetObject(context.Context, string) (io.ReadCloser, error) {
	o.calls++
	return io.NopCloser(bytes.NewReader(make([]byte, o.bytes))), nil
}

// TestLargeObjectsGoThroughASmallShare fetches parts of 500 KB over a share of 15 KB a second, as in the specified load.
//
// An object larger than one second of the share must not time out; the objects after it wait.
func TestLargeObjectsGoThroughASmallShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const part, share, parts = 500_000, 15_000, 4
		o := &objects{bytes: part}
		p := NewRateLimitedStore(o)
		p.SetBytesPerSecond(share)
		startedAt := time.Now()
		for range parts {
			_, err := p.GetObject(t.Context(), "part")
			require.NoError(t, err)
		}
		took := time.Since(startedAt).Seconds()
		assert.InDelta(t, float64(parts-1)*part/share, took, 2, "the rate is the share in the long run")
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		err := p.PutObject(ctx, "result", make([]byte, 10))
		var unavailable *UnavailableError
		require.ErrorAs(t, err, &unavailable)
		assert.False(t, unavailable.MayHaveRun)
		assert.Equal(t, parts, o.calls, "nothing was sent")
		assert.Positive(t, TransferWait(p))
		p.SetBytesPerSecond(0)
		assert.Zero(t, TransferWait(p))
		require.NoError(t, p.PutObject(t.Context(), "result", nil))
	})
}
