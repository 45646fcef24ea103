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
	ringSlots   = 256
	callTimeout = 5 * time.Second
)

// HeadKey is the key of the one row that says which configuration is in force.
const HeadKey = "config/head"

// HeadRow is that row; Writer tells whose write it was when the answer to a write is lost.
type HeadRow struct {
	configurator.Head
	Writer string `json:"writer"`
}

// SnapshotObject returns the name of the object that holds the snapshot of hash.
func SnapshotObject(hash string) string {
	return "snapshot/" + hash
}

// FetchSnapshot reads the snapshot of hash from the store.
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

// PeerFetch gets the bytes of a snapshot from another VM.
type PeerFetch func(ctx context.Context, vm, hash string) ([]byte, error)

// Follower drives a configurator.
type Follower struct {
	store     storer.Store
	peer      PeerFetch
	log       logrus.FieldLogger
	core      *configurator.Configurator
	inputs    chan configurator.Input
	current   atomic.Pointer[Current]
	listeners []func(*Current)
	stop      context.CancelFunc
	done      chan struct{}

	// PeerFetches and StoreFetches count where snapshots came from.
	PeerFetches, StoreFetches atomic.Int64
	// StoreAnsweredAt is when the store last told the head, in nanoseconds of Unix time.
	StoreAnsweredAt atomic.Int64
}

// New returns a follower without a configuration.
func New(s storer.Store, pollEvery time.Duration, random *rand.Rand, log logrus.FieldLogger) *Follower {
	f := &Follower{
		store: s, log: log,
		core:   configurator.New(pollEvery, random),
		inputs: make(chan configurator.Input, ringSlots),
		done:   make(chan struct{}),
	}
	f.current.Store(&Current{})
	return f
}

// OnApply adds a listener, before Start, that is told of every configuration as it comes into force.
func (f *Follower) OnApply(listener func(*Current)) {
	f.listeners = append(f.listeners, listener)
}

// SetPeer says, before Start, how to get snapshots from other VMs.
func (f *Follower) SetPeer(peer PeerFetch) {
	f.peer = peer
}

// Current returns the configuration in force; its revision is 0 before the first.
func (f *Follower) Current() *Current {
	return f.current.Load()
}

// See tells the follower of a head; Peer is empty when the store told it.
func (f *Follower) See(h configurator.Head, peer string) {
	f.tell(configurator.HeadSeen{Head: h, Peer: peer})
}

// Snapshot returns the bytes of the snapshot in force when its hash is the one asked for.
func (f *Follower) Snapshot(hash string) ([]byte, bool) {
	c := f.Current()
	return c.raw, c.Head.Revision > 0 && c.Head.Hash == hash
}

// Start begins to follow.
func (f *Follower) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	go f.loop(ctx)
}

// Stop ends following; the configuration stays as it is.
func (f *Follower) Stop() {
	f.stop()
	<-f.done
}

func (f *Follower) tell(in configurator.Input) {
	select {
	case f.inputs <- in:
	default:
		// A dropped head comes again with the next heartbeat or poll.
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
	c, err := newCurrent(out.Head, out.Snapshot)
	if err != nil {
		f.log.WithError(err).Error("configuration not applied")
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
		f.See(row.Head, "")
	}
}

func (f *Follower) runFetch(ctx context.Context, out configurator.Fetch) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s, err := f.fetch(ctx, out)
	if err != nil {
		f.log.WithError(err).WithField("hash", out.Hash).Warn("snapshot not fetched")
		f.tell(configurator.FetchFailed{Hash: out.Hash})
		return
	}
	f.tell(configurator.SnapshotGot{Hash: out.Hash, Snapshot: s})
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
