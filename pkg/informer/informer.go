package informer

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

	"github.com/dogwoodledge/dogwoodledge/pkg/pauser"
	"github.com/dogwoodledge/dogwoodledge/pkg/watcher"
)

const (
	// askEvery is how often a VM that lost the store asks a peer: several times within the bound for configurations.
	askEvery   = 500 * time.Millisecond
	askTimeout = 400 * time.Millisecond
)

// Peers names a VM to ask.
type Peers interface {
	// AnyPeer returns the address of a live VM, one of the own region first.
	AnyPeer() (netip.AddrPort, bool)
}

// Informer serves peers, and asks them while the store is lost.
type Informer struct {
	address netip.AddrPort
	watcher *watcher.Watcher
	peers   Peers
	log     logrus.FieldLogger
	server  *grpc.Server
}

// New returns an informer that listens on the address.
func New(address netip.AddrPort, w *watcher.Watcher, p Peers, log logrus.FieldLogger) *Informer {
	return &Informer{address: address, watcher: w, peers: p, log: log}
}

// Start serves peers until ctx ends.
func (i *Informer) Start(ctx context.Context) error {
	listen := net.ListenConfig{}
	socket, err := listen.Listen(ctx, "tcp4", i.address.String())
	if err != nil {
		return errors.Wrapf(err, "listen for VMs on %s", i.address)
	}
	i.server = grpc.NewServer()
	i.server.RegisterService(describe(), &Server{watcher: i.watcher})
	go i.runServer(socket)
	go i.runAsk(ctx)
	context.AfterFunc(ctx, i.server.Stop)
	return nil
}

func (i *Informer) runServer(socket net.Listener) {
	if err := i.server.Serve(socket); err != nil {
		i.log.WithError(err).Error("server for VMs ended")
	}
}

func (i *Informer) runAsk(ctx context.Context) {
	pauser.Every(ctx, askEvery, func(time.Time) {
		if i.watcher.IsLost() {
			i.askAny(ctx)
		}
	})
}

func (i *Informer) askAny(ctx context.Context) {
	peer, ok := i.peers.AnyPeer()
	if !ok {
		return
	}
	if err := i.ask(ctx, peer); err != nil {
		i.log.WithError(err).WithField("peer", peer.String()).Info("peer did not pass its rows on")
	}
}

func (i *Informer) ask(ctx context.Context, peer netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	conn, err := grpc.NewClient(peer.String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return errors.Wrap(err, "connect")
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
	i.watcher.HearPeer(entries)
	return nil
}
