// Package follower keeps this VM's configuration at the newest revision that the VM has learned of from the store or from
// other VMs.
package follower
