package hasher

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the ids in order of preference for key by rendezvous hashing
// (D. Thaler and C. Ravishankar, "Using name-based mappings to increase hit rates", 1998).
func Rank(key string, ids []string) []string {
	type weighted struct {
		id     string
		weight uint64
	}
	list := make([]weighted, 0, len(ids))
	for _, id := range ids {
		list = append(list, weighted{id: id, weight: xxhash.Sum64String(key + "\x00" + id)})
	}
	slices.SortFunc(list, func(a, b weighted) int {
		if c := cmp.Compare(b.weight, a.weight); c != 0 {
			return c
		}
		return cmp.Compare(a.id, b.id)
	})
	ranked := make([]string, 0, len(ids))
	for _, w := range list {
		ranked = append(ranked, w.id)
	}
	return ranked
}

// First returns the first id of Rank without ordering the others, or the empty string if there are no ids.
func First(key string, ids []string) string {
	best, bestWeight := "", uint64(0)
	for _, id := range ids {
		w := xxhash.Sum64String(key + "\x00" + id)
		if best == "" || w > bestWeight || (w == bestWeight && id < best) {
			best, bestWeight = id, w
		}
	}
	return best
}

// Pick returns one of the sorted ids for key, at the cost of one hash whatever their number; the empty string if there are none.
// Most keys move when the ids change, so it suits work that keeps no state.
func Pick(key string, sorted []string) string {
	if len(sorted) == 0 {
		return ""
	}
	return sorted[xxhash.Sum64String(key)%uint64(len(sorted))]
}
