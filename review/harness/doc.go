//go:build review

// Command harness plays the scripted cases of the review: it starts daemons as separate processes on loopback addresses, with
// stand-ins of the store, the runners and the clients in this process, and checks one rule of the pages.
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main
