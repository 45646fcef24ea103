// Package retrier bounds retries as a fraction of the traffic offered, so that they can't make a storm.
package retrier
