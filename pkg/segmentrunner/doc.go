// Package segmentrunner runs batch items at the endpoints whose slots this VM allocates.
//
// It holds segments under fenced leases, offers their items to the slot allocators, runs the items that these start, and
// commits each segment once. An allocator suspends a batch item in the same step in which it grants the slot to an online
// request.
package segmentrunner
