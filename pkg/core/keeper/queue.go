package keeper

import "time"

// quantumTokens is small against a request, so that accounts take turns with each request and not with each burst.
const quantumTokens = 64

// accountQueue holds one account's waiters in the order of their arrival.
type accountQueue struct {
	account string
	waiters []*Asked
	deficit int
}

// fairQueue is deficit round robin over accounts by estimated tokens
// (M. Shreedhar and G. Varghese, "Efficient fair queuing using deficit round-robin", 1996).
type fairQueue struct {
	weights  map[string]int
	accounts map[string]*accountQueue
	ring     []*accountQueue
	at       int
	isFresh  bool
	length   int
}

func newFairQueue() *fairQueue {
	return &fairQueue{accounts: map[string]*accountQueue{}, isFresh: true}
}

func (q *fairQueue) weight(account string) int {
	return max(1, q.weights[account])
}

func (q *fairQueue) push(w *Asked) {
	a, ok := q.accounts[w.Account]
	if !ok {
		a = &accountQueue{account: w.Account}
		q.accounts[w.Account] = a
		q.ring = append(q.ring, a)
	}
	a.waiters = append(a.waiters, w)
	q.length++
}

// pop takes the next waiter among the accounts that isOpen lets through, or nil.
func (q *fairQueue) pop(isOpen func(account string) bool) *Asked {
	for visits := 0; len(q.ring) > 0 && visits <= q.maxVisits(); visits++ {
		q.at %= len(q.ring)
		a := q.ring[q.at]
		if !isOpen(a.account) {
			q.advance()
			continue
		}
		if q.isFresh {
			a.deficit += quantumTokens * q.weight(a.account)
			q.isFresh = false
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

// maxVisits bounds a search: the dearest head needs this many quanta.
func (q *fairQueue) maxVisits() int {
	dearest := 0
	for _, a := range q.ring {
		dearest = max(dearest, a.waiters[0].Tokens)
	}
	return (dearest/quantumTokens + 2) * len(q.ring)
}

func (q *fairQueue) advance() {
	q.at++
	q.isFresh = true
}

func (q *fairQueue) removeAt(a *accountQueue, i int) {
	a.waiters = append(a.waiters[:i], a.waiters[i+1:]...)
	q.length--
	if len(a.waiters) > 0 {
		return
	}
	delete(q.accounts, a.account)
	for i, other := range q.ring {
		if other != a {
			continue
		}
		q.ring = append(q.ring[:i], q.ring[i+1:]...)
		if i < q.at {
			q.at--
		} else if i == q.at {
			q.isFresh = true
		}
	}
}

// remove drops the waiters that match and returns them.
func (q *fairQueue) remove(match func(*Asked) bool) []*Asked {
	gone := []*Asked{}
	for _, a := range append([]*accountQueue(nil), q.ring...) {
		for i := len(a.waiters) - 1; i >= 0; i-- {
			if w := a.waiters[i]; match(w) {
				gone = append(gone, w)
				q.removeAt(a, i)
			}
		}
	}
	return gone
}

// dropFromLongest removes the newest waiter of the account that queues most for its weight.
func (q *fairQueue) dropFromLongest() *Asked {
	var longest *accountQueue
	for _, a := range q.ring {
		if longest == nil || len(a.waiters)*q.weight(longest.account) > len(longest.waiters)*q.weight(a.account) {
			longest = a
		}
	}
	w := longest.waiters[len(longest.waiters)-1]
	q.removeAt(longest, len(longest.waiters)-1)
	return w
}

// ahead estimates how many waiters are served before a new one of the account.
func (q *fairQueue) ahead(account string) int {
	own, accounts := 0, len(q.ring)
	if a, ok := q.accounts[account]; ok {
		own = len(a.waiters)
	} else {
		accounts++
	}
	return min(q.length, (own+1)*accounts-1)
}

// earliest returns the first deadline in the queue, or the zero time.
func (q *fairQueue) earliest() time.Time {
	first := time.Time{}
	for _, a := range q.ring {
		for _, w := range a.waiters {
			if first.IsZero() || w.Deadline.Before(first) {
				first = w.Deadline
			}
		}
	}
	return first
}
