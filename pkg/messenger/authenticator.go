package messenger

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"sync/atomic"

	"github.com/google/uuid"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

const (
	macBytes    = 16
	macHeader   = "dogwoodledge-mac"
	nonceHeader = "dogwoodledge-nonce"
)

// Authenticator signs and checks messages between VMs with the fleet key.
type Authenticator struct {
	key     []byte
	dropped atomic.Int64
}

// NewAuthenticator returns an authenticator for the fleet key.
func NewAuthenticator(key []byte) *Authenticator {
	return &Authenticator{key: key}
}

// Dropped returns how many datagrams and calls were dropped for lack of a valid MAC.
func (a *Authenticator) Dropped() int64 {
	return a.dropped.Load()
}

// Seal appends the MAC to a datagram.
func (a *Authenticator) Seal(datagram []byte) []byte {
	return append(datagram, a.mac("datagram", datagram)...)
}

// Open checks the MAC of a sealed datagram and returns the datagram without it, or false when the MAC is invalid.
func (a *Authenticator) Open(sealed []byte) ([]byte, bool) {
	n := len(sealed) - macBytes
	if n < 0 || !hmac.Equal(sealed[n:], a.mac("datagram", sealed[:n])) {
		a.dropped.Add(1)
		return nil, false
	}
	return sealed[:n], true
}

// mac returns the MAC of data; it covers purpose too, so that a datagram's MAC is not valid for a call.
func (a *Authenticator) mac(purpose string, data []byte) []byte {
	h := hmac.New(sha256.New, a.key)
	h.Write([]byte(purpose))
	h.Write([]byte{0})
	h.Write(data)
	return h.Sum(nil)[:macBytes]
}

// signCall adds a nonce and the MAC to an outgoing unary call.
func (a *Authenticator) signCall(
	ctx context.Context, method string, req, reply any, cc *grpc.ClientConn, invoke grpc.UnaryInvoker, opts ...grpc.CallOption,
) error {
	return invoke(a.signed(ctx, method), method, req, reply, cc, opts...)
}

// signStream adds a nonce and the MAC to an outgoing streaming call.
func (a *Authenticator) signStream(
	ctx context.Context, desc *grpc.StreamDesc, cc *grpc.ClientConn, method string, open grpc.Streamer, opts ...grpc.CallOption,
) (grpc.ClientStream, error) {
	return open(a.signed(ctx, method), desc, cc, method, opts...)
}

func (a *Authenticator) signed(ctx context.Context, method string) context.Context {
	nonce := uuid.NewString()
	mac := hex.EncodeToString(a.mac("call", []byte(method+nonce)))
	return metadata.AppendToOutgoingContext(ctx, nonceHeader, nonce, macHeader, mac)
}

// checkCall refuses an incoming unary call without a valid MAC.
func (a *Authenticator) checkCall(
	ctx context.Context, req any, info *grpc.UnaryServerInfo, handle grpc.UnaryHandler,
) (any, error) {
	if err := a.check(ctx, info.FullMethod); err != nil {
		return nil, err
	}
	return handle(ctx, req)
}

// checkStream refuses an incoming streaming call without a valid MAC.
func (a *Authenticator) checkStream(
	srv any, s grpc.ServerStream, info *grpc.StreamServerInfo, handle grpc.StreamHandler,
) error {
	if err := a.check(s.Context(), info.FullMethod); err != nil {
		return err
	}
	return handle(srv, s)
}

func (a *Authenticator) check(ctx context.Context, method string) error {
	md, _ := metadata.FromIncomingContext(ctx)
	nonce, mac := first(md.Get(nonceHeader)), first(md.Get(macHeader))
	got, err := hex.DecodeString(mac)
	if err == nil && hmac.Equal(got, a.mac("call", []byte(method+nonce))) {
		return nil
	}
	a.dropped.Add(1)
	return status.Error(codes.Unauthenticated, "call lacks the fleet's authenticator: check fleet.key in the settings")
}

func first(list []string) string {
	if len(list) == 0 {
		return ""
	}
	return list[0]
}
