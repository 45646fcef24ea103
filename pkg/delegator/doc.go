// Package delegator hands requests of a VM that is partitioned from the endpoints over to another VM, and serves those that other
// VMs hand over, on a port that VMs share. core/delegator chooses the VM.
//
// An answer to a request that was handed over says in the platform's header if this VM has not run the request, as the answers of
// endpoints do, so that the VM that handed it over may try another one.
package delegator
