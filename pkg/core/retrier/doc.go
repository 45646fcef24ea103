// Package retrier limits retries to a fraction of the requests, so that they can't cause a retry storm.
package retrier
