package peersyncer

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/protobuf/types/known/emptypb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"github.com/dogwoodledge/dogwoodledge/pkg/acceptor"
	"github.com/dogwoodledge/dogwoodledge/pkg/sleeper"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
	"github.com/dogwoodledge/dogwoodledge/pkg/watcher"
)

const (
	// fetchInterval is the time between two fetches from a peer while the store is lost: several fit into the time within
	// which a new configuration has to become active.
	fetchInterval = 500 * time.Millisecond
	fetchTimeout  = 400 * time.Millisecond
	// watchLead is how long a VM waits for its own watch once it has learned that a peer has a newer configuration.
	watchLead = 150 * time.Millisecond
	// MaxConnections bounds the connections of other VMs. Each VM opens one at a time, for 400 ms at most; maxPerVM bounds those of
	// one address.
	MaxConnections = 256
	maxPerVM       = 16
	// maxCallBytes and maxHeadBytes bound a call, which has no parameters, and its head; maxCalls those at once on a connection.
	maxCallBytes = 4 << 10
	maxHeadBytes = 8 << 10
	maxCalls     = 4
	// handshakeTimeout is how long a new connection may take to open its first call's connection; idleTimeout closes those without a
	// call, and ageLimit those that stay.
	handshakeTimeout = 3 * time.Second
	idleTimeout      = 5 * time.Second
	ageLimit         = 30 * time.Second
)

// Peers provides the address of a peer.
type Peers interface {
	// AnyPeer returns the address of a live peer, preferably in the same region; false if there is none.
	AnyPeer() (netip.AddrPort, bool)
	// AddressOf returns the address of the VM; false if it is unknown.
	AddressOf(vm string) (netip.AddrPort, bool)
}

// Source holds rows of the store's tables that peers may need while they can't reach it.
type Source interface {
	// Rows returns the known rows.
	Rows() []storer.Entry
	// ApplyPeerRows takes over those of the rows received from a peer that are of the source's tables and new to it.
	ApplyPeerRows(entries []storer.Entry)
}

// newerConfig says that a VM has the configuration of a row, at the row's version.
type newerConfig struct {
	row int64
	vm  string
}

// Syncer serves table rows to peers. It fetches them from a peer while the store is lost, and from a peer that has a newer
// configuration.
type Syncer struct {
	// newer holds the peer to fetch from next, if any.
	newer   chan newerConfig
	address netip.AddrPort
	watcher *watcher.Watcher
	sources []Source
	peers   Peers
	log     logrus.FieldLogger
	server  *grpc.Server
	// Connections counts what happened to other VMs' connections.
	Connections acceptor.Counters
}

// New returns a syncer that listens on the address once started; it passes on the rows of the watcher and of the other sources.
func New(address netip.AddrPort, w *watcher.Watcher, p Peers, log logrus.FieldLogger, others ...Source) *Syncer {
	return &Syncer{
		newer: make(chan newerConfig, 1), address: address, watcher: w, sources: append([]Source{w}, others...), peers: p, log: log,
	}
}

// Start serves peers, and fetches from them while the store is lost, until ctx ends. It returns an error if it can't listen.
func (s *Syncer) Start(ctx context.Context) error {
	listen := net.ListenConfig{}
	socket, err := listen.Listen(ctx, "tcp4", s.address.String())
	if err != nil {
		return errors.Wrapf(err, "listen for peers on %s", s.address)
	}
	s.server = grpc.NewServer(
		grpc.MaxRecvMsgSize(maxCallBytes), grpc.MaxHeaderListSize(maxHeadBytes), grpc.MaxConcurrentStreams(maxCalls),
		grpc.ConnectionTimeout(handshakeTimeout), grpc.KeepaliveParams(keepalive.ServerParameters{
			MaxConnectionIdle: idleTimeout, MaxConnectionAge: ageLimit, MaxConnectionAgeGrace: fetchTimeout,
		}),
	)
	s.server.RegisterService(serviceDesc(), &Server{sources: s.sources})
	go s.runServer(acceptor.New(
		socket, acceptor.Config{Name: "vms", Connections: MaxConnections, PerAddress: maxPerVM}, &s.Connections, s.log))
	go s.runFetch(ctx)
	context.AfterFunc(ctx, s.server.Stop)
	return nil
}

func (s *Syncer) runServer(socket net.Listener) {
	if err := s.server.Serve(socket); err != nil {
		s.log.WithError(err).Error("gRPC server for peers ended")
	}
}

// ConfigLearned makes the syncer fetch from the VM, which has the configuration of a row at this version, unless this VM's own
// watch brings one as new.
//
// A watch can fail without a sign: the store answers but is behind, or the connection has fallen silent.
func (s *Syncer) ConfigLearned(row int64, vm string) {
	if row <= s.watcher.Current().ConfigRow.Version {
		return
	}
	select {
	case s.newer <- newerConfig{row, vm}:
	default:
	}
}

func (s *Syncer) runFetch(ctx context.Context) {
	tick := time.NewTicker(fetchInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-s.newer:
			s.fetchNewer(ctx, n)
		case <-tick.C:
			if s.watcher.IsLost() {
				s.fetchFromAnyPeer(ctx)
			}
		}
	}
}

func (s *Syncer) fetchNewer(ctx context.Context, n newerConfig) {
	if !sleeper.Sleep(ctx, watchLead) {
		return
	}
	known := s.watcher.Current().ConfigRow.Version
	peer, ok := s.peers.AddressOf(n.vm)
	if n.row <= known || !ok {
		return
	}
	log := s.log.WithFields(logrus.Fields{"peer": n.vm, "row": n.row, "knownRow": known})
	log.Warn("peer has a newer configuration, and the store's feed has not brought it; fetching it from the peer")
	if err := s.fetch(ctx, peer); err != nil {
		log.WithError(err).Info("peer did not send its rows")
	}
}

func (s *Syncer) fetchFromAnyPeer(ctx context.Context) {
	peer, ok := s.peers.AnyPeer()
	if !ok {
		return
	}
	if err := s.fetch(ctx, peer); err != nil {
		s.log.WithError(err).WithField("peer", peer.String()).Info("peer did not send its rows; asking a peer again in 500 ms")
	}
}

func (s *Syncer) fetch(ctx context.Context, peer netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	conn, err := grpc.NewClient(peer.String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return errors.Wrap(err, "create gRPC client")
	}
	defer func() { _ = conn.Close() }()
	reply := &wrapperspb.BytesValue{}
	if err := conn.Invoke(ctx, "/"+serviceName+"/"+rowsMethod, &emptypb.Empty{}, reply); err != nil {
		return err
	}
	entries, err := decodeRows(reply.GetValue())
	if err != nil {
		return err
	}
	for _, source := range s.sources {
		source.ApplyPeerRows(entries)
	}
	return nil
}
