package messenger

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/dogwoodledge/dogwoodledge/pkg/acceptor"
	"github.com/dogwoodledge/dogwoodledge/pkg/loader"
	"github.com/dogwoodledge/dogwoodledge/pkg/messenger/wire"
)

const (
	keepAliveInterval = 20 * time.Second
	idleTimeout       = 2 * time.Minute
	maxCallBytes      = 16 << 20
	// MaxConnections bounds the connections of other VMs: two of each of 300, and some that are closing.
	MaxConnections = 1024
	// maxHeadBytes bounds the head of a call, handshakeTimeout the time from a new connection to its first frames.
	maxHeadBytes     = 16 << 10
	handshakeTimeout = 5 * time.Second
)

// Caller provides gRPC clients for other VMs and caches their connections.
type Caller struct {
	auth  *Authenticator
	creds credentials.TransportCredentials
	mu    sync.Mutex
	conns map[netip.AddrPort]*grpc.ClientConn
}

// NewCaller returns a caller whose calls carry a MAC of auth.
func NewCaller(auth *Authenticator, creds credentials.TransportCredentials) *Caller {
	return &Caller{auth: auth, creds: creds, conns: map[netip.AddrPort]*grpc.ClientConn{}}
}

// VM returns a client for the VM at addr; it does not wait for the connection.
func (c *Caller) VM(addr netip.AddrPort) (wire.VMsClient, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok := c.conns[addr]; ok {
		return wire.NewVMsClient(conn), nil
	}
	conn, err := grpc.NewClient("passthrough:///"+addr.String(),
		grpc.WithTransportCredentials(c.creds),
		grpc.WithUnaryInterceptor(c.auth.signCall),
		grpc.WithStreamInterceptor(c.auth.signStream),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxCallBytes)),
	)
	if err != nil {
		return nil, errors.Wrapf(err, "reach VM at %s", addr)
	}
	c.conns[addr] = conn
	return wire.NewVMsClient(conn), nil
}

// Close closes every connection.
func (c *Caller) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// Server serves the gRPC calls of other VMs.
type Server struct {
	listener net.Listener
	grpc     *grpc.Server
}

// NewServer listens at addr and serves calls with handler once started.
func NewServer(
	addr netip.AddrPort, auth *Authenticator, creds credentials.TransportCredentials, handler wire.VMsServer,
) (*Server, error) {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errors.Wrap(err, "listen for VMs")
	}
	s := grpc.NewServer(
		grpc.Creds(creds),
		grpc.UnaryInterceptor(auth.checkCall),
		grpc.StreamInterceptor(auth.checkStream),
		grpc.MaxRecvMsgSize(maxCallBytes), grpc.MaxHeaderListSize(maxHeadBytes), grpc.ConnectionTimeout(handshakeTimeout),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepAliveInterval}),
	)
	wire.RegisterVMsServer(s, handler)
	port := acceptor.New(l, acceptor.Config{Name: "vms", Connections: MaxConnections}, &acceptor.Counters{}, nil)
	return &Server{listener: port, grpc: s}, nil
}

// Start begins to serve calls.
func (s *Server) Start() {
	go s.run()
}

func (s *Server) run() {
	_ = s.grpc.Serve(s.listener)
}

// Stop closes all connections at once, without a graceful end; callers send their calls to the next VM.
func (s *Server) Stop() {
	s.grpc.Stop()
}

// Credentials returns mutual TLS when the settings name a certificate, and plain TCP otherwise.
func Credentials(f loader.FleetSettings) (credentials.TransportCredentials, error) {
	if f.CertificateFile == "" {
		return insecure.NewCredentials(), nil
	}
	pair, err := tls.LoadX509KeyPair(f.CertificateFile, f.PrivateKeyFile)
	if err != nil {
		return nil, errors.Wrap(err, "fleet.certificateFile")
	}
	pem, err := os.ReadFile(f.AuthorityFile)
	if err != nil {
		return nil, errors.Wrap(err, "fleet.authorityFile")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("fleet.authorityFile %s holds no certificate", f.AuthorityFile)
	}
	return credentials.NewTLS(&tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}), nil
}
