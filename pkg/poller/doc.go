// Package poller reads what engines say of themselves: load reports, late, and cache events, with gaps.
package poller
