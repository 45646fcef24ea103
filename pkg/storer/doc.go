// Package storer reaches the platform's table service, object store and VM list through one narrow interface.
//
// Every write is safe to resolve by reading back: rows carry a version, transactions state the versions they
// expect, and objects are written under names that are never reused for other content.
package storer
