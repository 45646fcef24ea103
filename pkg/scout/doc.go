// Package scout finds out by the connections of this VM whether it is partitioned from the endpoints, by core/surveyor, and opens
// the connections that are needed to tell.
package scout
