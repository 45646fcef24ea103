package gossiper

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/detector"
	"github.com/dogwoodledge/dogwoodledge/pkg/sleeper"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

const (
	// registerRetry is the pause after a failed registration: several times the duration of a store call.
	registerRetry = 200 * time.Millisecond
	// forgetAfter is how long a lost VM stays listed: longer than the outages from which VMs recover.
	forgetAfter = 60 * time.Second
	// forgetInterval is the time between two checks for lost VMs.
	forgetInterval = 10 * time.Second
)

// runRegister writes this VM's row, and writes it again whenever another VM has deleted it or what it says changes.
func (g *Gossiper) runRegister(ctx context.Context) {
	for g.register(ctx) {
		select {
		case <-ctx.Done():
			return
		case <-g.unlisted:
			g.log.Warn("VM's row is gone from the store or out of date, written again")
		}
	}
}

// SetManyEndpoints sets whether the VM's row says that the deployment has many endpoints.
func (g *Gossiper) SetManyEndpoints(hasMany bool) {
	if g.hasManyEndpoints.Swap(hasMany) != hasMany {
		g.requestRegistration()
	}
}

// requestRegistration has this VM's row written again.
func (g *Gossiper) requestRegistration() {
	select {
	case g.unlisted <- struct{}{}:
	default:
	}
}

// ownRow returns the change that writes this VM's row.
func (g *Gossiper) ownRow() (storer.Change, error) {
	value, err := json.Marshal(vmRow{
		Address: g.cfg.Address, Incarnation: g.cfg.Incarnation, Region: g.cfg.Region,
		AvailabilityZone: g.cfg.AvailabilityZone, Capacity: g.cfg.Capacity, HasManyEndpoints: g.hasManyEndpoints.Load(),
	})
	return storer.Change{Puts: []storer.Entry{{Table: VMTable, Key: g.cfg.VM, Value: value}}}, err
}

// register retries the write of the row until it succeeds; it returns false if ctx ends first.
func (g *Gossiper) register(ctx context.Context) bool {
	for failed := 0; ; failed++ {
		put, err := g.ownRow()
		if err != nil {
			g.log.WithError(err).Error("row of this VM can't be encoded; the VM stays unlisted")
			return false
		}
		_, err = g.store.Apply(ctx, put)
		if err == nil {
			g.isRegistered.Store(true)
			g.log.WithField("incarnation", g.cfg.Incarnation).WithField("failed", failed).Info("VM registered")
			return true
		}
		if failed == 0 {
			g.log.WithError(err).Warn("VM not registered, trying again")
		}
		if !sleeper.Sleep(ctx, registerRetry) {
			return false
		}
	}
}

func (g *Gossiper) runForget(ctx context.Context) {
	sleeper.Every(ctx, forgetInterval, func(now time.Time) { g.forget(ctx, now) })
}

// forget removes VMs that have been lost for longer than forgetAfter. The VM that Assign picks for a lost VM deletes its row
// first.
//
// The name of a replaced VM is never used again. Without forget, the list of VMs would grow with each replacement.
func (g *Gossiper) forget(ctx context.Context, now time.Time) {
	live := g.LiveVMs()
	for vm, m := range g.lostFor(now, forgetAfter) {
		successor, ok := Assign(vm, live)
		if m.version > 0 && ok && successor.Name == g.cfg.VM && !g.dropRow(ctx, vm, m.version) {
			continue
		}
		g.mu.Lock()
		if known, ok := g.members[vm]; ok && known.version == m.version && g.states[vm].State == detector.Lost {
			delete(g.members, vm)
			delete(g.states, vm)
		}
		g.mu.Unlock()
	}
}

// dropRow deletes the VM's row. It returns true if the row was deleted or has changed since it was read at the version, and
// false if the deletion has to be retried.
func (g *Gossiper) dropRow(ctx context.Context, vm string, version int64) bool {
	row := storer.Entry{Table: VMTable, Key: vm, Version: version}
	_, err := g.store.Apply(ctx, storer.Change{Expect: []storer.Entry{row}, Deletes: []storer.Entry{row}})
	stale := (*storer.StaleError)(nil)
	switch {
	case errors.As(err, &stale):
		return true
	case err != nil:
		g.log.WithError(err).WithField("peer", vm).Warn("lost VM's row not dropped, trying again")
		return false
	}
	g.log.WithField("peer", vm).WithField("lostFor", forgetAfter.String()).Info("lost VM's row dropped")
	return true
}

// lostFor returns the VMs that have been lost, and their rows unchanged, for longer than d.
func (g *Gossiper) lostFor(now time.Time, d time.Duration) map[string]member {
	g.mu.Lock()
	defer g.mu.Unlock()
	lost := map[string]member{}
	for vm, m := range g.members {
		if g.states[vm].State == detector.Lost && now.Sub(m.lostAt) > d && now.Sub(m.listedAt) > d {
			lost[vm] = *m
		}
	}
	return lost
}
