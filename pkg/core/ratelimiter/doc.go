// Package ratelimiter decides which requests of an account fit its rate, summed over all VMs.
//
// Load pattern: an account's requests reach all VMs, or one of them, at a rate that swings by a factor of five every five
// seconds, and for some seconds at a multiple of what the account may send, while VMs and messages between them are lost.
// The requests that are admitted in any window stay below a bound whatever happens; in calm no request waits for another VM.
//
// Each VM runs a Sharer for its own requests and a Coordinator for the accounts of which it is the coordinator. Nothing of the
// state is stored: a coordinator that is new to an account begins with a small amount that the bound leaves room for.
//
// The times passed to Handle are readings of a clock that goes on while the machine is suspended.
package ratelimiter
