package emulator

import "github.com/pkg/errors"

// Order is an operator's order to an engine; Fence is the fencing token of the lease under which it was given.
type Order struct {
	Kind  string `json:"kind"`
	Name  string `json:"name"`
	Fence int64  `json:"fence"`
}

var errStaleFence = errors.New("order carries an old fencing number")

// carryOut records an order as carried out. If isFenced, it refuses a fencing token lower than the highest received.
func (e *Engine) carryOut(o Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isFenced && o.Fence < e.fence {
		return errStaleFence
	}
	e.fence = max(e.fence, o.Fence)
	e.orders = append(e.orders, o)
	return nil
}
