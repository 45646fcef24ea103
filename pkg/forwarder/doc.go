// Package forwarder sends requests to endpoints: it chooses an endpoint, reserves a slot, relays the answer and retries.
package forwarder
