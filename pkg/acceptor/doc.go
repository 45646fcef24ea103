// Package acceptor accepts the connections of a port and holds each to the limits of the port: how many there are, how large the
// head of a request is and how long it takes, and how long an answer may wait for its caller. core/budgeter decides what is
// closed for the sake of others.
package acceptor
