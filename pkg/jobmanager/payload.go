package jobmanager

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

// maxCacheBytes bounds the size of all cached payloads; pinned ones are never evicted, and may exceed it.
const maxCacheBytes = 3 << 20

// payloadCache caches the decoded items of jobs, and evicts the least recently used ones.
type payloadCache struct {
	mu       sync.Mutex
	payloads map[string]*payload
	bytes    int
	// uses counts the uses of all payloads.
	uses int64
}

// payload is the decoded items of one job.
type payload struct {
	items []Item
	bytes int
	// lastUse is the count of uses at its last one.
	lastUse int64
	// isPinned excludes the payload from eviction, since the job's items run here.
	isPinned bool
}

func newPayloadCache() *payloadCache {
	return &payloadCache{payloads: map[string]*payload{}}
}

func (c *payloadCache) get(job string, pin bool) ([]Item, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.payloads[job]
	if !ok {
		return nil, false
	}
	c.uses++
	p.lastUse = c.uses
	p.isPinned = p.isPinned || pin
	return p.items, true
}

func (c *payloadCache) put(job string, items []Item, pin bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.payloads[job]; ok {
		p.isPinned = p.isPinned || pin
		return
	}
	p := &payload{items: items, isPinned: pin}
	for _, i := range items {
		p.bytes += len(i.Body) + len(i.Path) + len(i.ID)
	}
	c.uses++
	p.lastUse = c.uses
	c.payloads[job] = p
	c.bytes += p.bytes
	c.evict(job)
}

// evict removes unpinned payloads, least recently used first, until the cache fits; that of the job keep stays.
func (c *payloadCache) evict(keep string) {
	for c.bytes > maxCacheBytes {
		oldest := ""
		for id, p := range c.payloads {
			if id != keep && !p.isPinned && (oldest == "" || p.lastUse < c.payloads[oldest].lastUse) {
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
	if p, ok := c.payloads[job]; ok {
		c.bytes -= p.bytes
		delete(c.payloads, job)
	}
}

// Items returns the job's items; pin keeps them cached until the job is complete.
func (m *Manager) Items(ctx context.Context, job string, pin bool) ([]Item, error) {
	if items, ok := m.payloads.get(job, pin); ok {
		return items, nil
	}
	body, err := m.readItems(ctx, job)
	if err != nil {
		return nil, err
	}
	items, err := m.codec.Items(body)
	if err != nil {
		return nil, errors.Wrap(err, "decode items of stored job "+job)
	}
	m.payloads.put(job, items, pin)
	return items, nil
}

// readItems reads the body of a submitted job from its rows or its object.
func (m *Manager) readItems(ctx context.Context, id string) ([]byte, error) {
	job, _, _ := m.lookUp(id)
	if job.ItemRows == 0 {
		return m.store.GetBlob(ctx, blobName(id))
	}
	rows, _, err := storer.ScanAll(ctx, m.store, rangeOf(itemTable, id))
	if err != nil {
		return nil, err
	}
	if len(rows) != job.ItemRows {
		return nil, errors.Errorf("items of job %s incomplete: read %d rows, want %d", id, len(rows), job.ItemRows)
	}
	var body []byte
	for _, e := range rows {
		body = append(body, e.Value...)
	}
	return body, nil
}
