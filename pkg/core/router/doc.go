// Package router ranks the endpoints that can serve a request.
//
// Every VM ranks alike without talking: rendezvous hashing on the prompt's first blocks, with a bound on load.
// Cache events and loads arrive late and with gaps, so they only move a request between endpoints that the bound
// allows; no request ever waits for them.
package router
