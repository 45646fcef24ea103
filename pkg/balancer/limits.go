package balancer

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/assigner"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/placer"
	"github.com/dogwoodledge/dogwoodledge/pkg/option"
)

// limitsMessage holds rate limits of endpoints, from a VM to its assigner or from an assigner to a VM.
//
// It is a message of its own, so that VMs of older versions still understand the reports.
type limitsMessage struct {
	_ struct{} `cbor:",toarray"`

	Group  uint64
	Limits []limitMessage
}

type limitMessage struct {
	_ struct{} `cbor:",toarray"`

	Key       uint64
	IsNamed   bool
	PerSecond float64
	// AgeMs is how long ago the answer arrived.
	AgeMs int64
}

// maxLimitsPerMessage keeps the message within maxMessageBytes.
const maxLimitsPerMessage = 32

func encodeLimits(now time.Time, group assigner.GroupKey, limits []placer.RateLimit) ([]byte, error) {
	m := limitsMessage{Group: uint64(group)}
	for _, l := range limits {
		m.Limits = append(m.Limits, limitMessage{
			Key: uint64(l.Key), IsNamed: l.IsNamed, PerSecond: l.PerSecond, AgeMs: now.Sub(l.At).Milliseconds(),
		})
	}
	b, err := cbor.Marshal(m)
	return append([]byte{limitsType}, b...), errors.Wrap(err, "encode rate limits")
}

// limits returns the limits of the message; those that are no rates are left out.
func (m limitsMessage) limits(now time.Time) []placer.RateLimit {
	var list []placer.RateLimit
	for _, l := range m.Limits {
		if math.IsNaN(l.PerSecond) || math.IsInf(l.PerSecond, 0) || l.PerSecond < 0 || l.AgeMs < 0 {
			continue
		}
		list = append(list, placer.RateLimit{
			Key: placer.Key(l.Key), IsNamed: l.IsNamed, PerSecond: l.PerSecond, At: now.Add(-duration(l.AgeMs)),
		})
	}
	return list
}

// ObserveAnswer records the rate limit that the answer to a request names. An answer that names none lifts an earlier limit if it
// is certain that the endpoint itself made it.
func (b *Balancer) ObserveAnswer(t *placer.Ticket, named option.Option[float64], isCertain bool) {
	_, isNamed := named.Get()
	if isNamed {
		b.Counters.Limited.Add(1)
	} else if !isCertain {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	l, ok := b.placer.RateLimitAfter(now, t, named).Get()
	g, isKnown := b.byEndpoint[t.Key()]
	if !ok || !isKnown {
		return
	}
	b.learnLimit(now, g, l)
	g.limitsToSend[l.Key] = true
	g.isDirty = true
	notify(b.changed)
}

// learnLimit stores the limit unless a newer one is known; the lock is held.
func (b *Balancer) learnLimit(now time.Time, g *group, l placer.RateLimit) {
	old := b.placer.RateLimitOf(l.Key)
	if !b.placer.ObserveRateLimit(now, l) || l.IsSame(old) {
		return
	}
	log := b.log.WithFields(logrus.Fields{"endpoint": g.endpoints[l.Key].ID, "perSecond": l.PerSecond, "before": old.PerSecond})
	if l.IsNamed {
		log.Info("endpoint names a rate limit")
		return
	}
	log.Info("endpoint lifted its rate limit")
}

// resendLimits makes the next report of the group send all its rate limits; the lock is held.
func (b *Balancer) resendLimits(g *group) {
	for _, l := range b.limitsOf(g) {
		g.limitsToSend[l.Key] = true
	}
}

// limitsOf returns the known rate limits of the group's endpoints; the lock is held.
func (b *Balancer) limitsOf(g *group) []placer.RateLimit {
	var limits []placer.RateLimit
	for k := range g.endpoints {
		if l := b.placer.RateLimitOf(k); l.IsNamed {
			limits = append(limits, l)
		}
	}
	return limits
}

// IsLimited reports whether a recent answer of the endpoint named a rate limit.
func (b *Balancer) IsLimited(k placer.Key) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.placer.IsLimited(time.Now(), k)
}

// sendLimits sends the group's assigner the limits that it is to learn; the lock is held.
func (b *Balancer) sendLimits(now time.Time, g *group) {
	var limits []placer.RateLimit
	for k := range g.limitsToSend {
		limits = append(limits, b.placer.RateLimitOf(k))
	}
	clear(g.limitsToSend)
	switch {
	case len(limits) == 0:
	case g.target == b.cfg.VM:
		b.handle(now, g, assigner.RateLimitsNamed{Limits: limits})
	default:
		b.sendLimitsTo(now, g, g.target, limits)
	}
}

func (b *Balancer) sendLimitsTo(now time.Time, g *group, vm string, limits []placer.RateLimit) {
	for part := range slices.Chunk(limits, maxLimitsPerMessage) {
		payload, err := encodeLimits(now, g.key, part)
		if err != nil {
			b.log.WithError(err).WithField("group", g.Name).Error("rate limits could not be encoded; not sent")
			return
		}
		b.Counters.Reports.Add(1)
		b.network.Send(vm, payload)
	}
}

// notifyLimit passes a limit on to the VM that sends a request to the endpoint; the lock is held.
func (b *Balancer) notifyLimit(now time.Time, g *group, out assigner.RateLimitNotified) {
	if out.VM == b.cfg.VM {
		b.learnLimit(now, g, out.Limit)
		return
	}
	b.sendLimitsTo(now, g, out.VM, []placer.RateLimit{out.Limit})
}

// receiveLimits stores the limits that another VM has learned, also in the assigner of the group if this VM has it; the lock is
// held.
func (b *Balancer) receiveLimits(now time.Time, m limitsMessage) {
	g, ok := b.byGroup[assigner.GroupKey(m.Group)]
	if !ok {
		b.Counters.Malformed.Add(1)
		return
	}
	limits := m.limits(now)
	for _, l := range limits {
		if _, ok := g.endpoints[l.Key]; ok {
			b.learnLimit(now, g, l)
		}
	}
	if g.host != nil {
		b.handle(now, g, assigner.RateLimitsNamed{Limits: limits})
	}
}

// withLimited returns the endpoints that the request has tried and those with a rate limit; the lock is held.
//
// A VM that decides alone doesn't know what the others send, so it leaves the endpoints with a limit to assigners.
func (b *Balancer) withLimited(now time.Time, r placer.Request) map[string]bool {
	tried := maps.Clone(r.Tried)
	if tried == nil {
		tried = map[string]bool{}
	}
	for _, e := range r.Candidates {
		if b.placer.IsLimited(now, placer.KeyOf(e.ID)) {
			tried[e.ID] = true
		}
	}
	return tried
}
