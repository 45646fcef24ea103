// Package gossiper tells the other VMs by datagram how many requests this VM has under way, and hears the same of them.
package gossiper
