package configurator

import (
	"math/rand/v2"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/declarer"
	"github.com/dogwoodledge/dogwoodledge/pkg/option"
)

const (
	maxFetchDelay = 500 * time.Millisecond
	fetchTimeout  = 3 * time.Second
)

// Head identifies a configuration: its revision, the hash of its snapshot and its preset.
type Head struct {
	Revision int64  `json:"revision"`
	Hash     string `json:"hash"`
	Preset   string `json:"preset"`
}

// Input is an event that a configurator handles.
type Input interface {
	isInput()
}

// HeadObserved is a head read from the store or received from a peer; Peer is empty for the store.
type HeadObserved struct {
	Head Head
	Peer string
}

// SnapshotFetched is the fetched snapshot with the hash.
type SnapshotFetched struct {
	Hash     string
	Snapshot declarer.Snapshot
}

// FetchFailed says that the snapshot with the hash could not be fetched.
type FetchFailed struct {
	Hash string
}

// Woken says that the time of NextWake has come.
type Woken struct{}

func (HeadObserved) isInput()    {}
func (SnapshotFetched) isInput() {}
func (FetchFailed) isInput()     {}
func (Woken) isInput()           {}

// Output is an action that a configurator requests.
type Output interface {
	isOutput()
}

// Poll reads the head from the store.
type Poll struct{}

// Fetch requests the snapshot with the hash from a peer, or from the store if Peer is empty.
type Fetch struct {
	Hash string
	Peer string
}

// Apply activates a whole configuration at once.
type Apply struct {
	Head     Head
	Snapshot declarer.Snapshot
}

func (Poll) isOutput()  {}
func (Fetch) isOutput() {}
func (Apply) isOutput() {}

// Configurator tracks the newest head and activates its configuration.
type Configurator struct {
	pollEvery time.Duration
	random    *rand.Rand
	active    Head
	snapshot  declarer.Snapshot
	// newest is the newest head observed; its snapshot is fetched from peer, or from the store if peer is empty.
	newest  Head
	peer    string
	tries   int
	fetchAt option.Option[time.Time]
	pollAt  time.Time
}

// New returns a configurator without a revision that polls the store about every pollEvery.
func New(pollEvery time.Duration, random *rand.Rand) *Configurator {
	return &Configurator{pollEvery: pollEvery, random: random}
}

// Active returns the head of the active configuration; its revision is 0 before the first activation.
func (c *Configurator) Active() Head {
	return c.active
}

// NextWake returns when the configurator needs its next Woken input.
func (c *Configurator) NextWake() option.Option[time.Time] {
	if at, ok := c.fetchAt.Get(); ok && at.Before(c.pollAt) {
		return c.fetchAt
	}
	return option.Some(c.pollAt)
}

// Handle processes one input and returns the actions to perform, in order.
func (c *Configurator) Handle(now time.Time, in Input) []Output {
	switch in := in.(type) {
	case HeadObserved:
		return c.observe(now, in)
	case SnapshotFetched:
		return c.receiveSnapshot(in)
	case FetchFailed:
		c.tries++
		c.peer = ""
		c.fetchAt = option.Some(now.Add(c.randomDelay()))
	case Woken:
		return c.wakeUp(now)
	}
	return nil
}

func (c *Configurator) observe(now time.Time, in HeadObserved) []Output {
	if in.Head.Revision <= c.active.Revision || in.Head.Revision < c.newest.Revision {
		return nil
	}
	if in.Head.Hash == c.active.Hash {
		// The active snapshot is that of the new head, too, so nothing has to be fetched.
		return c.apply(in.Head, c.snapshot)
	}
	isNew := in.Head.Revision > c.newest.Revision
	c.newest, c.peer = in.Head, in.Peer
	if isNew {
		c.tries = 0
		c.fetchAt = option.Some(now.Add(c.firstDelay()))
	}
	return nil
}

// firstDelay returns the delay of the first fetch: none for a VM without a configuration, which can't serve requests yet.
func (c *Configurator) firstDelay() time.Duration {
	if c.active.Revision == 0 {
		return 0
	}
	return c.randomDelay()
}

func (c *Configurator) randomDelay() time.Duration {
	return time.Duration(c.random.Int64N(int64(maxFetchDelay)))
}

func (c *Configurator) receiveSnapshot(in SnapshotFetched) []Output {
	if in.Hash != c.newest.Hash || c.newest.Revision <= c.active.Revision {
		return nil
	}
	return c.apply(c.newest, in.Snapshot)
}

func (c *Configurator) apply(h Head, s declarer.Snapshot) []Output {
	c.active, c.snapshot = h, s
	c.newest, c.fetchAt = h, option.None[time.Time]()
	return []Output{Apply{Head: h, Snapshot: s}}
}

func (c *Configurator) wakeUp(now time.Time) []Output {
	out := []Output{}
	if at, ok := c.fetchAt.Get(); ok && !at.After(now) {
		c.fetchAt = option.Some(now.Add(fetchTimeout + c.randomDelay()))
		out = append(out, Fetch{Hash: c.newest.Hash, Peer: c.peer})
	}
	if !c.pollAt.After(now) {
		// The jitter keeps 360 VMs from polling the store at the same time.
		c.pollAt = now.Add(c.pollEvery/2 + time.Duration(c.random.Int64N(int64(c.pollEvery))))
		out = append(out, Poll{})
	}
	return out
}
