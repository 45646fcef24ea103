package emulator

import "github.com/pkg/errors"

// Order is an operator's order to an engine; Fence is the number of the lease that it was given under.
type Order struct {
	Kind  string `json:"kind"`
	Name  string `json:"name"`
	Fence int64  `json:"fence"`
}

var errOldFence = errors.New("order carries an old fencing number")

// take carries out an order; an engine that checks fencing refuses numbers below the highest it has seen.
func (e *Engine) take(o Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isFenced && o.Fence < e.fence {
		return errOldFence
	}
	e.fence = max(e.fence, o.Fence)
	e.orders = append(e.orders, o)
	return nil
}
