package jobkeeper

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

// cacheBytes bounds the decoded jobs that are kept for calls; those that are being run stay besides.
const cacheBytes = 3 << 20

// payloadCache keeps decoded jobs, and drops those that were used least lately.
type payloadCache struct {
	mu    sync.Mutex
	items map[string]*payload
	bytes int
	clock int64
}

type payload struct {
	items []Item
	bytes int
	used  int64
	// isPinned keeps the payload whatever the size.
	isPinned bool
}

func newPayloadCache() *payloadCache {
	return &payloadCache{items: map[string]*payload{}}
}

func (c *payloadCache) get(job string, pin bool) ([]Item, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.items[job]
	if !ok {
		return nil, false
	}
	c.clock++
	p.used = c.clock
	p.isPinned = p.isPinned || pin
	return p.items, true
}

func (c *payloadCache) put(job string, items []Item, pin bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.items[job]; ok {
		p.isPinned = p.isPinned || pin
		return
	}
	p := &payload{items: items, isPinned: pin}
	for _, i := range items {
		p.bytes += len(i.Body) + len(i.Path) + len(i.ID)
	}
	c.clock++
	p.used = c.clock
	c.items[job] = p
	c.bytes += p.bytes
	c.evict(job)
}

func (c *payloadCache) evict(keep string) {
	for c.bytes > cacheBytes {
		oldest := ""
		for id, p := range c.items {
			if id != keep && !p.isPinned && (oldest == "" || p.used < c.items[oldest].used) {
				oldest = id
			}
		}
		if oldest == "" {
			return
		}
		c.remove(oldest)
	}
}

func (c *payloadCache) drop(job string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remove(job)
}

func (c *payloadCache) remove(job string) {
	if p, ok := c.items[job]; ok {
		c.bytes -= p.bytes
		delete(c.items, job)
	}
}

// Items returns the job's items; pin keeps them at hand until the job is complete.
func (k *Keeper) Items(ctx context.Context, job string, pin bool) ([]Item, error) {
	if items, ok := k.payloads.get(job, pin); ok {
		return items, nil
	}
	body, err := k.readItems(ctx, job)
	if err != nil {
		return nil, err
	}
	items, err := k.codec.Items(body)
	if err != nil {
		return nil, errors.Wrap(err, "stored job "+job)
	}
	k.payloads.put(job, items, pin)
	return items, nil
}

// readItems reads a submitted job's body from its rows or its object.
func (k *Keeper) readItems(ctx context.Context, id string) ([]byte, error) {
	job, _, _ := k.lookUp(id)
	if job.ItemRows == 0 {
		return k.store.GetBlob(ctx, blobName(id))
	}
	rows, _, err := storer.ScanAll(ctx, k.store, rangeOf(itemTable, id))
	if err != nil {
		return nil, err
	}
	if len(rows) != job.ItemRows {
		return nil, errors.Errorf("job %s has %d rows of items, not %d", id, len(rows), job.ItemRows)
	}
	var body []byte
	for _, e := range rows {
		body = append(body, e.Value...)
	}
	return body, nil
}
