package peersyncer

import (
	"context"
	"net/netip"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

// Connections calls Follow over gRPC. It keeps the connection to the VM that it called last.
type Connections struct {
	mu   sync.Mutex
	addr netip.AddrPort
	conn *grpc.ClientConn
}

var _ Caller = (*Connections)(nil)

// Follow calls the VM at the address.
func (c *Connections) Follow(ctx context.Context, addr netip.AddrPort, q FollowRequest) (FollowReply, error) {
	conn, err := c.connect(addr)
	if err != nil {
		return FollowReply{}, err
	}
	reply, err := invokeFollow(ctx, conn, q)
	if err != nil {
		// A connection that failed would be opened again only after a pause, also if the VM is back.
		c.drop(conn)
	}
	return reply, err
}

func invokeFollow(ctx context.Context, conn *grpc.ClientConn, q FollowRequest) (FollowReply, error) {
	r := FollowReply{}
	b, err := cbor.Marshal(q)
	if err != nil {
		return r, errors.Wrap(err, "encode request")
	}
	answer := &wrapperspb.BytesValue{}
	if err := conn.Invoke(ctx, "/"+serviceName+"/"+followMethod, wrapperspb.Bytes(b), answer); err != nil {
		return r, err
	}
	if err := cbor.Unmarshal(answer.GetValue(), &r); err != nil {
		return r, errors.Wrap(err, "decode reply")
	}
	return r, r.unpack()
}

func (c *Connections) connect(addr netip.AddrPort) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil && c.addr == addr {
		return c.conn, nil
	}
	conn, err := grpc.NewClient(addr.String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return nil, errors.Wrap(err, "create gRPC client")
	}
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.addr, c.conn = addr, conn
	return conn, nil
}

func (c *Connections) drop(conn *grpc.ClientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = conn.Close()
	if c.conn == conn {
		c.conn = nil
	}
}
