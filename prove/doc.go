// Package prove checks the promises of the system on real processes; docs/PROOFS.md lists what each test proves.
//
// It has tests only. They wait for conditions instead of fixed times, and stop only processes that they started.
package prove
