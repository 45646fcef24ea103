// Package balancer makes core/placer safe for concurrent use: it holds the lock, supplies the current time, and signals
// changes to the gossiper and to the item runner.
package balancer
