// Package gossiper exchanges reports between VMs by datagram: each VM sends how many requests it has in flight and learns the
// same of its peers. A VM that stops reporting counts as lost.
package gossiper
