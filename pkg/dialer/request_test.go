package dialer

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/inspector"
)

// FuzzRequest sends arbitrary requests: a server reads each of them as exactly itself, or none is sent.
func FuzzRequest(f *testing.F) {
	f.Add("/a", "1", "X-Model", "m", []byte("body"))
	f.Add("/a?b#c", "ü,1", "X-Token-Count", "1,1", []byte(nil))
	f.Add("/a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\nPOST /b", "1", "X-Model", "m", []byte(nil))
	f.Add("/a", "1", "Transfer-Encoding", "chunked", []byte("0\r\n\r\nPOST /b HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add("/a", "1", "Content-Length", "0", []byte("POST /b HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add("/a", "1\r\nX-Tenant: b", "Host", "other", []byte(nil))
	f.Add("/a", " 1", "X-A\r\nX-Tenant", "b\r\nX-Tenant: c", []byte(nil))
	f.Fuzz(func(t *testing.T, target, id, name, value string, body []byte) {
		r := Request{
			Method: http.MethodPost, Target: target, Host: "h", Header: http.Header{name: {value}}, Body: body, IDHeader: "X-Id", ID: id,
		}
		r.Header["X-Id"], r.Header["X-Tenant"] = []string{id}, []string{"a"}
		if r.check() != nil {
			return
		}
		written := bytes.Buffer{}
		require.NoError(t, writeRequest(&written, r))
		br := bufio.NewReader(&written)
		got, err := http.ReadRequest(br)
		require.NoError(t, err)
		text, err := io.ReadAll(got.Body)
		require.NoError(t, err)
		assert.Equal(t, string(body), string(text))
		assert.Equal(t, target, got.RequestURI)
		assert.Equal(t, []string{id}, got.Header["X-Id"])
		assert.Equal(t, []string{"a"}, got.Header["X-Tenant"])
		assert.Zero(t, br.Buffered()+written.Len(), "a second request follows")
	})
}

// TestUnsendableRequestIsNotWritten guards against a request that an endpoint would read as another one, or as two.
func TestUnsendableRequestIsNotWritten(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	p := NewPool(atMost(1))
	c := newConn(near, "e", netip.MustParseAddrPort("127.0.0.1:1"))
	_, err := p.Do(context.Background(), c, Request{
		Method: http.MethodPost, Target: "/a", Host: "h", Header: http.Header{"Transfer-Encoding": {"chunked"}},
	})
	field := (*inspector.FieldError)(nil)
	require.True(t, errors.As(err, &field), "%v", err)
	assert.Len(t, p.idle["e"], 1, "the connection is not kept, though nothing was written")
}
