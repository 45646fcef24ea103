// Package router ranks the endpoints that can serve a request.
//
// All VMs compute similar rankings without coordination: rendezvous hashing of the prompt's first blocks, with a bound on
// load. Cache events and load reports arrive late and with gaps, so they only move a request between endpoints
// that the bound allows, and no request waits for them.
package router
