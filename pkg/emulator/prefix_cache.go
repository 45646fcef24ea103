package emulator

import "container/list"

// prefixCache holds the most recently used prompt blocks.
type prefixCache struct {
	capacity int
	order    *list.List
	byHash   map[uint64]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), byHash: map[uint64]*list.Element{}}
}

// prefix returns how many leading blocks are held.
func (c *prefixCache) prefix(blocks []uint64) int {
	for i, b := range blocks {
		if _, ok := c.byHash[b]; !ok {
			return i
		}
	}
	return len(blocks)
}

// touch returns how many leading blocks were held and makes all of them the most recent.
func (c *prefixCache) touch(blocks []uint64) int {
	held := c.prefix(blocks)
	for i := len(blocks) - 1; i >= 0; i-- {
		c.add(blocks[i])
	}
	return held
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
