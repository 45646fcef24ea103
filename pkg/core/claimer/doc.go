// Package claimer ensures that a request that is not idempotent runs at most once.
//
// A row in the table service names the only attempt that may be sent. The row is written before the first byte goes to
// the endpoint, and no other attempt replaces it while that attempt may have run. If the table service's answer to a
// write is lost, the row is read back, or a later background write settles it; an insert that is delayed beyond that
// write then fails its version check.
package claimer
