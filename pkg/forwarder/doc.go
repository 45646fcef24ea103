// Package forwarder takes requests to endpoints: it routes, reserves a slot, relays the answer and retries.
package forwarder
