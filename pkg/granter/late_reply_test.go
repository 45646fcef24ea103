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

// lateKeeper says that a request queues just as the asker's patience ends, and never grants.
type lateKeeper struct{ wire.UnimplementedVMsServer }

func (lateKeeper) Reserve(_ *wire.ReserveRequest, s grpc.ServerStreamingServer[wire.ReserveReply]) error {
	// The reply has to cross the end of the asker's patience: the delay is what is tested, nothing is waited for.
	time.Sleep(keeperAnswersIn - time.Millisecond)
	_ = s.Send(&wire.ReserveReply{Queued: true})
	<-s.Context().Done()
	return s.Context().Err()
}

// TestLateReplyIsNotTheCallersLeaving asks many times at once, so that some replies come just as the time is over: none of
// them may be taken for the caller having left, which it has not.
func TestLateReplyIsNotTheCallersLeaving(t *testing.T) {
	addr := netip.MustParseAddrPort("127.0.0.1:19873")
	auth := messenger.NewAuthenticator([]byte("own"))
	s, err := messenger.NewServer(addr, auth, insecure.NewCredentials(), lateKeeper{})
	require.NoError(t, err)
	s.Start()
	defer s.Stop()
	caller := messenger.NewCaller(auth, insecure.NewCredentials())
	defer caller.Close()
	view := viewOf(nil)
	for i := range view.Members {
		view.Members[i].Address = addr
	}
	r := NewReserver(newTestGranter(&worker{}, 4), nil, caller, logrus.New(), nil)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	const asks = 300
	ended := make(chan error, asks)
	for range asks {
		go func() {
			_, err := r.askVM(ctx, view, "vm-a", Request{ID: "x", Endpoint: "e", Deadline: time.Now().Add(time.Second)})
			ended <- err
		}()
	}
	for range asks {
		select {
		case err := <-ended:
			if unreachable := (*unreachableError)(nil); !errors.As(err, &unreachable) {
				assert.NoError(t, ctx.Err(), "the caller has not left: %v", err)
				assert.NotErrorIs(t, err, context.Canceled)
			}
		case <-time.After(300 * time.Millisecond):
			cancel()
			return
		}
	}
}
