// Package gossiper maintains the membership of VMs on the users' platform, by the failure detector of package detector, and
// carries other components' payloads between VMs by datagram. The messages of a VM do not grow with the number of VMs.
package gossiper
