// Package surveyor judges whether this VM is partitioned from the endpoints.
//
// Load pattern: the links of some VMs to all endpoints fail for seconds, under steady load and beside endpoints that crash, are
// silent for a second, or reset connections beyond their limit. Open connections hang or are reset, or live on while new ones are
// refused. A VM that took this for failures of the endpoints would let its callers wait, hold slots for requests that hang, and
// have its peers avoid sound endpoints.
package surveyor
