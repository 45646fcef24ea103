package gossiper

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/pauser"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

const (
	// registerRetry is the pause after a failed registration, some calls of the store long.
	registerRetry = 200 * time.Millisecond
	// forgetAfter is how long a silent VM stays listed: longer than the outages that VMs come back from.
	forgetAfter = 60 * time.Second
	// forgetEvery is how often silent VMs are looked for.
	forgetEvery = 10 * time.Second
)

// runRegister writes this VM's row, and writes it again when another VM has dropped it.
func (g *Gossiper) runRegister(ctx context.Context) {
	value, err := json.Marshal(record{Address: g.cfg.Address, Incarnation: g.cfg.Incarnation, Region: g.cfg.Region})
	if err != nil {
		g.log.WithError(err).Error("VM's row can't be written")
		return
	}
	put := storer.Change{Puts: []storer.Entry{{Table: VMTable, Key: g.cfg.VM, Value: value}}}
	for g.register(ctx, put) {
		select {
		case <-ctx.Done():
			return
		case <-g.unlisted:
			g.log.Warn("VM's row is gone from the store, written again")
		}
	}
}

// register writes the row until the store has it, and says whether that was before ctx ended.
func (g *Gossiper) register(ctx context.Context, put storer.Change) bool {
	for failed := 0; ; failed++ {
		_, err := g.store.Apply(ctx, put)
		if err == nil {
			g.isRegistered.Store(true)
			g.log.WithField("incarnation", g.cfg.Incarnation).WithField("failed", failed).Info("VM registered")
			return true
		}
		if failed == 0 {
			g.log.WithError(err).Warn("VM not registered, trying again")
		}
		if !pauser.Pause(ctx, registerRetry) {
			return false
		}
	}
}

func (g *Gossiper) runForget(ctx context.Context) {
	pauser.Every(ctx, forgetEvery, func(now time.Time) { g.forget(ctx, now) })
}

// forget drops VMs that are silent for good, with their rows where that falls to this VM.
//
// A replaced VM's name never comes back, so without this the list and the reports sent to it grow with each replacement.
func (g *Gossiper) forget(ctx context.Context, now time.Time) {
	live := g.LiveVMs()
	for _, m := range g.silentFor(now, forgetAfter) {
		heir, ok := Choose(m.VM, live)
		if m.version > 0 && ok && heir.Name == g.cfg.VM && !g.dropRow(ctx, m) {
			continue
		}
		g.mu.Lock()
		if known, ok := g.members[m.VM]; ok && known.HeardAt.Equal(m.HeardAt) && known.version == m.version {
			delete(g.members, m.VM)
		}
		g.mu.Unlock()
	}
}

// dropRow says whether the VM's row is settled: dropped, or written anew by the VM itself.
func (g *Gossiper) dropRow(ctx context.Context, m Member) bool {
	row := storer.Entry{Table: VMTable, Key: m.VM, Version: m.version}
	_, err := g.store.Apply(ctx, storer.Change{Expect: []storer.Entry{row}, Drops: []storer.Entry{row}})
	stale := (*storer.StaleError)(nil)
	switch {
	case errors.As(err, &stale):
		return true
	case err != nil:
		g.log.WithError(err).WithField("peer", m.VM).Warn("silent VM's row not dropped, trying again")
		return false
	}
	g.log.WithField("peer", m.VM).WithField("silentFor", forgetAfter.String()).Info("silent VM's row dropped")
	return true
}

// silentFor returns the VMs that were neither heard nor listed within d.
func (g *Gossiper) silentFor(now time.Time, d time.Duration) []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	var silent []Member
	for _, m := range g.members {
		if now.Sub(m.HeardAt) > d && now.Sub(m.listedAt) > d {
			silent = append(silent, *m)
		}
	}
	return silent
}
