// Package packer encodes and decodes the messages of the failure detector for datagrams between VMs.
package packer
