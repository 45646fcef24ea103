// Package authenticator decides whose request it is by its key, and whether the VM knows the accounts' keys well enough to say
// so.
//
// Load pattern: operators revoke keys while VMs are cut off from the store, frozen or lag behind, under steady load; requests
// wait in queues meanwhile, so the decision is made again before each send.
package authenticator
