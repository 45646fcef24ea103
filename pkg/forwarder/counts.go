package forwarder

import "sync/atomic"

// Counts holds the numbers of requests, attempts and retries; BudgetSpent counts retries that the budget did not allow.
type Counts struct {
	Requests, Attempts, Retries, BudgetSpent atomic.Int64
}
