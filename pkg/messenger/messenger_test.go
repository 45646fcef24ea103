package messenger

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/configurator"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/detector"
	"github.com/dogwoodledge/dogwoodledge/pkg/emulator"
	"github.com/dogwoodledge/dogwoodledge/pkg/messenger/wire"
	"github.com/dogwoodledge/dogwoodledge/pkg/packer"
)

func sampleGossip() detector.Gossip {
	return detector.Gossip{
		From: detector.Member{
			VM: "vm-1", Address: netip.MustParseAddrPort("10.0.0.1:7000"), Region: "syd", AvailabilityZone: "syd-a",
			State: detector.Alive, Incarnation: 7,
		},
		Head: configurator.Head{Revision: 3, Hash: "abc", Preset: "peak"},
		Members: []detector.Member{
			{VM: "vm-2", Address: netip.MustParseAddrPort("[::1]:7000"), State: detector.Suspect},
			{VM: "vm-3", Address: netip.MustParseAddrPort("[::1]:7001"), Incarnation: 8, IsPartitioned: true},
		},
		Endpoints: []detector.EndpointUpdate{{Endpoint: "engine-1", IsLeaving: true, Number: 9}},
	}
}

func TestDatagramsRoundTrip(t *testing.T) {
	addr := netip.MustParseAddrPort("10.0.0.9:1")
	for _, m := range []detector.Message{
		detector.Probe{Number: 1, OnBehalfOf: addr, Gossip: sampleGossip()},
		detector.Ack{Number: 2, Gossip: sampleGossip()},
		detector.ProbeRequest{Number: 3, Target: addr, Gossip: sampleGossip()},
	} {
		raw, err := packer.EncodeDatagram(m)
		require.NoError(t, err)
		got, err := packer.DecodeDatagram(raw)
		require.NoError(t, err)
		assert.Equal(t, m, got)
	}
}

func TestForeignMessagesAreDroppedAndCounted(t *testing.T) {
	own, foreign := NewAuthenticator([]byte("own")), NewAuthenticator([]byte("foreign"))
	sealed := own.Seal([]byte("hello"))
	opened, ok := own.Open(sealed)
	assert.True(t, ok)
	assert.Equal(t, "hello", string(opened))
	_, ok = foreign.Open(own.Seal([]byte("hello")))
	assert.False(t, ok)
	sealed[0]++
	_, ok = own.Open(sealed)
	assert.False(t, ok)
	_, ok = own.Open([]byte("short"))
	assert.False(t, ok)
	assert.EqualValues(t, 1, foreign.Dropped())
	assert.EqualValues(t, 2, own.Dropped())
}

// statusOnly serves only the call Status.
type statusOnly struct{ wire.UnimplementedVMsServer }

func (statusOnly) Status(context.Context, *wire.StatusRequest) (*wire.StatusReply, error) {
	return &wire.StatusReply{Vm: "vm-1"}, nil
}

func TestForeignCallsAreRefused(t *testing.T) {
	addr := netip.MustParseAddrPort("127.0.0.1:19871")
	auth := NewAuthenticator([]byte("own"))
	s, err := NewServer(addr, auth, insecure.NewCredentials(), statusOnly{})
	require.NoError(t, err)
	s.Start()
	defer s.Stop()
	for key, isAccepted := range map[string]bool{"own": true, "foreign": false} {
		c := NewCaller(NewAuthenticator([]byte(key)), insecure.NewCredentials())
		client, err := c.VM(addr)
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		_, err = client.Status(ctx, &wire.StatusRequest{})
		cancel()
		assert.Equal(t, isAccepted, err == nil, "key %s: %v", key, err)
		c.Close()
	}
	assert.EqualValues(t, 1, auth.Dropped())
}

// noopListener ignores all notifications.
type noopListener struct{}

func (noopListener) MembersChanged(*View)                    {}
func (noopListener) HeadLearned(configurator.Head, string)   {}
func (noopListener) EndpointLearned(detector.EndpointUpdate) {}
func (noopListener) EndpointListed(string)                   {}

// TestFullQueueDropsAndCounts fills the input queue of a membership that is not started.
func TestFullQueueDropsAndCounts(t *testing.T) {
	m, err := NewMembership(MembershipConfig{
		Self: detector.Member{VM: "vm-1", Address: netip.MustParseAddrPort("127.0.0.1:19872")},
		Auth: NewAuthenticator(nil), Store: emulator.NewPlatform(), Log: logrus.New(), Listener: noopListener{},
		Random: rand.New(rand.NewPCG(1, 1)),
	})
	require.NoError(t, err)
	defer func() { _ = m.conn.Close() }()
	for range inputQueueSize + 5 {
		m.Submit(detector.LeaveOrdered{})
	}
	assert.EqualValues(t, 5, m.Counters.InputsDropped.Load())
}

func FuzzDecodeDatagram(f *testing.F) {
	raw, err := packer.EncodeDatagram(detector.Probe{Number: 1, Gossip: sampleGossip()})
	require.NoError(f, err)
	f.Add(raw)
	f.Add([]byte{})
	f.Add([]byte{0x08, 0x03})
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := packer.DecodeDatagram(raw)
		if err != nil {
			return
		}
		d := detector.New(detector.DefaultConfig(sampleGossip().From), rand.New(rand.NewPCG(1, 1)))
		for _, out := range d.Handle(time.Unix(0, 0), detector.Received{From: sampleGossip().From.Address, Message: m}) {
			if send, ok := out.(detector.Send); ok {
				_, err := packer.EncodeDatagram(send.Message)
				require.NoError(t, err)
			}
		}
	})
}
