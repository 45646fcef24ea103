package router

const (
	maxYoungBlocks  = 32768
	holdersPerBlock = 2
)

// holders are the endpoints that last reported a block as cached, the latest first.
type holders [holdersPerBlock]*state

// hintCache records which engines reported which prompt blocks as cached. It keeps two generations to bound its size: when
// young is full, it replaces old.
type hintCache struct {
	young map[uint64]holders
	old   map[uint64]holders
}

func newHintCache() *hintCache {
	return &hintCache{young: map[uint64]holders{}}
}

func (h *hintCache) add(s *state, blocks []uint64) {
	for _, b := range blocks {
		at := h.lookup(b)
		if at[0] != s {
			at[1], at[0] = at[0], s
		}
		h.young[b] = at
	}
	if len(h.young) > maxYoungBlocks {
		h.young, h.old = map[uint64]holders{}, h.young
	}
}

func (h *hintCache) lookup(block uint64) holders {
	if at, ok := h.young[block]; ok {
		return at
	}
	return h.old[block]
}

// longest returns how many leading blocks each endpoint reported as cached; endpoints without any are absent.
func (h *hintCache) longest(blocks []uint64) map[*state]int {
	hits := map[*state]int{}
	for i, b := range blocks {
		isHeld := false
		for _, s := range h.lookup(b) {
			if s != nil && hits[s] == i {
				hits[s] = i + 1
				isHeld = true
			}
		}
		if !isHeld {
			break
		}
	}
	return hits
}
