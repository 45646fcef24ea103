package peersyncer

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/distributor"
)

// pair is a fleet in which this VM hears from one other, or reads the store if that has no address.
type pair struct{ source netip.AddrPort }

func (p pair) Place() (distributor.Place, bool) {
	if !p.source.IsValid() {
		return distributor.Place{IsReader: true}, true
	}
	return distributor.Place{Sources: []string{"source"}}, true
}

func (p pair) AddressOf(string) (netip.AddrPort, bool) { return p.source, p.source.IsValid() }

// newPair starts a source of the table over gRPC and returns its address.
func newPair(t *testing.T, store *memoryTable) (*Syncer, netip.AddrPort) {
	t.Helper()
	log, _ := logtest.NewNullLogger()
	table := NewTable(TableConfig{Name: "endpoints", Zone: "a", IsLarge: true, OnLarge: func(bool) {}}, store, pair{},
		NewConnections(), log)
	addr := freeAddress(t)
	s := New(addr, newTestWatcher(t, table), onePeer{}, log)
	s.PassOn(table, "a")
	require.NoError(t, s.Start(t.Context()))
	return s, addr
}

// TestTableIsFollowedOverGRPC reads the whole table and then a change from another VM, in a fraction of the store's bytes.
func TestTableIsFollowedOverGRPC(t *testing.T) {
	store := newMemoryTable(manyEndpoints)
	_, addr := newPair(t, store)
	link := newProxy(t, addr)
	log, _ := logtest.NewNullLogger()
	table := NewTable(TableConfig{Name: "endpoints", Zone: "a", IsLarge: true, OnLarge: func(bool) {}}, store, pair{link.addr},
		NewConnections(), log)
	own := newTestWatcher(t, table)
	waitFor(t, "VM has the endpoints", func() bool { return len(own.Current().Endpoints) == manyEndpoints })
	whole := link.bytes.Load()
	store.put("endpoints", "new", endpointValue(1))
	waitFor(t, "VM has the new endpoint", func() bool { return len(own.Current().Endpoints) == manyEndpoints+1 })
	time.Sleep(2 * time.Second)
	quiet := link.bytes.Load() - whole
	t.Logf("%d bytes for the whole table, %d in about 2 s", whole, quiet)
	assert.Less(t, whole, int64(300_000))
	assert.Less(t, quiet, int64(5000))
	assert.Zero(t, table.Counters.StoreCalls.Load())
	assert.Equal(t, "source", table.Source())
	assert.Less(t, table.Age(time.Now()), distributor.MaxAge)
}

// TestPeerThatPassesNoTableOn checks the refusals that make a VM ask another one or the store.
func TestPeerThatPassesNoTableOn(t *testing.T) {
	store := newMemoryTable(20)
	follow := func(addr netip.AddrPort, q FollowRequest) (FollowReply, error) {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		return NewConnections().Follow(ctx, addr, q)
	}
	_, err := follow(newEarlierPeer(t, newTestWatcher(t, store)), FollowRequest{})
	assert.Equal(t, codes.Unimplemented, status.Code(err), "an earlier build")
	_, plainAddr := newTestSyncer(t, newTestWatcher(t, store), netip.AddrPort{})
	_, err = follow(plainAddr, FollowRequest{})
	assert.Equal(t, codes.Unimplemented, status.Code(err))

	down := newMemoryTable(20)
	down.isDown = true
	_, addr := newPair(t, down)
	_, err = follow(addr, FollowRequest{IsFull: true, WaitMs: 50})
	assert.Equal(t, codes.Unavailable, status.Code(err), "it has read no rows")

	s, addr := newPair(t, store)
	waitFor(t, "source has the endpoints", func() bool { return s.watcher.Current().IsReady() })
	for range maxFollowCalls {
		s.follows.open <- struct{}{}
	}
	_, err = follow(addr, FollowRequest{IsFull: true})
	assert.Equal(t, codes.ResourceExhausted, status.Code(err))
	<-s.follows.open
	r, err := follow(addr, FollowRequest{IsFull: true, WaitMs: -5})
	require.NoError(t, err)
	assert.Len(t, r.Rows, 20)
	r, err = follow(addr, FollowRequest{After: r.Version - 1})
	require.NoError(t, err)
	assert.True(t, r.IsLost, fmt.Sprint("changes before the source's full read are unknown to it: ", r.Version))
}

// FuzzFollow decodes arbitrary bytes as a reply's rows.
func FuzzFollow(f *testing.F) {
	text, err := encodeMessage([]FollowRow{{Key: "k", Value: []byte("v"), Version: 3}})
	require.NoError(f, err)
	f.Add(text)
	f.Add([]byte{0x4b, 0x04})
	f.Fuzz(func(t *testing.T, b []byte) {
		r := FollowReply{Packed: b}
		if err := r.unpack(); err == nil {
			assert.Nil(t, r.Packed)
		}
	})
}
