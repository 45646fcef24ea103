// Package batcher ranks batch jobs by slack, detects expired leases of segments and tracks the items of a segment.
package batcher
