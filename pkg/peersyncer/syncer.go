package peersyncer

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/emptypb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"github.com/dogwoodledge/dogwoodledge/pkg/acceptor"
	"github.com/dogwoodledge/dogwoodledge/pkg/clocker"
	"github.com/dogwoodledge/dogwoodledge/pkg/sleeper"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
	"github.com/dogwoodledge/dogwoodledge/pkg/watchdog"
	"github.com/dogwoodledge/dogwoodledge/pkg/watcher"
)

const (
	// fetchInterval is the time between two fetches from a peer while the store is lost: several fit into the time within
	// which a new configuration has to become active.
	fetchInterval = 500 * time.Millisecond
	// fetchTimeout bounds the wait for the beginning of a peer's answer, and the time between two parts of it; fetchLimit bounds
	// all.
	fetchTimeout = 400 * time.Millisecond
	fetchLimit   = 5 * time.Second
	// watchLead is how long a VM waits for its own watch once it has learned that a peer has a newer configuration, sharedLead if
	// other VMs pass the configuration on: it takes a step from VM to VM, and another one if a source is silent.
	watchLead  = 150 * time.Millisecond
	sharedLead = 800 * time.Millisecond
	// MaxConnections bounds the connections of other VMs: the VMs of a region that read a large table from this one keep one each.
	// maxPerVM bounds those of one address.
	MaxConnections = 256
	maxPerVM       = 16
	// maxCallBytes and maxHeadBytes bound a call, which has no parameters, and its head; maxCalls those at once on a connection.
	maxCallBytes = 4 << 10
	maxHeadBytes = 8 << 10
	maxCalls     = 4
	// handshakeTimeout is how long a new connection may take to open its first call's connection; idleTimeout closes those
	// without a call, and ageLimit those that stay.
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
	// IsNear reports whether the VM is known to be in the same region.
	IsNear(vm string) bool
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
	follows *follows
	// config is the table of the configuration if it may be passed on, configFollows its followers.
	config        *Table
	configFollows *follows
	peers         Peers
	log           logrus.FieldLogger
	server        *grpc.Server
	// Connections counts what happened to other VMs' connections.
	Connections acceptor.Counters
	// heardVersion is the version up to which peers sent the changes of the endpoints.
	heardVersion atomic.Int64

	// Counters can be read from any goroutine.
	Counters Counters
}

// Counters count the replies of peers in bytes as received, and the rows in them.
type Counters struct {
	BytesFetched, RowsFetched atomic.Int64
}

// New returns a syncer that listens on the address once started; it passes on the rows of the watcher and of the other sources.
func New(address netip.AddrPort, w *watcher.Watcher, p Peers, log logrus.FieldLogger, others ...Source) *Syncer {
	return &Syncer{
		newer: make(chan newerConfig, 1), address: address, watcher: w, sources: append([]Source{w}, others...), peers: p, log: log,
	}
}

// PassOn makes the syncer pass the table on to VMs that follow it, as one in the availability zone; call it before Start.
func (s *Syncer) PassOn(t *Table, zone string) { s.follows = newFollows(endpoints{s.watcher, t}, zone) }

// PassConfigOn makes the syncer pass the configuration on to VMs that follow it; call it before Start.
func (s *Syncer) PassConfigOn(t *Table, zone string) {
	s.config, s.configFollows = t, newFollows(configuration{s.watcher, clocker.Now}, zone)
	s.configFollows.isFromArrival = true
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
			MaxConnectionIdle: idleTimeout, MaxConnectionAge: ageLimit, MaxConnectionAgeGrace: snapshotTimeout,
		}),
	)
	s.server.RegisterService(serviceDesc(), &Server{
		watcher: s.watcher, sources: s.sources, follows: s.follows, configFollows: s.configFollows,
	})
	go s.runServer(acceptor.New(
		socket, acceptor.Config{Name: "vms", Connections: MaxConnections, PerAddress: maxPerVM}, &s.Connections, s.log))
	go s.runFetch(ctx)
	go s.runFetchConfig(ctx)
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

// runFetchConfig fetches newer configurations, beside the fetches of other rows: a configuration never waits for them.
func (s *Syncer) runFetchConfig(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-s.newer:
			s.fetchNewer(ctx, n)
		}
	}
}

func (s *Syncer) runFetch(ctx context.Context) {
	sleeper.Every(ctx, fetchInterval, func(time.Time) {
		if s.watcher.IsLost() {
			s.fetchFromAnyPeer(ctx)
			return
		}
		// The own feed brings all later changes again.
		s.heardVersion.Store(0)
	})
}

