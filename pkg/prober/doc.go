// Package prober polls engines for their load while a VM is silent: that VM may still send requests, of which its peers
// receive no reports.
package prober
