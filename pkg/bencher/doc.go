// Package bencher measures the policy in virtual time: one keeper with its engine, or the router before a set of loads.
//
// Seeds are fixed, so every run gives the same verdict. Only figures in virtual time, counts and allocations have
// bounds; times of this machine are printed beside them for information.
package bencher
