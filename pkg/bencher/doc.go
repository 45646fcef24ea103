// Package bencher simulates the scheduling policies in virtual time: one slot allocator with its engine, or the routers or
// placers of VMs in front of several endpoints. Scenario cost measures single decisions and the gossip between VMs.
//
// Seeds are fixed, so every run gives the same verdict. Only figures in virtual time, counts and allocations have
// bounds; wall-clock times of the machine are printed for information only.
package bencher
