// Package hasher orders VMs for a key by rendezvous hashing, so that all VMs with the same list of VMs get the same order.
package hasher
