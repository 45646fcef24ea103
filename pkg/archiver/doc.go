// Package archiver keeps callers' files, batch jobs, segments and results in the platform's store.
//
// Items are stored in objects, never in rows: a part object holds the lines of one segment. A job has one row, and a
// segment gets one when it is first claimed. A write whose answer is lost is resolved by reading back.
package archiver
