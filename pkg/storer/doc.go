// Package storer gives access to the platform's table service, object store and VM list through the interface Store.
//
// A write whose answer was lost can be resolved by reading back: rows carry a version, transactions state the
// versions that they expect, and an object's name is never reused for other content.
package storer
