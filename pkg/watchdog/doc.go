// Package watchdog ends calls that make no progress.
//
// The load pattern: a large answer over a full link. A limit on the whole call ends it however far it has come, and the retry
// sends the answer from its start, so the retries keep the link full. A limit on the time without progress ends only calls
// that are dead.
package watchdog
