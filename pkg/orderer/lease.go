package orderer

import (
	"fmt"
	"time"
)

// State is the state of a lease.
type State string

// The states of a lease.
const (
	Idle    State = "idle"
	Running State = "running"
	// Uncertain means that the last order may still be carried out.
	Uncertain State = "uncertain"
)

// Lease is the row of an endpoint's orders, or of a slot for loads.
type Lease struct {
	Holder string `json:"holder"`
	Fence  int64  `json:"fence"`
	State  State  `json:"state"`
	Kind   Kind   `json:"kind,omitempty"`
	Name   string `json:"name,omitempty"`
}

// Kind is what an order asks for.
type Kind string

// The kinds of orders.
const (
	LoadModel   Kind = "loadModel"
	LoadAdapter Kind = "loadAdapter"
	LoadVersion Kind = "loadVersion"
	SetRole     Kind = "setRole"
)

// isLoad reports whether the order reads weights.
func (k Kind) isLoad() bool { return k != SetRole }

// Order is what an engine is to do.
type Order struct {
	Kind Kind   `json:"kind" validate:"required,oneof=loadModel loadAdapter loadVersion setRole"`
	Name string `json:"name" validate:"required"`
}

// BusyError says that another order holds the endpoint, or that all slots for loads are taken; nothing was sent.
type BusyError struct {
	What       string
	Lease      Lease
	RetryAfter time.Duration
}

// Error says who holds what and when to come back.
func (e *BusyError) Error() string {
	l := e.Lease
	return fmt.Sprintf("%s is held by %s for %s %s: come back in %s", e.What, l.Holder, l.Kind, l.Name, e.RetryAfter)
}

// StaleError says that the lease may have been lost before the order was sent; nothing was sent.
type StaleError struct {
	Endpoint string
	After    time.Duration
}

// Error says how long the lease stood unused.
func (e *StaleError) Error() string {
	return fmt.Sprintf("lease of %s is %s old before its order was sent: not sent", e.Endpoint, e.After)
}
