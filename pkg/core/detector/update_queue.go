package detector

import (
	"cmp"
	"math"
	"slices"
)

const (
	maxUpdatesPerMessage = 6
	// Each update is sent sendsFactor times the base-2 logarithm of the number of members.
	sendsFactor = 3
)

// queuedUpdate is an update with the number of messages that have carried it.
type queuedUpdate[T any] struct {
	key   string
	value T
	sent  int
}

// updateQueue hands out the least sent updates first and drops each one after enough sends.
type updateQueue[T any] struct {
	list []*queuedUpdate[T]
}

func (q *updateQueue[T]) add(key string, value T) {
	q.list = slices.DeleteFunc(q.list, func(x *queuedUpdate[T]) bool { return x.key == key })
	q.list = append(q.list, &queuedUpdate[T]{key: key, value: value})
}

// take returns the updates for one message when n other members are known.
func (q *updateQueue[T]) take(n int) []T {
	if len(q.list) == 0 {
		return nil
	}
	slices.SortStableFunc(q.list, func(a, b *queuedUpdate[T]) int { return cmp.Compare(a.sent, b.sent) })
	out := []T{}
	for _, x := range q.list[:min(maxUpdatesPerMessage, len(q.list))] {
		x.sent++
		out = append(out, x.value)
	}
	most := sendsFactor * int(math.Ceil(math.Log2(float64(n+2))))
	q.list = slices.DeleteFunc(q.list, func(x *queuedUpdate[T]) bool { return x.sent >= most })
	return out
}
