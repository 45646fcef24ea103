// Package keeper decides who uses an endpoint's slots: online requests by fair queueing, batch in what is left.
//
// One keeper serves one endpoint. It holds no sockets and no clock; its VM's shell feeds it inputs and carries out
// its outputs. Which VM keeps an endpoint is advisory: two keepers of one endpoint cost promptness, never
// correctness, because no promise of the system rests on a slot.
package keeper
