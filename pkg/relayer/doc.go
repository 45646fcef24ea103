// Package relayer forwards online requests to endpoints and returns the endpoints' answers to the callers.
//
// A request that is not idempotent is not sent again once an endpoint may have run it. A caller is told that its request has
// not run only if no byte of it was sent to an endpoint, or if the endpoint itself said so.
package relayer
