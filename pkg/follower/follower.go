package follower

import (
	"context"
	"io"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/configurator"
	"github.com/dogwoodledge/dogwoodledge/pkg/declarer"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

const (
	inputQueueSize = 256
	callTimeout    = 5 * time.Second
)

// HeadKey is the key of the row that names the active configuration of the fleet.
const HeadKey = "config/head"

// HeadRow is the row under HeadKey. Writer identifies the write, so that an operation whose answer was lost can find out
// whether its own write took effect.
type HeadRow struct {
	configurator.Head
	Writer string `json:"writer"`
}

// SnapshotObject returns the name of the object that holds the snapshot with this hash.
func SnapshotObject(hash string) string {
	return "snapshot/" + hash
}

// FetchSnapshot reads the snapshot with this hash from the store.
func FetchSnapshot(ctx context.Context, s storer.Store, hash string) (declarer.Snapshot, error) {
	body, err := s.GetObject(ctx, SnapshotObject(hash))
	if err != nil {
		return declarer.Snapshot{}, err
	}
	defer func() { _ = body.Close() }()
	raw, err := io.ReadAll(body)
	if err != nil {
		return declarer.Snapshot{}, errors.Wrap(err, "read snapshot")
	}
	return declarer.Decode(raw, hash)
}

// PeerFetch fetches the encoded snapshot with this hash from another VM.
type PeerFetch func(ctx context.Context, vm, hash string) ([]byte, error)

// Follower runs a configurator: it polls the store, fetches snapshots and makes them active.
type Follower struct {
	store     storer.Store
	peer      PeerFetch
	log       logrus.FieldLogger
	core      *configurator.Configurator
	inputs    chan configurator.Input
	current   atomic.Pointer[Configuration]
	listeners []func(*Configuration)
	stop      context.CancelFunc
	done      chan struct{}

	// PeerFetches and StoreFetches count the attempts to fetch a snapshot from another VM and from the store.
	PeerFetches, StoreFetches atomic.Int64
	// StoreAnsweredAt is when the store last answered a read of the head row, in nanoseconds of Unix time.
	StoreAnsweredAt atomic.Int64
}

// New returns a follower without a configuration that polls the store about every pollEvery.
func New(s storer.Store, pollEvery time.Duration, random *rand.Rand, log logrus.FieldLogger) *Follower {
	f := &Follower{
		store: s, log: log,
		core:   configurator.New(pollEvery, random),
		inputs: make(chan configurator.Input, inputQueueSize),
		done:   make(chan struct{}),
	}
	f.current.Store(&Configuration{})
	return f
}

// OnApply adds a listener that is called with every configuration when it becomes active. Call it before Start.
func (f *Follower) OnApply(listener func(*Configuration)) {
	f.listeners = append(f.listeners, listener)
}

// SetPeer sets how snapshots are fetched from other VMs. Call it before Start.
func (f *Follower) SetPeer(peer PeerFetch) {
	f.peer = peer
}

// Current returns the active configuration; its revision is 0 before the first one.
func (f *Follower) Current() *Configuration {
	return f.current.Load()
}

// ObserveHead notifies the follower of a head; peer is the VM that sent it, or empty if it comes from the store.
func (f *Follower) ObserveHead(h configurator.Head, peer string) {
	f.enqueue(configurator.HeadObserved{Head: h, Peer: peer})
}

// Snapshot returns the encoded active snapshot and reports whether its hash is the given one.
func (f *Follower) Snapshot(hash string) ([]byte, bool) {
	c := f.Current()
	return c.raw, c.Head.Revision > 0 && c.Head.Hash == hash
}

// Start starts the loop that follows the head.
func (f *Follower) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	go f.loop(ctx)
}

// Stop ends the loop; the active configuration stays as it is.
func (f *Follower) Stop() {
	f.stop()
	<-f.done
}

// enqueue passes an input to the loop, or drops it if the queue is full.
func (f *Follower) enqueue(in configurator.Input) {
	select {
	case f.inputs <- in:
	default:
		// A dropped head is received again with the next heartbeat or poll.
	}
}

func (f *Follower) loop(ctx context.Context) {
	defer close(f.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case in := <-f.inputs:
			f.handle(ctx, in)
		case <-timer.C:
			f.handle(ctx, configurator.Woken{})
		}
		if wake, ok := f.core.NextWake().Get(); ok {
			timer.Reset(time.Until(wake))
		}
	}
}

func (f *Follower) handle(ctx context.Context, in configurator.Input) {
	for _, out := range f.core.Handle(time.Now(), in) {
		switch out := out.(type) {
		case configurator.Poll:
			go f.runPoll(ctx)
		case configurator.Fetch:
			go f.runFetch(ctx, out)
		case configurator.Apply:
			f.apply(out)
		}
	}
}

func (f *Follower) apply(out configurator.Apply) {
	c, err := newConfiguration(out.Head, out.Snapshot)
	if err != nil {
		f.log.WithError(err).Error("configuration not applied: its snapshot can't be encoded")
		return
	}
	f.current.Store(c)
	f.log.WithFields(logrus.Fields{"revision": out.Head.Revision, "preset": out.Head.Preset}).Info("configuration in force")
	for _, listener := range f.listeners {
		listener(c)
	}
}

func (f *Follower) runPoll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row, version, err := storer.ReadJSON[HeadRow](ctx, f.store, HeadKey)
	if err != nil {
		return
	}
	f.StoreAnsweredAt.Store(time.Now().UnixNano())
	if version > 0 {
		f.ObserveHead(row.Head, "")
	}
}

func (f *Follower) runFetch(ctx context.Context, out configurator.Fetch) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s, err := f.fetch(ctx, out)
	if err != nil {
		f.log.WithError(err).WithField("hash", out.Hash).Warn("snapshot not fetched; trying again shortly")
		f.enqueue(configurator.FetchFailed{Hash: out.Hash})
		return
	}
	f.enqueue(configurator.SnapshotFetched{Hash: out.Hash, Snapshot: s})
}

func (f *Follower) fetch(ctx context.Context, out configurator.Fetch) (declarer.Snapshot, error) {
	if out.Peer == "" {
		f.StoreFetches.Add(1)
		return FetchSnapshot(ctx, f.store, out.Hash)
	}
	f.PeerFetches.Add(1)
	raw, err := f.peer(ctx, out.Peer, out.Hash)
	if err != nil {
		return declarer.Snapshot{}, err
	}
	return declarer.Decode(raw, out.Hash)
}
