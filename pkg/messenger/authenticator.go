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
	tagBytes  = 16
	macHeader = "dogwoodledge-mac"
	nonceKey  = "dogwoodledge-nonce"
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

// Dropped returns how many messages lacked a good authenticator.
func (a *Authenticator) Dropped() int64 {
	return a.dropped.Load()
}

// Seal appends the authenticator to a datagram.
func (a *Authenticator) Seal(datagram []byte) []byte {
	return append(datagram, a.mac("datagram", datagram)...)
}

// Open checks a sealed datagram and returns it without its authenticator.
func (a *Authenticator) Open(sealed []byte) ([]byte, bool) {
	n := len(sealed) - tagBytes
	if n < 0 || !hmac.Equal(sealed[n:], a.mac("datagram", sealed[:n])) {
		a.dropped.Add(1)
		return nil, false
	}
	return sealed[:n], true
}

func (a *Authenticator) mac(purpose string, data []byte) []byte {
	h := hmac.New(sha256.New, a.key)
	h.Write([]byte(purpose))
	h.Write([]byte{0})
	h.Write(data)
	return h.Sum(nil)[:tagBytes]
}

// signCall adds the authenticator to an outgoing call.
func (a *Authenticator) signCall(
	ctx context.Context, method string, req, reply any, cc *grpc.ClientConn, invoke grpc.UnaryInvoker, opts ...grpc.CallOption,
) error {
	return invoke(a.signed(ctx, method), method, req, reply, cc, opts...)
}

// signStream adds the authenticator to an outgoing call that is answered more than once.
func (a *Authenticator) signStream(
	ctx context.Context, desc *grpc.StreamDesc, cc *grpc.ClientConn, method string, open grpc.Streamer, opts ...grpc.CallOption,
) (grpc.ClientStream, error) {
	return open(a.signed(ctx, method), desc, cc, method, opts...)
}

func (a *Authenticator) signed(ctx context.Context, method string) context.Context {
	nonce := uuid.NewString()
	mac := hex.EncodeToString(a.mac("call", []byte(method+nonce)))
	return metadata.AppendToOutgoingContext(ctx, nonceKey, nonce, macHeader, mac)
}

// checkCall refuses an incoming call without a good authenticator.
func (a *Authenticator) checkCall(
	ctx context.Context, req any, info *grpc.UnaryServerInfo, handle grpc.UnaryHandler,
) (any, error) {
	if err := a.check(ctx, info.FullMethod); err != nil {
		return nil, err
	}
	return handle(ctx, req)
}

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
	nonce, mac := first(md.Get(nonceKey)), first(md.Get(macHeader))
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
