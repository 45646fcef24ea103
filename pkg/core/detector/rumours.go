package detector

import (
	"cmp"
	"math"
	"slices"
)

const (
	rumoursAMessage = 6
	spreadFactor    = 3
)

// rumour is one piece of news that is still being spread.
type rumour[T any] struct {
	key   string
	value T
	sent  int
}

// rumours hands out the least spread news first and forgets what was sent often enough.
type rumours[T any] struct {
	list []*rumour[T]
}

func (r *rumours[T]) add(key string, value T) {
	r.list = slices.DeleteFunc(r.list, func(x *rumour[T]) bool { return x.key == key })
	r.list = append(r.list, &rumour[T]{key: key, value: value})
}

// take returns the news for one message in a fleet of n members.
func (r *rumours[T]) take(n int) []T {
	if len(r.list) == 0 {
		return nil
	}
	slices.SortStableFunc(r.list, func(a, b *rumour[T]) int { return cmp.Compare(a.sent, b.sent) })
	out := []T{}
	for _, x := range r.list[:min(rumoursAMessage, len(r.list))] {
		x.sent++
		out = append(out, x.value)
	}
	most := spreadFactor * int(math.Ceil(math.Log2(float64(n+2))))
	r.list = slices.DeleteFunc(r.list, func(x *rumour[T]) bool { return x.sent >= most })
	return out
}
