// Package enginecontroller sends orders to engines: to load a model, an adapter or a version, or to change role.
//
// An order is sent only under the lease of its endpoint, which is a row in the store, and carries the lease's fencing token.
// An order to load also takes one of a few load slots in the same transaction, so that all engines of the fleet together
// load no faster than the weight store can serve.
package enginecontroller
