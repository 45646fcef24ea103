package granter

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/dogwoodledge/dogwoodledge/pkg/messenger"
	"github.com/dogwoodledge/dogwoodledge/pkg/messenger/wire"
)

// lateAllocator reports that a request is queued just as the requester's timeout ends, and never grants a slot.
type lateAllocator struct{ wire.UnimplementedVMsServer }

func (lateAllocator) Reserve(_ *wire.ReserveRequest, s grpc.ServerStreamingServer[wire.ReserveReply]) error {
	// The reply must arrive about when the requester's timeout ends: the delay itself is what is tested.
	time.Sleep(firstReplyTimeout - time.Millisecond)
	_ = s.Send(&wire.ReserveReply{Queued: true})
	<-s.Context().Done()
	return s.Context().Err()
}

// TestLateReplyIsNotReportedAsCancelled makes many calls at once, so that some replies arrive just as the timeout ends: none
// of these calls may be reported as cancelled by its caller, because no caller cancelled.
func TestLateReplyIsNotReportedAsCancelled(t *testing.T) {
	addr := netip.MustParseAddrPort("127.0.0.1:19874")
	auth := messenger.NewAuthenticator([]byte("own"))
	s, err := messenger.NewServer(addr, auth, insecure.NewCredentials(), lateAllocator{})
	require.NoError(t, err)
	s.Start()
	defer s.Stop()
	caller := messenger.NewCaller(auth, insecure.NewCredentials())
	defer caller.Close()
	view := viewOf(nil)
	for i := range view.Members {
		view.Members[i].Address = addr
	}
	r := NewReserver(newTestGranter(&batchRecorder{}, 4), nil, caller, logrus.New(), nil)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	const requests = 300
	ended := make(chan error, requests)
	for range requests {
		go func() {
			_, err := r.reserveAt(ctx, view, "vm-a", Request{ID: "x", Endpoint: "e", Deadline: time.Now().Add(time.Second)})
			ended <- err
		}()
	}
	for range requests {
		select {
		case err := <-ended:
			if unreachable := (*unreachableError)(nil); !errors.As(err, &unreachable) {
				assert.NoError(t, ctx.Err(), "the caller has not cancelled: %v", err)
				assert.NotErrorIs(t, err, context.Canceled)
			}
		case <-time.After(300 * time.Millisecond):
			cancel()
			return
		}
	}
}
