package orderer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/batcher"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/outcome"
	"github.com/dogwoodledge/dogwoodledge/pkg/declarer"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

const (
	// LeaseLength is how long a lease must stand unchanged before another may take it over.
	LeaseLength = 30 * time.Second
	// LongestOrder is how long an engine may take over an order.
	LongestOrder = 2 * time.Minute
	// LoadSlots is how many engines of the fleet load weights at once.
	LoadSlots = 2

	sendWithin = LeaseLength / 2
	busyRetry  = 5 * time.Second
)

// Send gives the order with its fence to the engine and returns how that ended.
type Send func(ctx context.Context, e declarer.Endpoint, o Order, fence int64) (outcome.Outcome, error)

// Orderer gives orders for one VM.
type Orderer struct {
	vm    string
	store storer.Store
	send  Send
	now   func() time.Time

	mu sync.Mutex
	// Engines that check fencing refuse an old order by themselves; the others get theirs only after the longest
	// order of the last holder is over too.
	fenced   *batcher.LeaseWatch
	unfenced *batcher.LeaseWatch
}

// New returns an orderer; now is the monotonic clock by which leases lapse.
func New(vm string, s storer.Store, send Send, now func() time.Time) *Orderer {
	return &Orderer{
		vm: vm, store: s, send: send, now: now,
		fenced: batcher.NewLeaseWatch(LeaseLength), unfenced: batcher.NewLeaseWatch(LeaseLength + LongestOrder),
	}
}

// held is a lease row with its version.
type held struct {
	key     string
	lease   Lease
	version int64
}

func orderKey(endpoint string) string { return "order/" + endpoint }

func slotKey(i int) string { return fmt.Sprintf("order-slot/%d", i) }

// Give takes the lease, sends the order and writes how it ended; it returns the fence that the order carried.
//
// Errors: *BusyError and *StaleError, after which nothing was sent; the store's errors; and the engine's.
func (o *Orderer) Give(ctx context.Context, e declarer.Endpoint, order Order) (int64, outcome.Outcome, error) {
	// Counted from before the write: a pause while its answer is on the way makes the lease old as well.
	askedAt := o.now()
	leases, err := o.take(ctx, e, order)
	if err != nil {
		return 0, outcome.NotRun{Reason: err.Error()}, err
	}
	fence := leases[0].lease.Fence
	ctx, cancel := context.WithTimeout(ctx, LongestOrder)
	defer cancel()
	if age := o.now().Sub(askedAt); age > sendWithin {
		_ = o.end(context.WithoutCancel(ctx), leases, Idle)
		return fence, outcome.NotRun{}, &StaleError{Endpoint: e.Name, After: age}
	}
	result, sendErr := o.send(ctx, e, order, fence)
	state := Idle
	if _, isUnknown := result.(outcome.Unknown); isUnknown {
		state = Uncertain
	}
	if err := o.end(context.WithoutCancel(ctx), leases, state); err != nil && sendErr == nil {
		return fence, result, errors.Wrap(err, "order carried out, but its lease must lapse")
	}
	return fence, result, sendErr
}

// take writes the endpoint's lease and, for a load, a slot's lease in one transaction.
func (o *Orderer) take(ctx context.Context, e declarer.Endpoint, order Order) ([]held, error) {
	lease, err := o.free(ctx, orderKey(e.Name), e.ChecksFencing)
	if err != nil {
		return nil, err
	}
	leases := []held{lease}
	if order.Kind.isLoad() {
		slot, err := o.freeSlot(ctx)
		if err != nil {
			return nil, err
		}
		leases = append(leases, slot)
	}
	holder := o.vm + "/" + uuid.NewString()
	for i := range leases {
		l := &leases[i].lease
		*l = Lease{Holder: holder, Fence: l.Fence + 1, State: Running, Kind: order.Kind, Name: order.Name}
	}
	return leases, o.write(ctx, leases)
}

// free returns the lease when nobody holds it, or when its holder has been silent for long enough.
func (o *Orderer) free(ctx context.Context, key string, isFenced bool) (held, error) {
	lease, version, err := storer.ReadJSON[Lease](ctx, o.store, key)
	if err != nil {
		return held{}, err
	}
	h := held{key: key, lease: lease, version: version}
	if version == 0 || lease.State == Idle {
		return h, nil
	}
	watch, length := o.unfenced, LeaseLength+LongestOrder
	if isFenced {
		watch, length = o.fenced, LeaseLength
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if watch.IsLapsed(o.now(), key, version) {
		watch.Forget(key)
		return h, nil
	}
	return held{}, &BusyError{What: key, Lease: lease, RetryAfter: length}
}

func (o *Orderer) freeSlot(ctx context.Context) (held, error) {
	var busy error
	for i := range LoadSlots {
		slot, err := o.free(ctx, slotKey(i), false)
		if err == nil {
			return slot, nil
		}
		var taken *BusyError
		if !errors.As(err, &taken) {
			return held{}, err
		}
		taken.RetryAfter = busyRetry
		busy = taken
	}
	return held{}, busy
}

// write writes the leases; a lost answer is resolved by the holder's name in the row.
func (o *Orderer) write(ctx context.Context, leases []held) error {
	tx := storer.Transaction{}
	for _, h := range leases {
		tx.Checks = append(tx.Checks, storer.Check{Key: h.key, Version: h.version})
		tx.Puts = append(tx.Puts, storer.PutJSON(h.key, h.lease))
	}
	version, err := o.store.Commit(ctx, tx)
	if err != nil {
		var unresolved error
		if version, unresolved = o.resolve(ctx, leases[0], err); unresolved != nil {
			return unresolved
		}
	}
	for i := range leases {
		leases[i].version = version
	}
	return nil
}

func (o *Orderer) resolve(ctx context.Context, h held, err error) (int64, error) {
	var conflict *storer.ConflictError
	if errors.As(err, &conflict) {
		return 0, &BusyError{What: h.key, Lease: h.lease, RetryAfter: busyRetry}
	}
	found, version, readErr := storer.ReadJSON[Lease](ctx, o.store, h.key)
	if readErr != nil || found.Holder != h.lease.Holder {
		return 0, err
	}
	return version, nil
}

// end gives the leases back; those of an uncertain order must lapse.
func (o *Orderer) end(ctx context.Context, leases []held, state State) error {
	for i := range leases {
		leases[i].lease.State = state
	}
	return o.write(ctx, leases)
}
