// Package archiver keeps callers' files, batch jobs, segments and results in the platform's store.
//
// Items lie in objects, never in rows: a part object holds one segment's lines. Rows are made lazily, one a job and
// one a segment in work, and every write is resolved by reading back when its answer is lost.
package archiver
