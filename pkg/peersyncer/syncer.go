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
	"google.golang.org/protobuf/types/known/emptypb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"github.com/dogwoodledge/dogwoodledge/pkg/sleeper"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
	"github.com/dogwoodledge/dogwoodledge/pkg/watcher"
)

const (
	// fetchInterval is the time between two fetches from a peer while the store is lost: several fit into the time within
	// which a new configuration has to become active.
	fetchInterval = 500 * time.Millisecond
	fetchTimeout  = 400 * time.Millisecond
)

// Peers provides the address of a peer.
type Peers interface {
	// AnyPeer returns the address of a live peer, preferably in the same region; false if there is none.
	AnyPeer() (netip.AddrPort, bool)
}

// Source holds rows of the store's tables that peers may need while they can't reach it.
type Source interface {
	// Rows returns the known rows.
	Rows() []storer.Entry
	// ApplyPeerRows takes over those of the rows received from a peer that are of the source's tables and new to it.
	ApplyPeerRows(entries []storer.Entry)
}

// Syncer serves table rows to peers, and fetches them from a peer while the store is lost.
type Syncer struct {
	address netip.AddrPort
	watcher *watcher.Watcher
	sources []Source
	peers   Peers
	log     logrus.FieldLogger
	server  *grpc.Server
}

// New returns a syncer that listens on the address once started; it passes on the rows of the watcher and of the other sources.
func New(address netip.AddrPort, w *watcher.Watcher, p Peers, log logrus.FieldLogger, others ...Source) *Syncer {
	return &Syncer{address: address, watcher: w, sources: append([]Source{w}, others...), peers: p, log: log}
}

// Start serves peers, and fetches from them while the store is lost, until ctx ends. It returns an error if it can't listen.
func (s *Syncer) Start(ctx context.Context) error {
	listen := net.ListenConfig{}
	socket, err := listen.Listen(ctx, "tcp4", s.address.String())
	if err != nil {
		return errors.Wrapf(err, "listen for peers on %s", s.address)
	}
	s.server = grpc.NewServer()
	s.server.RegisterService(serviceDesc(), &Server{sources: s.sources})
	go s.runServer(socket)
	go s.runFetch(ctx)
	context.AfterFunc(ctx, s.server.Stop)
	return nil
}

func (s *Syncer) runServer(socket net.Listener) {
	if err := s.server.Serve(socket); err != nil {
		s.log.WithError(err).Error("gRPC server for peers ended")
	}
}

func (s *Syncer) runFetch(ctx context.Context) {
	sleeper.Every(ctx, fetchInterval, func(time.Time) {
		if s.watcher.IsLost() {
			s.fetchFromAnyPeer(ctx)
		}
	})
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