func (s *Syncer) fetchNewer(ctx context.Context, n newerConfig) {
	lead := watchLead
	if s.config != nil && s.config.isShared() {
		lead = sharedLead
	}
	if !sleeper.Sleep(ctx, lead) {
		return
	}
	known := s.watcher.Current().ConfigRow.Version
	if n.row <= known {
		return
	}
	log := s.log.WithFields(logrus.Fields{"peer": n.vm, "row": n.row, "knownRow": known})
	log.Warn("peer has a newer configuration, and the store's feed has not brought it; fetching it from a peer")
	q := newsRequest{ConfigAfter: known}
	if s.watcher.IsLost() && s.watcher.EndpointsVersion() > 0 {
		// The few rows that changed come along: what this VM does under the configuration should go by them.
		q = s.newsOfAll()
	}
	for _, peer := range s.configPeers(n.vm) {
		if err := s.fetch(ctx, peer, q); err != nil {
			log.WithError(err).WithField("address", peer.String()).Info("peer did not send its configuration")
		}
		if s.watcher.Current().ConfigRow.Version > known {
			return
		}
	}
}

// configPeers returns the peers to ask for the configuration that the VM announced: if it is far, a near one first, which most
// often has it by then.
func (s *Syncer) configPeers(vm string) []netip.AddrPort {
	var peers []netip.AddrPort
	announcer, isKnown := s.peers.AddressOf(vm)
	if near, ok := s.peers.AnyPeer(); ok && near != announcer && !s.peers.IsNear(vm) {
		peers = append(peers, near)
	}
	if isKnown {
		peers = append(peers, announcer)
	}
	return peers
}

func (s *Syncer) fetchFromAnyPeer(ctx context.Context) {
	peer, ok := s.peers.AnyPeer()
	if !ok {
		return
	}
	if err := s.fetch(ctx, peer, s.newsOfAll()); err != nil {
		s.log.WithError(err).WithField("peer", peer.String()).Info("peer did not send its rows; asking a peer again in 500 ms")
	}
}

// newsOfAll asks for all that is newer than what this VM knows.
func (s *Syncer) newsOfAll() newsRequest {
	return newsRequest{
		ConfigAfter: s.watcher.Current().ConfigRow.Version, HasRows: true,
		EndpointsAfter: max(s.heardVersion.Load(), s.watcher.EndpointsVersion()),
	}
}

// fetch asks the peer for news and applies them. A peer of a build without this call sends all rows.
func (s *Syncer) fetch(ctx context.Context, peer netip.AddrPort, q newsRequest) error {
	ctx, dog := watchdog.Start(ctx, watchdog.Limits{Answer: fetchTimeout, Stall: fetchTimeout, Total: fetchLimit})
	defer dog.Stop()
	conn, err := dial(peer, func() *watchdog.Watchdog { return dog })
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	reply := newsReply{}
	err = s.invoke(ctx, conn, newsMethod, q, &reply)
	if status.Code(err) == codes.Unimplemented {
		return s.fetchAll(ctx, conn)
	}
	if err != nil {
		return err
	}
	s.apply(entriesOf(reply.Rows))
	if q.HasRows {
		s.heardVersion.Store(max(s.heardVersion.Load(), reply.EndpointsVersion))
	}
	return nil
}

func (s *Syncer) fetchAll(ctx context.Context, conn *grpc.ClientConn) error {
	reply := &wrapperspb.BytesValue{}
	if err := conn.Invoke(ctx, "/"+serviceName+"/"+rowsMethod, &emptypb.Empty{}, reply); err != nil {
		return err
	}
	s.Counters.BytesFetched.Add(int64(len(reply.GetValue())))
	entries, err := decodeRows(reply.GetValue())
	if err != nil {
		return err
	}
	s.apply(entries)
	return nil
}

// invoke calls a method whose request and reply are compressed messages.
func (s *Syncer) invoke(ctx context.Context, conn *grpc.ClientConn, method string, request, reply any) error {
	b, err := encodeMessage(request)
	if err != nil {
		return err
	}
	answer := &wrapperspb.BytesValue{}
	if err := conn.Invoke(ctx, "/"+serviceName+"/"+method, wrapperspb.Bytes(b), answer); err != nil {
		return err
	}
	s.Counters.BytesFetched.Add(int64(len(answer.GetValue())))
	return decodeMessage(answer.GetValue(), reply)
}

func (s *Syncer) apply(entries []storer.Entry) {
	s.Counters.RowsFetched.Add(int64(len(entries)))
	for _, source := range s.sources {
		source.ApplyPeerRows(entries)
	}
}
