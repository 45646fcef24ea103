// Package pauser waits for a time, or for one interval after the other, until a context ends.
package pauser
