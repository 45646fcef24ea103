package enginecontroller

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
	// Uncertain means that the outcome of the last order is unknown: the engine may still carry it out.
	Uncertain State = "uncertain"
)

// Lease is the lease row of an endpoint or of a load slot. Fence grows with each order.
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

// isLoad reports whether the order makes the engine read from the weight store.
func (k Kind) isLoad() bool { return k != SetRole }

// Order is an order to an engine: Name is the model, adapter, version or role.
type Order struct {
	Kind Kind   `json:"kind" validate:"required,oneof=loadModel loadAdapter loadVersion setRole"`
	Name string `json:"name" validate:"required"`
}

// BusyError says that another order holds the lease of the endpoint, or that all load slots are in use; nothing was sent.
type BusyError struct {
	What       string
	Lease      Lease
	RetryAfter time.Duration
}

// Error returns the lease, its holder and the time after which to retry.
func (e *BusyError) Error() string {
	l := e.Lease
	return fmt.Sprintf("%s is held by %s for %s %s: come back in %s", e.What, l.Holder, l.Kind, l.Name, e.RetryAfter)
}

// StaleError says that the lease was too old to send the order safely; nothing was sent.
type StaleError struct {
	Endpoint string
	After    time.Duration
}

// Error returns the endpoint and the age of the lease.
func (e *StaleError) Error() string {
	return fmt.Sprintf("lease of %s is %s old before its order was sent: not sent", e.Endpoint, e.After)
}
