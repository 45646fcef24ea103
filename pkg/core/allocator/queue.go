package allocator

import "time"

// quantumTokens is small compared with a request, so that accounts take turns after each request, not after a
// whole burst of requests.
const quantumTokens = 64

// accountQueue holds the waiting requests of one account in the order of their arrival.
type accountQueue struct {
	account string
	waiters []*SlotRequested
	deficit int
}

// fairQueue schedules waiting requests by deficit round robin over accounts, with estimated tokens as the cost
// (M. Shreedhar and G. Varghese, "Efficient fair queuing using deficit round-robin", 1996).
type fairQueue struct {
	weights  map[string]int
	accounts map[string]*accountQueue
	// rotation holds the queues in round-robin order; current is the index of the one whose turn it is.
	rotation []*accountQueue
	current  int
	// isNewTurn reports that the current account has not received its quantum for this turn.
	isNewTurn bool
	length    int
}

func newFairQueue() *fairQueue {
	return &fairQueue{accounts: map[string]*accountQueue{}, isNewTurn: true}
}

func (q *fairQueue) weight(account string) int {
	return max(1, q.weights[account])
}

func (q *fairQueue) push(w *SlotRequested) {
	a, ok := q.accounts[w.Account]
	if !ok {
		a = &accountQueue{account: w.Account}
		q.accounts[w.Account] = a
		q.rotation = append(q.rotation, a)
	}
	a.waiters = append(a.waiters, w)
	q.length++
}

// pop removes and returns the next waiting request among the accounts for which isOpen is true, or nil if there is none.
func (q *fairQueue) pop(isOpen func(account string) bool) *SlotRequested {
	for visits := 0; len(q.rotation) > 0 && visits <= q.maxVisits(); visits++ {
		q.current %= len(q.rotation)
		a := q.rotation[q.current]
		if !isOpen(a.account) {
			q.advance()
			continue
		}
		if q.isNewTurn {
			a.deficit += quantumTokens * q.weight(a.account)
			q.isNewTurn = false
		}
		if head := a.waiters[0]; head.Tokens <= a.deficit {
			a.deficit -= head.Tokens
			q.removeAt(a, 0)
			return head
		}
		q.advance()
	}
	return nil
}

// maxVisits bounds the search of pop: the most expensive first request needs this many quanta.
func (q *fairQueue) maxVisits() int {
	maxTokens := 0
	for _, a := range q.rotation {
		maxTokens = max(maxTokens, a.waiters[0].Tokens)
	}
	return (maxTokens/quantumTokens + 2) * len(q.rotation)
}

// advance moves on to the next account.
func (q *fairQueue) advance() {
	q.current++
	q.isNewTurn = true
}

// removeAt removes the account's request at index i, and the account once it has none left.
func (q *fairQueue) removeAt(a *accountQueue, i int) {
	a.waiters = append(a.waiters[:i], a.waiters[i+1:]...)
	q.length--
	if len(a.waiters) > 0 {
		return
	}
	delete(q.accounts, a.account)
	for i, other := range q.rotation {
		if other != a {
			continue
		}
		q.rotation = append(q.rotation[:i], q.rotation[i+1:]...)
		if i < q.current {
			q.current--
		} else if i == q.current {
			q.isNewTurn = true
		}
	}
}

// remove removes and returns the waiting requests that match.
func (q *fairQueue) remove(match func(*SlotRequested) bool) []*SlotRequested {
	removed := []*SlotRequested{}
	for _, a := range append([]*accountQueue(nil), q.rotation...) {
		for i := len(a.waiters) - 1; i >= 0; i-- {
			if w := a.waiters[i]; match(w) {
				removed = append(removed, w)
				q.removeAt(a, i)
			}
		}
	}
	return removed
}

// dropFromLongest removes and returns the newest waiting request of the account that has the most of them for its weight.
func (q *fairQueue) dropFromLongest() *SlotRequested {
	var longest *accountQueue
	for _, a := range q.rotation {
		if longest == nil || len(a.waiters)*q.weight(longest.account) > len(longest.waiters)*q.weight(a.account) {
			longest = a
		}
	}
	w := longest.waiters[len(longest.waiters)-1]
	q.removeAt(longest, len(longest.waiters)-1)
	return w
}

// ahead estimates how many waiting requests are served before a new one of the account.
func (q *fairQueue) ahead(account string) int {
	own, accounts := 0, len(q.rotation)
	if a, ok := q.accounts[account]; ok {
		own = len(a.waiters)
	} else {
		accounts++
	}
	return min(q.length, (own+1)*accounts-1)
}

// earliest returns the earliest deadline in the queue, or the zero time if the queue is empty.
func (q *fairQueue) earliest() time.Time {
	first := time.Time{}
	for _, a := range q.rotation {
		for _, w := range a.waiters {
			if first.IsZero() || w.Deadline.Before(first) {
				first = w.Deadline
			}
		}
	}
	return first
}
