package allocator

import (
	"math"
	"time"
)

// spareSlots returns the number of slots for work that must not slow online requests, when those hold online slots.
//
// An engine's step takes longer the more sequences share it, so such work slows online requests even in slots that they do
// not use. A YieldFactor above 1 removes it faster than online requests arrive, which keeps service times and, at a traffic
// spike, queues short.
func (p Policy) spareSlots(online, slots int) int {
	reserve := min(slots-1, int(math.Ceil(p.ReservedShare*float64(slots))))
	beyond := max(0, float64(online)-p.YieldFrom*float64(slots))
	displaced := online + int(math.Ceil((max(1, p.YieldFactor)-1)*beyond))
	return max(0, slots-displaced-reserve)
}

// shares holds the accounts' shares of the slots, and decides which accounts may take one more slot.
type shares struct {
	allocator *Allocator
	slots     int
	free      int
	// weights is the sum of the weights of the accounts that use slots or used some within peakWindow.
	weights int
	// wanted is the number of slots that these accounts may soon request in addition.
	wanted int
	// heldInShare and heldAboveShare sum the slots that accounts hold within and above their fair shares.
	heldInShare    int
	heldAboveShare int
}

// shares computes the accounts' shares from their current and recent use of slots.
func (a *Allocator) shares(now time.Time, slots int) *shares {
	s := &shares{allocator: a, slots: slots, free: slots - len(a.grants)}
	for account, u := range a.use {
		if u.held > 0 || now.Sub(u.peakAt) < peakWindow {
			s.weights += a.queue.weight(account)
			s.wanted += u.wanted()
		}
	}
	for account, u := range a.use {
		fair := s.fair(account)
		s.heldInShare += min(u.held, fair)
		s.heldAboveShare += max(0, u.held-fair)
	}
	return s
}

// wanted returns how many more slots the account may soon request: up to its recent peak plus the square root of that peak,
// as an allowance for random variation.
func (u *accountUse) wanted() int {
	return max(0, u.peak+int(math.Ceil(math.Sqrt(float64(u.peak))))-u.held)
}

// fair returns the account's fair share of the slots, by weight.
func (s *shares) fair(account string) int {
	return s.slots * s.allocator.queue.weight(account) / max(1, s.weights)
}

// isOpen reports whether the account may take one more slot.
//
// Slots above an account's fair share are limited like those of batch items: the account gets only the spare slots that the
// policy leaves beside the fair shares of the others, less those that the others used recently. So a flood of requests from
// one account fills its own share and not theirs; the cost is some idle slots while the flood lasts.
func (s *shares) isOpen(account string) bool {
	if s.free <= 0 {
		return false
	}
	own, ownWanted, weights := 0, 0, s.weights
	if u, ok := s.allocator.use[account]; ok {
		own, ownWanted = u.held, u.wanted()
	} else {
		weights += s.allocator.queue.weight(account)
	}
	if own < s.slots*s.allocator.queue.weight(account)/max(1, weights) {
		return true
	}
	wanted := min(s.wanted-ownWanted, s.slots/2)
	return s.free > wanted && s.heldAboveShare < s.allocator.policy.spareSlots(s.heldInShare, s.slots)-wanted
}
