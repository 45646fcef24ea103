package recoverer

import (
	"fmt"
	"runtime/debug"
)

// PanicError says that a call panicked with Value; Stack is the stack of its goroutine.
type PanicError struct {
	Value any
	Stack []byte
}

func (e *PanicError) Error() string { return fmt.Sprintf("panic: %v", e.Value) }

// Call returns the error of f, or a *PanicError if f panics. Locks that f holds must be released by defer.
func Call(f func() error) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = &PanicError{Value: v, Stack: debug.Stack()}
		}
	}()
	return f()
}
