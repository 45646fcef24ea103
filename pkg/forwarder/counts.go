package forwarder

import "sync/atomic"

// Counts count requests, attempts and retries.
type Counts struct {
	Requests, Attempts, Retries, BudgetSpent atomic.Int64
}
