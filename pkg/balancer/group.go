package balancer

import (
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/assigner"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/placer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
)

const (
	// maxObservations bounds the observations kept for the next report, so that a report fits a datagram.
	maxObservations = 16
	// silencesToAvoid is the number of consecutive questions without a reply after which the next VM in the ranking is asked for
	// avoidTime; a single one may be a lost datagram.
	silencesToAvoid = 2
	avoidTime       = time.Second
)

// group is a group of endpoints as this VM uses it, and, if this VM assigns its slots, its assigner.
type group struct {
	assigner.Group
	key       assigner.GroupKey
	endpoints map[placer.Key]registrar.Endpoint

	// host is set once this VM was asked to assign the group's slots.
	host *assigner.Assigner

	// target is the VM to which this VM last reported, acknowledged its newest order received here.
	target       string
	acknowledged uint64
	// avoid holds the VMs that did not reply, until the time at which they are asked again.
	avoid        map[string]time.Time
	silences     int
	observations []placer.Observation
	engines      map[placer.Key]int
	// isDirty says that there is something new to report, isReported that the last report was not empty.
	isDirty, isReported bool
	// limitsToSend holds the endpoints whose rate limits the target is to learn.
	limitsToSend map[placer.Key]bool
}

func newGroup() *group {
	return &group{avoid: map[string]time.Time{}, engines: map[placer.Key]int{}, limitsToSend: map[placer.Key]bool{}}
}

func (g *group) define(def assigner.Group) {
	g.Group, g.key = def, def.Key()
	g.endpoints = make(map[placer.Key]registrar.Endpoint, len(def.Endpoints))
	for _, e := range def.Endpoints {
		g.endpoints[placer.KeyOf(e.ID)] = e
	}
}

// hasAny reports whether one of the endpoints belongs to the group.
func (g *group) hasAny(endpoints []registrar.Endpoint) bool {
	for _, e := range endpoints {
		if _, ok := g.endpoints[placer.KeyOf(e.ID)]; ok {
			return true
		}
	}
	return false
}

// recordReply records that the VM replied, or that it did not.
func (g *group) recordReply(now time.Time, vm string, hasReplied bool) {
	if hasReplied {
		g.silences = 0
		delete(g.avoid, vm)
		return
	}
	if g.silences++; g.silences >= silencesToAvoid {
		g.silences = 0
		g.avoid[vm] = now.Add(avoidTime)
	}
}

// chooseTarget returns the first of the ranked VMs that is not avoided, and whether it differs from the last one.
func (g *group) chooseTarget(now time.Time, ranked []string) (string, bool) {
	target := ""
	for _, vm := range ranked {
		if until, ok := g.avoid[vm]; ok && now.Before(until) {
			continue
		}
		target = vm
		break
	}
	if target == "" && len(ranked) > 0 {
		target = ranked[0]
	}
	isNew := target != g.target
	if isNew {
		g.target, g.acknowledged, g.silences = target, 0, 0
	}
	return target, isNew
}
