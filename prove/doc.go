// Package prove proves on real processes what must always hold; docs/PROOFS.md lists what each test proves.
//
// It has tests only. They wait on conditions, never on the clock, and stop just the processes that they started.
package prove
