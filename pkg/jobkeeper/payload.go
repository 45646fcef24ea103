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
	// pins counts the reasons to keep the payload whatever the size.
	pins int
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
	if pin {
		p.pins = 1
	}
	return p.items, true
}

func (c *payloadCache) put(job string, items []Item) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.items[job]; ok {
		return
	}
	p := &payload{items: items}
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
			if id != keep && p.pins == 0 && (oldest == "" || p.used < c.items[oldest].used) {
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
	k.payloads.put(job, items)
	if pin {
		_, _ = k.payloads.get(job, true)
	}
	return items, nil
}

// readItems reads a submitted job's body from its rows or its object.
func (k *Keeper) readItems(ctx context.Context, id string) ([]byte, error) {
	job, _, _ := k.lookUp(id)
	if job.ItemRows == 0 {
		return k.store.GetBlob(ctx, blobName(id))
	}
	var body []byte
	rows, from := 0, id+"/"
	for {
		page, err := k.store.Scan(ctx, storer.Range{
			Table: itemTable, Partition: partitionOf(id), From: from, To: id + "0", Limit: scanLimit,
		})
		if err != nil {
			return nil, err
		}
		for _, e := range page.Entries {
			body = append(body, e.Value...)
			rows++
			from = e.Key + "\x00"
		}
		if !page.HasMore || len(page.Entries) == 0 {
			break
		}
	}
	if rows != job.ItemRows {
		return nil, errors.Errorf("job %s has %d rows of items, not %d", id, rows, job.ItemRows)
	}
	return body, nil
}
