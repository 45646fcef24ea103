// Package limiter enforces the rate limits of each account; every VM counts on its own, without coordination.
//
// Each VM admits the account's rate divided by the number of live VMs, so the long-run rate of the whole fleet is exact.
// It can be off in two ways. The fleet may exceed the limit by a burst of one second's worth, or of one request per VM if
// that is more. And if an account's requests are spread unevenly over the VMs, a VM that receives more than its share
// refuses the excess although the account is within its limit.
package limiter
