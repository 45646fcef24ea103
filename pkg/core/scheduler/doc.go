// Package scheduler orders the batch items of a VM when not all of them can be done by the time they are due.
package scheduler
