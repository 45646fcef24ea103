package assigner

import (
	"math"
	"slices"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/placer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
)

const (
	// usageTime is the time over which what an account asked for and was given is averaged: about the time that a stream takes,
	// after which lent slots are taken back.
	usageTime = time.Second
	// minUsage is the average number of requests below which an account is forgotten.
	minUsage = 0.01
	// urgencyTime is how long a priority is taken account of after its last request.
	urgencyTime = 2 * time.Second
	// lowerShare is the share of the objective that requests of an account above its share, or of a less urgent kind, may wait for
	// their first event. Requests that may wait longer then find room in the queue whenever there is one. With 0.5, more of all
	// requests were late in the load test (docs/design/04-contention.md).
	lowerShare = 0.7
	// minWaitShare bounds how far several reasons lower that share.
	minWaitShare = 0.25
)

// usage is what an account was lately given and asked for: sums of requests whose weights fall to 1/e over usageTime.
type usage struct {
	asked, given float64
	at           time.Time
}

// shares divides the slots of a group between accounts and priorities where they do not suffice.
type shares struct {
	accounts map[string]*usage
	// priorities holds the time of the last request of each priority.
	priorities map[int]time.Time
	// level is the number of slots up to which each account gets what it asked for, as of levelAt.
	level   float64
	levelAt time.Time
}

func newShares() shares {
	return shares{accounts: map[string]*usage{}, priorities: map[int]time.Time{}}
}

func (u *usage) decay(now time.Time) {
	f := math.Exp(-float64(now.Sub(u.at)) / float64(usageTime))
	u.asked, u.given, u.at = u.asked*f, u.given*f, now
}

func (s *shares) usageOf(now time.Time, account string) *usage {
	u, ok := s.accounts[account]
	if !ok {
		u = &usage{at: now}
		s.accounts[account] = u
	}
	u.decay(now)
	return u
}

// waitShare counts the request and returns the share of the objective that it may wait for its first event.
func (s *shares) waitShare(now time.Time, r placer.Request, serviceTime time.Duration, endpoints []registrar.Endpoint) float64 {
	share := 1.0
	s.priorities[r.Priority] = now
	for priority, at := range s.priorities {
		if now.Sub(at) > urgencyTime {
			delete(s.priorities, priority)
		} else if priority < r.Priority {
			share *= lowerShare
		}
	}
	if r.Account != "" {
		u := s.usageOf(now, r.Account)
		if r.Waited < placer.HoldInterval/2 {
			// Later questions are for requests that were counted with their first one.
			u.asked++
		}
		if s.isAbove(now, u, serviceTime, endpoints) {
			share *= lowerShare
		}
	}
	return max(share, minWaitShare)
}

// levelInterval is the time for which the level is kept: it changes over a service time.
const levelInterval = 20 * time.Millisecond

// isAbove reports whether the account was given more than its max-min share of the slots.
func (s *shares) isAbove(now time.Time, u *usage, serviceTime time.Duration, endpoints []registrar.Endpoint) bool {
	perRequest := float64(serviceTime) / float64(usageTime)
	if now.Sub(s.levelAt) >= levelInterval {
		s.levelAt, s.level = now, s.levelOf(now, perRequest, endpoints)
	}
	return u.given*perRequest > s.level
}

// levelOf returns the max-min level: accounts that asked for fewer slots get all of them, the others that number.
func (s *shares) levelOf(now time.Time, perRequest float64, endpoints []registrar.Endpoint) float64 {
	left := 0.0
	for _, e := range endpoints {
		if !e.IsDraining {
			left += float64(e.Slots)
		}
	}
	asked := make([]float64, 0, len(s.accounts))
	for name, u := range s.accounts {
		if u.decay(now); u.asked < minUsage && u.given < minUsage {
			delete(s.accounts, name)
			continue
		}
		asked = append(asked, u.asked*perRequest)
	}
	slices.Sort(asked)
	for i, slots := range asked {
		level := left / float64(len(asked)-i)
		if slots > level {
			return level
		}
		left -= slots
	}
	return math.Inf(1)
}

// gave counts a request that was placed.
func (s *shares) gave(now time.Time, account string) {
	if account != "" {
		s.usageOf(now, account).given++
	}
}
