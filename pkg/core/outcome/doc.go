// Package outcome describes how attempts, and the requests that they belong to, end.
package outcome
