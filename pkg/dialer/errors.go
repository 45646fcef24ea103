package dialer

import (
	"fmt"
	"net/netip"
	"time"
)

// ConnectError says that no connection was had, so that the endpoint has seen nothing.
type ConnectError struct {
	Address netip.AddrPort
	After   time.Duration
	Cause   error
}

func (e *ConnectError) Error() string {
	return fmt.Sprintf("connect to %s failed after %s: %v", e.Address, e.After.Round(time.Millisecond), e.Cause)
}

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error { return e.Cause }

// ExchangeError says that a request was sent, at least in part, and that no usable answer came.
type ExchangeError struct {
	Address netip.AddrPort
	// Step is what failed.
	Step  string
	After time.Duration
	// IsReused says that the connection had served a request before.
	IsReused bool
	Cause    error
}

func (e *ExchangeError) Error() string {
	return fmt.Sprintf("%s at %s failed after %s (reused connection: %t): %v",
		e.Step, e.Address, e.After.Round(time.Millisecond), e.IsReused, e.Cause)
}

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error { return e.Cause }
