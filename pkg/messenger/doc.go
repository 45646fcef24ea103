// Package messenger carries messages between VMs: calls over gRPC and the detector's datagrams over UDP.
//
// Both carry an authenticator made with the fleet key; what lacks a good one is dropped and counted.
package messenger
