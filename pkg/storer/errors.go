package storer

import (
	"fmt"
	"time"
)

// ConflictError reports that a check of a transaction failed; Current is the row as it is stored.
type ConflictError struct {
	Current Row
}

// Error names the row and its current version.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %q stands at version %d", e.Current.Key, e.Current.Version)
}

// NotFoundError reports that an object does not exist.
type NotFoundError struct {
	Name string
}

// Error names the object.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("object %q not found", e.Name)
}

// UnavailableError reports that the platform gave no usable answer.
type UnavailableError struct {
	Operation string
	// After is the maximum wait for the answer.
	After time.Duration
	// Received is the number of bytes of the answer's body that had arrived.
	Received int
	// MayHaveRun is set when the operation may have taken effect although no answer arrived.
	MayHaveRun bool
	Cause      error
}

// Error names the operation, the maximum wait and the cause.
func (e *UnavailableError) Error() string {
	if e.Received > 0 {
		return fmt.Sprintf("platform gave %d bytes of an answer to %s within %s: %v", e.Received, e.Operation, e.After, e.Cause)
	}
	return fmt.Sprintf("platform gave no answer to %s within %s: %v", e.Operation, e.After, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error {
	return e.Cause
}
