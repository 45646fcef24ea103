// Package balancer is the shell round core/placer: it locks it, feeds it the clock and tells peers of changes.
package balancer
