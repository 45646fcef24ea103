package budgeter

import (
	"container/list"
	"time"
)

// Limits are the bytes that may be held, and the times after which a client is given up.
type Limits struct {
	// Bytes bounds all bytes that are held. Holds above SmallHold may use Bytes less SmallShare.
	Bytes, SmallShare int64
	// SmallHold is the size up to which a hold is small.
	SmallHold int64
	// ShedAfter is how long an incomplete body must have made no progress to be given up for the sake of others.
	ShedAfter time.Duration
	// StalledAfter is how long an incomplete body, or an answer that the caller does not take, may make no progress at all.
	StalledAfter time.Duration
}

// pressureTime is how long after a refusal the VM counts as short of room.
const pressureTime = 2 * time.Second

const (
	// minRetryAfter and maxRetryAfter bound the time at which a refused caller is told to come again.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// heldWeight is the weight of one hold in the average time for which large holds are held.
	heldWeight = 0.1
)

// Hold is what is held for one request.
type Hold struct {
	// Owner is whom the hold is for; the budgeter does not use it.
	Owner any

	bytes int64
	since time.Time
	// progress is when the body last made progress; place is its place among the incomplete ones, nil if it is not one.
	progress time.Time
	place    *list.Element
	isShed   bool
}

// Bytes returns how much is held.
func (h *Hold) Bytes() int64 { return h.bytes }

// Verdict is the answer to a reservation: Granted or Refused.
type Verdict interface{ isVerdict() }

// Granted says that the bytes are reserved. The incomplete bodies in Shed have been given up for them, and hold nothing any more.
type Granted struct{ Shed []*Hold }

// Refused says that there is no room, and when there probably is.
type Refused struct{ RetryAfter time.Duration }

func (Granted) isVerdict() {}
func (Refused) isVerdict() {}

// Budgeter decides on the bytes that are held for callers; it is not safe for concurrent use.
type Budgeter struct {
	limits       Limits
	small, large int64
	// incomplete holds the *Hold of each incomplete body, the one without progress for longest first.
	incomplete *list.List
	// refusedAt is the time of the last refusal; held is the average time for which large holds are held.
	refusedAt time.Time
	held      time.Duration
}

// New returns a budgeter that holds nothing.
func New(l Limits) *Budgeter { return &Budgeter{limits: l, incomplete: list.New()} }

// SetLimits replaces the limits; what is held stays held.
func (b *Budgeter) SetLimits(l Limits) { b.limits = l }

// Held returns the bytes that are held.
func (b *Budgeter) Held() int64 { return b.small + b.large }

// Open begins a hold of no bytes for a request whose body is incomplete.
func (b *Budgeter) Open(now time.Time, owner any) *Hold {
	h := &Hold{Owner: owner, since: now, progress: now}
	h.place = b.incomplete.PushBack(h)
	return h
}

// OpenComplete begins a hold of no bytes for a request that has no body, or whose body is complete.
func (b *Budgeter) OpenComplete(now time.Time) *Hold { return &Hold{since: now, progress: now} }

// Reserve adds n bytes to a hold, if need be by giving up incomplete bodies of others that have made no progress.
func (b *Budgeter) Reserve(now time.Time, h *Hold, n int64) Verdict {
	if h.isShed {
		return b.refuse(now)
	}
	missing := b.missing(h, n)
	if missing <= 0 {
		b.add(h, n)
		return Granted{}
	}
	shed := b.sheddable(now, h, n)
	if shed == nil {
		return b.refuse(now)
	}
	for _, s := range shed {
		b.shed(s)
	}
	b.add(h, n)
	return Granted{Shed: shed}
}

// missing returns how many bytes there are too few for the hold to grow by n.
func (b *Budgeter) missing(h *Hold, n int64) int64 {
	missing := b.Held() + n - b.limits.Bytes
	if h.bytes+n <= b.limits.SmallHold {
		return missing
	}
	large := b.large + n
	if h.bytes <= b.limits.SmallHold {
		large += h.bytes
	}
	return max(missing, large-(b.limits.Bytes-b.limits.SmallShare))
}

// sheddable returns incomplete bodies that have made no progress for longest, as few as make room for h to grow by n; nil if all
// of them don't.
//
// Small bodies are not given up for a large one: they would not make room in its share.
func (b *Budgeter) sheddable(now time.Time, h *Hold, n int64) []*Hold {
	missing, isLarge := b.missing(h, n), h.bytes+n > b.limits.SmallHold
	shed := []*Hold{}
	for e := b.incomplete.Front(); e != nil; e = e.Next() {
		s := e.Value.(*Hold)
		if now.Sub(s.progress) < b.limits.ShedAfter {
			break
		}
		if s == h || s.bytes == 0 || isLarge && s.bytes <= b.limits.SmallHold {
			continue
		}
		shed = append(shed, s)
		if missing -= s.bytes; missing <= 0 {
			return shed
		}
	}
	return nil
}

func (b *Budgeter) shed(h *Hold) {
	b.add(h, -h.bytes)
	b.incomplete.Remove(h.place)
	h.place, h.isShed = nil, true
}

// add changes the bytes of a hold, which may make it a small or a large one.
func (b *Budgeter) add(h *Hold, n int64) {
	*b.shareOf(h) -= h.bytes
	h.bytes += n
	*b.shareOf(h) += h.bytes
}

func (b *Budgeter) shareOf(h *Hold) *int64 {
	if h.bytes <= b.limits.SmallHold {
		return &b.small
	}
	return &b.large
}

// refuse returns a refusal. There is room once one of the bodies that are held is given up, or once a large hold ends as usual.
func (b *Budgeter) refuse(now time.Time) Refused {
	b.refusedAt = now
	after := b.held
	if e := b.incomplete.Front(); e != nil {
		after = max(after, e.Value.(*Hold).progress.Add(b.limits.ShedAfter).Sub(now))
	}
	return Refused{RetryAfter: max(minRetryAfter, min(after, maxRetryAfter))}
}

// Release gives n bytes of a hold back.
func (b *Budgeter) Release(h *Hold, n int64) { b.add(h, -min(n, h.bytes)) }

// Progress records that the body of a hold has made progress.
func (b *Budgeter) Progress(now time.Time, h *Hold) {
	h.progress = now
	if h.place != nil {
		b.incomplete.MoveToBack(h.place)
	}
}

// Complete records that a body is complete. It returns false if the hold was given up before.
func (b *Budgeter) Complete(h *Hold) bool {
	if h.place != nil {
		b.incomplete.Remove(h.place)
		h.place = nil
	}
	return !h.isShed
}

// Close ends a hold and gives back what it has.
func (b *Budgeter) Close(now time.Time, h *Hold) {
	if h.bytes > b.limits.SmallHold {
		b.held += time.Duration(heldWeight * float64(now.Sub(h.since)-b.held))
	}
	b.Complete(h)
	b.add(h, -h.bytes)
}

// Stalled gives up the bodies that have made no progress for too long, and returns them.
func (b *Budgeter) Stalled(now time.Time) []*Hold {
	var stalled []*Hold
	for e := b.incomplete.Front(); e != nil; e = b.incomplete.Front() {
		h := e.Value.(*Hold)
		if now.Sub(h.progress) < b.limits.StalledAfter {
			break
		}
		b.shed(h)
		stalled = append(stalled, h)
	}
	return stalled
}

// AnswerTimeout returns how long an answer may make no progress: less while the VM is short of room.
func (b *Budgeter) AnswerTimeout(now time.Time) time.Duration {
	if now.Sub(b.refusedAt) < pressureTime {
		return b.limits.ShedAfter
	}
	return b.limits.StalledAfter
}
