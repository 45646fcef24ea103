// Package allocator allocates the slots of an endpoint: to online requests by fair queueing, and the rest to batch items.
//
// Each Allocator serves one endpoint. It uses no sockets and no clock: the calling code passes it inputs and the time, and
// carries out its outputs. Which VM allocates an endpoint's slots is advisory: two allocators for one endpoint can delay
// requests but never break correctness, because no guarantee of the system depends on a slot.
package allocator
