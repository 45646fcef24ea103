package router

const (
	hintBlocks      = 32768
	holdersRecalled = 2
)

// holders are the endpoints last said to hold a block, the latest first.
type holders [holdersRecalled]*state

// hintCache remembers which engines said to hold which prompt blocks, in two generations to bound its size.
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
	if len(h.young) > hintBlocks {
		h.young, h.old = map[uint64]holders{}, h.young
	}
}

func (h *hintCache) lookup(block uint64) holders {
	if at, ok := h.young[block]; ok {
		return at
	}
	return h.old[block]
}

// longest returns how many leading blocks each endpoint was said to hold; endpoints that hold none are absent.
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
