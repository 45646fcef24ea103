// Package storer gives access to the platform's table service, object store and VM list. Interface Table has the calls of
// the platform; TableStore implements the simpler interface Store on top of it, with retries and a circuit breaker.
//
// A write whose answer was lost can be resolved by reading back: rows carry a version, transactions state the
// versions that they expect, and an object's name is never reused for other content.
package storer
