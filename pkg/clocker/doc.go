// Package clocker reads the clock with which leases and bounds between VMs are measured.
package clocker
