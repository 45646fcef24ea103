// Package balancer asks the assigners of endpoint groups for slots, for online requests and batch items of this VM, and counts
// those in flight. It hosts the assigners that run on this VM, and decides alone by core/placer when no assigner replies.
package balancer
