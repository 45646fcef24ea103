// Package peersyncer lets VMs that can't reach the store fetch the configuration and the endpoint list from a peer.
package peersyncer
