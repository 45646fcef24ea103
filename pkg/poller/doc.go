// Package poller polls model engines for load reports, which may be late, and cache events, which may have gaps.
package poller
