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

	"github.com/dogwoodledge/dogwoodledge/pkg/loader"
	"github.com/dogwoodledge/dogwoodledge/pkg/messenger/wire"
)

const (
	keepAliveEvery = 20 * time.Second
	idleAfter      = 2 * time.Minute
	maxCallBytes   = 16 << 20
)

// Caller calls other VMs over connections that it keeps.
type Caller struct {
	auth  *Authenticator
	creds credentials.TransportCredentials
	mu    sync.Mutex
	conns map[netip.AddrPort]*grpc.ClientConn
}

// NewCaller returns a caller that signs its calls with auth.
func NewCaller(auth *Authenticator, creds credentials.TransportCredentials) *Caller {
	return &Caller{auth: auth, creds: creds, conns: map[netip.AddrPort]*grpc.ClientConn{}}
}

// VM returns the client of the VM at addr.
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
		grpc.WithIdleTimeout(idleAfter),
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

// Server answers calls of other VMs.
type Server struct {
	listener net.Listener
	grpc     *grpc.Server
}

// NewServer listens at addr for calls to handler.
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
		grpc.MaxRecvMsgSize(maxCallBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepAliveEvery}),
	)
	wire.RegisterVMsServer(s, handler)
	return &Server{listener: l, grpc: s}, nil
}

// Start begins to answer.
func (s *Server) Start() {
	go s.run()
}

func (s *Server) run() {
	_ = s.grpc.Serve(s.listener)
}

// Stop ends at once; callers of a stopped VM ask the next one.
func (s *Server) Stop() {
	s.grpc.Stop()
}

// Credentials returns mutual TLS when the settings name certificates, and else plain TCP.
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
