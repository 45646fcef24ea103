// Package batcher orders batch jobs by their slack, watches the leases of segments and follows a segment's items.
package batcher
