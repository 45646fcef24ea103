package emulator

import "container/list"

// prefixCache is an LRU cache of prompt blocks.
type prefixCache struct {
	capacity int
	order    *list.List
	byHash   map[uint64]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), byHash: map[uint64]*list.Element{}}
}

// countHits returns how many leading blocks are cached.
func (c *prefixCache) countHits(blocks []uint64) int {
	for i, b := range blocks {
		if _, ok := c.byHash[b]; !ok {
			return i
		}
	}
	return len(blocks)
}

// touch returns how many leading blocks were cached, and adds all blocks as the most recently used.
func (c *prefixCache) touch(blocks []uint64) int {
	hits := c.countHits(blocks)
	for i := len(blocks) - 1; i >= 0; i-- {
		c.add(blocks[i])
	}
	return hits
}

func (c *prefixCache) add(b uint64) {
	if e, ok := c.byHash[b]; ok {
		c.order.MoveToFront(e)
		return
	}
	c.byHash[b] = c.order.PushFront(b)
	if c.order.Len() <= c.capacity {
		return
	}
	last := c.order.Back()
	c.order.Remove(last)
	delete(c.byHash, last.Value.(uint64))
}
