// Package registrar holds what a VM knows of its deployment: the configuration's routes and services, and the endpoints
// that registered themselves. Snapshots are immutable, and looking things up in them does no I/O.
package registrar
