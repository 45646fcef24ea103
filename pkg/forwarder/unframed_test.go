package forwarder

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/router"
	"github.com/dogwoodledge/dogwoodledge/pkg/declarer"
)

// TestUnframedAnswerOfAKilledServiceIsNotWhole guards against the close of a killed service's connection that is taken for the
// end of its answer, which has neither a length nor chunks.
func TestUnframedAnswerOfAKilledServiceIsNotWhole(t *testing.T) {
	t.Parallel()
	for name, isKilled := range map[string]bool{"lives": false, "killed": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ln, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { _ = ln.Close() })
			go serveUnframed(ln, isKilled)
			e := declarer.Endpoint{
				Meta: declarer.Meta{Name: "e"}, Address: netip.MustParseAddrPort(ln.Addr().String()), Region: "r", AvailabilityZone: "a",
				Models: []string{testModel}, Slots: 10,
			}
			shared := NewSharedRouter(rand.New(rand.NewPCG(1, 1)))
			shared.Handle(router.Configured{Region: "r", AvailabilityZone: "a", Endpoints: []router.Endpoint{
				{Name: e.Name, Region: e.Region, AvailabilityZone: e.AvailabilityZone, Serves: e.Models, Slots: e.Slots},
			}})
			log, _ := logtest.NewNullLogger()
			d := NewDispatcher(
				grantAll{}, &crashingFleet{engines: map[string]declarer.Endpoint{e.Name: e}}, shared, log, func(string) {})
			call := Call{Serves: testModel, Deadline: time.Now().Add(5 * time.Second)}
			reply, err := d.Service(t.Context(), NewPools(), call,
				ServiceRequest{Method: http.MethodPost, Path: "/x", Header: http.Header{}})
			if isKilled {
				assert.Error(t, err, "%q", reply.Body)
				return
			}
			require.NoError(t, err)
			assert.Equal(t, "half an answer", string(reply.Body))
		})
	}
}

// serveUnframed answers one request without a length or chunks, and then holds further connections open, unless it is killed
// after half of the answer.
func serveUnframed(ln net.Listener, isKilled bool) {
	for n := 0; ; n++ {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		if n > 0 {
			go func() { _, _ = io.Copy(io.Discard, c) }()
			continue
		}
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf an ")
		if isKilled {
			_ = ln.Close()
		} else {
			_, _ = io.WriteString(c, "answer")
		}
		_ = c.Close()
	}
}
