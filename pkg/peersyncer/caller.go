package peersyncer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"github.com/dogwoodledge/dogwoodledge/pkg/watchdog"
)

// Connections calls Follow over gRPC, one call at a time. It keeps the connection to the VM that it called last.
type Connections struct {
	method string
	// dog is the watchdog of the call in progress, if it has one.
	dog atomic.Pointer[watchdog.Watchdog]

	mu   sync.Mutex
	addr netip.AddrPort
	conn *grpc.ClientConn
}

var _ Caller = (*Connections)(nil)

// NewConnections returns connections for the table of endpoints.
func NewConnections() *Connections { return &Connections{method: followMethod} }

// NewConfigConnections returns connections for the configuration.
func NewConfigConnections() *Connections { return &Connections{method: followConfigMethod} }

// Follow calls the VM at the address.
func (c *Connections) Follow(ctx context.Context, addr netip.AddrPort, q FollowRequest) (FollowReply, error) {
	conn, err := c.connect(addr)
	if err != nil {
		return FollowReply{}, err
	}
	c.dog.Store(watchdog.Of(ctx))
	defer c.dog.Store(nil)
	reply, err := c.invoke(ctx, conn, q)
	if err != nil {
		// A connection that failed would be opened again only after a pause, also if the VM is back.
		c.drop(conn)
	}
	return reply, err
}

func (c *Connections) invoke(ctx context.Context, conn *grpc.ClientConn, q FollowRequest) (FollowReply, error) {
	r := FollowReply{}
	b, err := cbor.Marshal(q)
	if err != nil {
		return r, errors.Wrap(err, "encode request")
	}
	answer := &wrapperspb.BytesValue{}
	if err := conn.Invoke(ctx, "/"+serviceName+"/"+c.method, wrapperspb.Bytes(b), answer); err != nil {
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
	conn, err := dial(addr, c.dog.Load)
	if err != nil {
		return nil, err
	}
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.addr, c.conn = addr, conn
	return conn, nil
}

// dial returns a connection whose reads are progress of the call that the watchdog watches, if there is one.
func dial(addr netip.AddrPort, dog func() *watchdog.Watchdog) (*grpc.ClientConn, error) {
	connect := func(ctx context.Context, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		if err != nil {
			return nil, err
		}
		return &watchedConn{Conn: conn, dog: dog}, nil
	}
	conn, err := grpc.NewClient(
		addr.String(), grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithContextDialer(connect))
	return conn, errors.Wrap(err, "create gRPC client")
}

// watchedConn records what is read as progress. Frames without data, such as acknowledgements, are none.
type watchedConn struct {
	net.Conn
	dog func() *watchdog.Watchdog
}

// minProgress is the number of bytes read at once that are taken for a part of an answer.
const minProgress = 256

// Read implements net.Conn.
func (c *watchedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if dog := c.dog(); dog != nil && n >= minProgress {
		dog.Received(n)
	}
	return n, err
}

func (c *Connections) drop(conn *grpc.ClientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = conn.Close()
	if c.conn == conn {
		c.conn = nil
	}
}
