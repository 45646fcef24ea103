// Package budgeter decides whose bytes a VM holds for callers, whose are given up when there is no room, when a client counts as
// stalled, and which connections are closed when there are too many.
//
// Load pattern: hundreds of clients send large bodies at once, whole, in pieces or in chunks, and stop just short of their end;
// they send heads without end, take no answers, or open connections and send nothing. Ordinary callers send small requests, and
// now and then a large one, beside them and must still get answers, while the process stays within the memory of its VM.
package budgeter
