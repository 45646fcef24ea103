// Package claimer runs a request that may not be repeated at most once.
//
// One row names the one attempt that may ever be sent. It is written before the first byte goes to the endpoint and
// never taken over while that attempt may have run. What a lost answer of the table service leaves open is resolved
// by reading back, or settled later by a write that a late insert can no longer pass.
package claimer
