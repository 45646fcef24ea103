// Package listener accepts callers' connections, dispatches their requests by route, and answers the load balancer's readiness
// checks and the metrics scraper.
package listener
