package configurator

import (
	"math/rand/v2"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/declarer"
	"github.com/dogwoodledge/dogwoodledge/pkg/option"
)

const (
	maxFetchWait = 500 * time.Millisecond
	fetchTimeout = 3 * time.Second
)

// Head names the configuration in force: its revision, the hash of its snapshot and its preset.
type Head struct {
	Revision int64  `json:"revision"`
	Hash     string `json:"hash"`
	Preset   string `json:"preset"`
}

// Input is what a configurator is told.
type Input interface {
	isInput()
}

// HeadSeen is a head as the store or a peer tells it; Peer is empty for the store.
type HeadSeen struct {
	Head Head
	Peer string
}

// SnapshotGot is the snapshot of Hash.
type SnapshotGot struct {
	Hash     string
	Snapshot declarer.Snapshot
}

// FetchFailed says that the snapshot of Hash could not be had.
type FetchFailed struct {
	Hash string
}

// Woken says that the time of NextWake has come.
type Woken struct{}

func (HeadSeen) isInput()    {}
func (SnapshotGot) isInput() {}
func (FetchFailed) isInput() {}
func (Woken) isInput()       {}

// Output is what a configurator wants done.
type Output interface {
	isOutput()
}

// Poll reads the head from the store.
type Poll struct{}

// Fetch gets the snapshot of Hash from a peer, or from the store when Peer is empty.
type Fetch struct {
	Hash string
	Peer string
}

// Apply swaps the whole configuration at once.
type Apply struct {
	Head     Head
	Snapshot declarer.Snapshot
}

func (Poll) isOutput()  {}
func (Fetch) isOutput() {}
func (Apply) isOutput() {}

// Configurator follows the head.
type Configurator struct {
	pollEvery time.Duration
	random    *rand.Rand
	inForce   Head
	snapshot  declarer.Snapshot
	wanted    Head
	peer      string
	tries     int
	fetchAt   option.Option[time.Time]
	pollAt    time.Time
}

// New returns a configurator without a revision that polls the store about every pollEvery.
func New(pollEvery time.Duration, random *rand.Rand) *Configurator {
	return &Configurator{pollEvery: pollEvery, random: random}
}

// InForce returns the head in force; its revision is 0 before the first.
func (c *Configurator) InForce() Head {
	return c.inForce
}

// NextWake returns when the configurator wants to be woken.
func (c *Configurator) NextWake() option.Option[time.Time] {
	if at, ok := c.fetchAt.Get(); ok && at.Before(c.pollAt) {
		return c.fetchAt
	}
	return option.Some(c.pollAt)
}

// Handle takes one input and returns what is to be done, in order.
func (c *Configurator) Handle(now time.Time, in Input) []Output {
	switch in := in.(type) {
	case HeadSeen:
		return c.see(now, in)
	case SnapshotGot:
		return c.got(in)
	case FetchFailed:
		c.tries++
		c.peer = ""
		c.fetchAt = option.Some(now.Add(c.randomWait()))
	case Woken:
		return c.wakeUp(now)
	}
	return nil
}

func (c *Configurator) see(now time.Time, in HeadSeen) []Output {
	if in.Head.Revision <= c.inForce.Revision || in.Head.Revision < c.wanted.Revision {
		return nil
	}
	if in.Head.Hash == c.inForce.Hash {
		return c.apply(in.Head, c.snapshot)
	}
	isNew := in.Head.Revision > c.wanted.Revision
	c.wanted, c.peer = in.Head, in.Peer
	if isNew {
		c.tries = 0
		c.fetchAt = option.Some(now.Add(c.firstWait()))
	}
	return nil
}

// firstWait is short for a VM without any configuration, which can't serve before it has one.
func (c *Configurator) firstWait() time.Duration {
	if c.inForce.Revision == 0 {
		return 0
	}
	return c.randomWait()
}

func (c *Configurator) randomWait() time.Duration {
	return time.Duration(c.random.Int64N(int64(maxFetchWait)))
}

func (c *Configurator) got(in SnapshotGot) []Output {
	if in.Hash != c.wanted.Hash || c.wanted.Revision <= c.inForce.Revision {
		return nil
	}
	return c.apply(c.wanted, in.Snapshot)
}

func (c *Configurator) apply(h Head, s declarer.Snapshot) []Output {
	c.inForce, c.snapshot = h, s
	c.wanted, c.fetchAt = h, option.None[time.Time]()
	return []Output{Apply{Head: h, Snapshot: s}}
}

func (c *Configurator) wakeUp(now time.Time) []Output {
	out := []Output{}
	if at, ok := c.fetchAt.Get(); ok && !at.After(now) {
		c.fetchAt = option.Some(now.Add(fetchTimeout + c.randomWait()))
		out = append(out, Fetch{Hash: c.wanted.Hash, Peer: c.peer})
	}
	if !c.pollAt.After(now) {
		// The jitter keeps 360 VMs from asking the store in step.
		c.pollAt = now.Add(c.pollEvery/2 + time.Duration(c.random.Int64N(int64(c.pollEvery))))
		out = append(out, Poll{})
	}
	return out
}
