// Package messenger carries messages between VMs: calls over gRPC and the detector's datagrams over UDP.
//
// Both carry a message authentication code (MAC) made with the fleet key. Messages without a valid one are dropped
// and counted.
package messenger
