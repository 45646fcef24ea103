package enginecontroller

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
	// LeaseLength is the time for which a lease must stay unchanged before another VM may take it over.
	LeaseLength = 30 * time.Second
	// LongestOrder is the maximum time that an engine takes to carry out an order.
	LongestOrder = 2 * time.Minute
	// LoadSlots is the maximum number of engines of the fleet that load weights at the same time.
	LoadSlots = 2

	// maxSendDelay is the maximum age of a lease at which its order is sent: an older one could expire before the order arrives.
	maxSendDelay   = LeaseLength / 2
	busyRetryAfter = 5 * time.Second
)

// Send sends the order and its fence to the engine and returns the outcome.
type Send func(ctx context.Context, e declarer.Endpoint, o Order, fence int64) (outcome.Outcome, error)

// Controller sends orders to engines on behalf of one VM.
type Controller struct {
	vm    string
	store storer.Store
	send  Send
	now   func() time.Time

	mu sync.Mutex
	// An engine that checks fencing refuses outdated orders itself. Any other engine gets the next order only after the last
	// holder's order must have ended, too: unfenced adds LongestOrder to the length of the lease.
	fenced   *batcher.LeaseWatch
	unfenced *batcher.LeaseWatch
}

// New returns a controller; now is the monotonic clock by which leases expire.
func New(vm string, s storer.Store, send Send, now func() time.Time) *Controller {
	return &Controller{
		vm: vm, store: s, send: send, now: now,
		fenced: batcher.NewLeaseWatch(LeaseLength), unfenced: batcher.NewLeaseWatch(LeaseLength + LongestOrder),
	}
}

// heldLease is a lease row with its key and version.
type heldLease struct {
	key     string
	lease   Lease
	version int64
}

func orderKey(endpoint string) string { return "order/" + endpoint }

func slotKey(i int) string { return fmt.Sprintf("order-slot/%d", i) }

// Execute acquires the lease, sends the order and records its outcome in the lease; it returns the fence that the order carried.
//
// Errors: *BusyError or *StaleError, in which cases nothing was sent; the errors of the store and of the engine.
func (c *Controller) Execute(ctx context.Context, e declarer.Endpoint, order Order) (int64, outcome.Outcome, error) {
	// The age counts from before the write, because the lease also ages while the answer of the store is in transit.
	askedAt := c.now()
	leases, err := c.acquire(ctx, e, order)
	if err != nil {
		return 0, outcome.NotRun{Reason: err.Error()}, err
	}
	fence := leases[0].lease.Fence
	ctx, cancel := context.WithTimeout(ctx, LongestOrder)
	defer cancel()
	if age := c.now().Sub(askedAt); age > maxSendDelay {
		_ = c.release(context.WithoutCancel(ctx), leases, Idle)
		return fence, outcome.NotRun{}, &StaleError{Endpoint: e.Name, After: age}
	}
	result, sendErr := c.send(ctx, e, order, fence)
	state := Idle
	if _, isUnknown := result.(outcome.Unknown); isUnknown {
		state = Uncertain
	}
	if err := c.release(context.WithoutCancel(ctx), leases, state); err != nil && sendErr == nil {
		return fence, result, errors.Wrap(err, "order carried out, but its lease must lapse")
	}
	return fence, result, sendErr
}

// acquire writes the endpoint's lease and, for an order to load, the lease of a load slot in one transaction.
func (c *Controller) acquire(ctx context.Context, e declarer.Endpoint, order Order) ([]heldLease, error) {
	lease, err := c.findFree(ctx, orderKey(e.Name), e.ChecksFencing)
	if err != nil {
		return nil, err
	}
	leases := []heldLease{lease}
	if order.Kind.isLoad() {
		slot, err := c.findFreeSlot(ctx)
		if err != nil {
			return nil, err
		}
		leases = append(leases, slot)
	}
	holder := c.vm + "/" + uuid.NewString()
	for i := range leases {
		l := &leases[i].lease
		*l = Lease{Holder: holder, Fence: l.Fence + 1, State: Running, Kind: order.Kind, Name: order.Name}
	}
	return leases, c.write(ctx, leases)
}

// findFree returns the lease if it is idle or has expired, and a *BusyError otherwise.
func (c *Controller) findFree(ctx context.Context, key string, isFenced bool) (heldLease, error) {
	lease, version, err := storer.ReadJSON[Lease](ctx, c.store, key)
	if err != nil {
		return heldLease{}, err
	}
	h := heldLease{key: key, lease: lease, version: version}
	if version == 0 || lease.State == Idle {
		return h, nil
	}
	watch, length := c.unfenced, LeaseLength+LongestOrder
	if isFenced {
		watch, length = c.fenced, LeaseLength
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if watch.IsExpired(c.now(), key, version) {
		watch.Forget(key)
		return h, nil
	}
	return heldLease{}, &BusyError{What: key, Lease: lease, RetryAfter: length}
}

// findFreeSlot returns the lease of a free load slot, or a *BusyError if all are held.
func (c *Controller) findFreeSlot(ctx context.Context) (heldLease, error) {
	var busy error
	for i := range LoadSlots {
		slot, err := c.findFree(ctx, slotKey(i), false)
		if err == nil {
			return slot, nil
		}
		var taken *BusyError
		if !errors.As(err, &taken) {
			return heldLease{}, err
		}
		taken.RetryAfter = busyRetryAfter
		busy = taken
	}
	return heldLease{}, busy
}

// write writes the leases in one transaction. If the answer is lost, the row shows whether it was written.
func (c *Controller) write(ctx context.Context, leases []heldLease) error {
	tx := storer.Transaction{}
	for _, h := range leases {
		tx.Checks = append(tx.Checks, storer.Check{Key: h.key, Version: h.version})
		tx.Puts = append(tx.Puts, storer.PutJSON(h.key, h.lease))
	}
	version, err := c.store.Commit(ctx, tx)
	if err != nil {
		var unresolved error
		if version, unresolved = c.resolve(ctx, leases[0], err); unresolved != nil {
			return unresolved
		}
	}
	for i := range leases {
		leases[i].version = version
	}
	return nil
}

// resolve returns the version of a row whose write failed with err but was carried out, and an error otherwise.
func (c *Controller) resolve(ctx context.Context, h heldLease, err error) (int64, error) {
	var conflict *storer.ConflictError
	if errors.As(err, &conflict) {
		return 0, &BusyError{What: h.key, Lease: h.lease, RetryAfter: busyRetryAfter}
	}
	found, version, readErr := storer.ReadJSON[Lease](ctx, c.store, h.key)
	if readErr != nil || found != h.lease {
		return 0, err
	}
	return version, nil
}

// release writes the final state of the leases; those of an order with an unknown outcome must expire.
func (c *Controller) release(ctx context.Context, leases []heldLease, state State) error {
	for i := range leases {
		leases[i].lease.State = state
	}
	return c.write(ctx, leases)
}
