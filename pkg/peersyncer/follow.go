package peersyncer

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/distributor"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

const (
	followMethod = "Follow"
	// followConfigMethod is followMethod for the configuration.
	followConfigMethod = "FollowConfig"
	// maxFollowCalls bounds the open calls of followers: several times the average, so that those of lost sources find room.
	maxFollowCalls = 32
	// maxFollowWait bounds the wait that a caller may ask for.
	maxFollowWait = 5 * time.Second
	// snapshotReuse is how long an encoded whole table is passed on; those who get it ask for the changes since next.
	snapshotReuse = time.Second
)

// FollowRequest asks for a table's changes after a version, or for all rows.
type FollowRequest struct {
	_ struct{} `cbor:",toarray"`

	After  int64
	IsFull bool
	// WaitMs is how long to wait for changes, or for the first rows.
	WaitMs int64
}

// FollowReply holds the newest state of the rows that changed, or all rows.
type FollowReply struct {
	_ struct{} `cbor:",toarray"`

	// Version is the version up to which the rows are complete.
	Version int64
	// IsLost says that changes after the version asked for may be missing: all rows have to be read.
	IsLost bool
	// AgeMs is how long before the answer the store said that there are no other changes; for the configuration, how long before
	// the call arrived, and negative if it was later.
	AgeMs int64
	// Zone is the availability zone of the VM that answers.
	Zone string
	Rows []FollowRow
	// Packed replaces Rows on the wire: it is compressed once for all followers that get the same rows.
	Packed []byte

	// bytes is the length of the reply on the wire.
	bytes int64
}

// FollowRow is a row of the table.
type FollowRow struct {
	_ struct{} `cbor:",toarray"`

	Key       string
	Value     []byte
	Version   int64
	IsRemoved bool
}

// follows answers the calls of followers of a table.
type follows struct {
	content content
	// isFromArrival says that ages are stated as of the arrival of a call: who calls knows when it was sent, but not how long
	// the answer was on its way.
	isFromArrival bool
	zone          string
	open          chan struct{}

	mu sync.Mutex
	// packed holds encoded changes by the version that they follow, all of the state whose last change was packedVersion.
	packed        map[int64][]byte
	packedVersion int64
	// snapshot is the encoded whole table at snapshotVersion.
	snapshot        []byte
	snapshotVersion int64
	snapshotAt      time.Time
}

func newFollows(c content, zone string) *follows {
	return &follows{content: c, zone: zone, open: make(chan struct{}, maxFollowCalls), packed: map[int64][]byte{}}
}

// follow answers with what the VM asks for as soon as there is any, or with no rows after the wait.
func (f *follows) follow(ctx context.Context, q FollowRequest) (FollowReply, error) {
	arrivedAt := time.Now()
	select {
	case f.open <- struct{}{}:
		defer func() { <-f.open }()
	default:
		return FollowReply{}, status.Error(codes.ResourceExhausted, "too many VMs follow this one")
	}
	limit := time.NewTimer(min(time.Duration(max(q.WaitMs, 0))*time.Millisecond, maxFollowWait))
	defer limit.Stop()
	for {
		updated := f.content.Updated()
		if reply, ok, err := f.next(q, arrivedAt, false); ok || err != nil {
			return reply, err
		}
		select {
		case <-updated:
		case <-ctx.Done():
			return FollowReply{}, ctx.Err()
		case <-limit.C:
			reply, ok, err := f.next(q, arrivedAt, true)
			if !ok && err == nil {
				err = status.Error(codes.Unavailable, "this VM has not read the table lately")
			}
			return reply, err
		}
	}
}

// next returns the reply to the request; false if there are no rows, if they are too old, or if none changed and isLast is
// false.
func (f *follows) next(q FollowRequest, arrivedAt time.Time, isLast bool) (FollowReply, bool, error) {
	held := time.Since(arrivedAt)
	age := f.content.Age()
	complete := f.content.Complete()
	if complete.Until == 0 || age > distributor.MaxAge {
		return FollowReply{}, false, nil
	}
	if f.isFromArrival {
		age -= held
	}
	r := FollowReply{AgeMs: roundUp(age).Milliseconds(), Zone: f.zone, Version: complete.Until}
	switch {
	case q.IsFull:
		packed, version, since, err := f.packSnapshot()
		r.Packed, r.Version, r.AgeMs = packed, version, roundUp(age+since).Milliseconds()
		return r, true, err
	case q.After < complete.Since:
		r.IsLost = true
		return r, true, nil
	case complete.Changed <= q.After:
		return r, isLast, nil
	}
	packed, err := f.packChanges(q.After, complete.Changed)
	r.Packed = packed
	return r, true, err
}

// packSnapshot returns the encoded whole table, its version, and the time since it was read.
func (f *follows) packSnapshot() ([]byte, int64, time.Duration, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	complete := f.content.Complete()
	if f.snapshot != nil && time.Since(f.snapshotAt) < snapshotReuse && f.snapshotVersion >= complete.Since {
		return f.snapshot, f.snapshotVersion, time.Since(f.snapshotAt), nil
	}
	at := time.Now()
	c := f.content.After(-1)
	rows := make([]FollowRow, 0, len(c.Entries))
	for _, e := range c.Entries {
		if !e.IsRemoved {
			rows = append(rows, rowOf(e))
		}
	}
	b, err := encodeMessage(rows)
	if err != nil {
		return nil, 0, 0, err
	}
	f.snapshot, f.snapshotVersion, f.snapshotAt = b, c.Version, at
	return b, c.Version, time.Since(at), nil
}

// packChanges returns the rows that changed after a version, up to another one.
func (f *follows) packChanges(after, until int64) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.packedVersion != until {
		f.packed, f.packedVersion = map[int64][]byte{}, until
	}
	if b, ok := f.packed[after]; ok {
		return b, nil
	}
	rows := []FollowRow{}
	for _, e := range f.content.After(after).Entries {
		if e.Version <= until {
			rows = append(rows, rowOf(e))
		}
	}
	b, err := encodeMessage(rows)
	if err == nil {
		f.packed[after] = b
	}
	return b, err
}

// roundUp returns the age in whole milliseconds: no VM may believe that it knows more than it does.
func roundUp(age time.Duration) time.Duration {
	return time.Duration(math.Ceil(float64(age)/float64(time.Millisecond))) * time.Millisecond
}

func rowOf(e storer.Entry) FollowRow {
	return FollowRow{Key: e.Key, Value: e.Value, Version: e.Version, IsRemoved: e.IsRemoved}
}

// unpack decodes the rows of a reply.
func (r *FollowReply) unpack() error {
	if len(r.Packed) == 0 {
		return nil
	}
	r.bytes = int64(len(r.Packed))
	err := decodeMessage(r.Packed, &r.Rows)
	r.Packed = nil
	return errors.Wrap(err, "decode rows of a followed table")
}
