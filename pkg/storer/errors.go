package storer

import (
	"fmt"
	"time"
)

// ConflictError says which check of a transaction failed and how the row stands.
type ConflictError struct {
	Current Row
}

// Error names the row and its version.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %q stands at version %d", e.Current.Key, e.Current.Version)
}

// NotFoundError says that an object is absent.
type NotFoundError struct {
	Name string
}

// Error names the object.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("object %q not found", e.Name)
}

// UnavailableError says that the platform gave no usable answer.
type UnavailableError struct {
	Operation  string
	After      time.Duration
	MayHaveRun bool
	Cause      error
}

// Error says what was asked, how long was waited and why it failed.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform gave no answer to %s within %s: %v", e.Operation, e.After, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error {
	return e.Cause
}
