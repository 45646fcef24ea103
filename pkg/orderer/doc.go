// Package orderer gives engines their orders: load a model, an adapter or a version, or change role.
//
// An order goes out only under a fenced lease row of its endpoint, and carries the fence. Loads take one of few slots
// in the same transaction, so that the weight store's rate is shared by the whole fleet.
package orderer
