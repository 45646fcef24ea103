// Package runner runs batch work at the endpoints that this VM keeps.
//
// It holds segments under fenced leases, offers their items to the keepers, runs what the keepers start, and commits
// each segment once. The keeper parks an item in the same step in which it grants an online slot.
package runner
