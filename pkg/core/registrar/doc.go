// Package registrar holds what a VM knows about its deployment: the routes and services of the configuration, and the
// endpoints that registered themselves. Snapshots are immutable; look-ups in them do no I/O.
package registrar
