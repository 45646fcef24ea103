package jobkeeper

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/jobber"
	"github.com/dogwoodledge/dogwoodledge/pkg/gossiper"
	"github.com/dogwoodledge/dogwoodledge/pkg/pauser"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

// adoptEvery is the interval at which a VM looks for jobs whose holder is lost.
const adoptEvery = 250 * time.Millisecond

// HeldJob is a job that this VM holds.
type HeldJob struct {
	Job jobber.Job
	// Items are the items that may run here.
	Items []int
}

// Held returns the jobs that this VM holds and that are not over; none while it is leaving.
func (k *Keeper) Held() []HeldJob {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.isLeaving {
		return nil
	}
	var held []HeldJob
	for _, r := range k.jobs {
		if r.job.Holder != k.self() || r.job.IsOver() {
			continue
		}
		isGone := true
		if len(r.job.Kept) > 0 {
			isGone = k.members.StateOf(r.job.Leaver.VM, r.job.Leaver.Incarnation) == gossiper.Lost
		}
		held = append(held, HeldJob{Job: r.job, Items: r.job.Runnable(isGone)})
	}
	return held
}

// IsOver reports whether no item of the job is left to run.
func (k *Keeper) IsOver(job string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	r, ok := k.jobs[job]
	return !ok || r.job.IsOver()
}

// IsHeld reports whether the job is not over and this VM is its holder, or its leaver, which still runs some of its items.
func (k *Keeper) IsHeld(job string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	r, ok := k.jobs[job]
	return ok && !r.job.IsOver() && (r.job.Holder == k.self() || r.job.Leaver == k.self())
}

func (k *Keeper) runAdopt(ctx context.Context) {
	pauser.Every(ctx, adoptEvery, func(time.Time) { k.adoptLost(ctx) })
}

// adoptLost takes over the jobs whose holder is lost and whose successor is this VM. All VMs choose the same successor.
func (k *Keeper) adoptLost(ctx context.Context) {
	k.mu.Lock()
	var candidates []jobber.Job
	for id, r := range k.jobs {
		if !r.job.IsOver() && !k.adopting[id] && !k.isLeaving && r.job.Holder != k.self() {
			candidates = append(candidates, r.job)
		}
	}
	k.mu.Unlock()
	live := k.members.LiveVMs()
	for _, j := range candidates {
		if k.members.StateOf(j.Holder.VM, j.Holder.Incarnation) != gossiper.Lost {
			continue
		}
		if successor, ok := gossiper.Choose(j.ID, live); !ok || successor.Name != k.cfg.VM {
			continue
		}
		k.mu.Lock()
		k.adopting[j.ID] = true
		k.mu.Unlock()
		go k.runAdoption(ctx, j)
	}
}

// runAdoption takes the job over, unless another VM did so first or the job is over.
func (k *Keeper) runAdoption(ctx context.Context, j jobber.Job) {
	from := j.Holder
	err := k.writeTransition(ctx, j.ID, func(now jobber.Job) (storer.Change, jobber.Job, bool) {
		return storer.Change{}, now.Adopt(k.self()), now.Holder == from && !now.IsOver()
	})
	k.mu.Lock()
	delete(k.adopting, j.ID)
	k.mu.Unlock()
	log := k.log.WithFields(logrus.Fields{"job": j.ID, "from": from.VM, "incarnation": from.Incarnation})
	if err != nil {
		log.WithError(err).Warn("could not take over the batch job of a lost VM; trying again")
		return
	}
	log.Info("job taken over")
}

// HandOver hands this VM's jobs over to other VMs in the background; running lists the items of each job that this VM still
// finishes.
func (k *Keeper) HandOver(ctx context.Context, running map[string][]int) {
	k.mu.Lock()
	k.isLeaving = true
	var held []jobber.Job
	for _, r := range k.jobs {
		if r.job.Holder == k.self() && !r.job.IsOver() {
			held = append(held, r.job)
		}
	}
	k.mu.Unlock()
	live := k.members.LiveVMs()
	for _, j := range held {
		successor, ok := gossiper.Choose(j.ID, live)
		if !ok {
			k.log.WithField("job", j.ID).Warn("no live VM to hand the batch job over to; another takes it over once this one is lost")
			continue
		}
		go k.runHandOver(ctx, j.ID, jobber.VMRef{VM: successor.Name, Incarnation: successor.Incarnation}, running[j.ID])
	}
}

func (k *Keeper) runHandOver(ctx context.Context, id string, to jobber.VMRef, kept []int) {
	err := k.writeTransition(ctx, id, func(j jobber.Job) (storer.Change, jobber.Job, bool) {
		return storer.Change{}, j.HandOver(to, kept), j.Holder == k.self() && !j.IsOver()
	})
	log := k.log.WithFields(logrus.Fields{"job": id, "to": to.VM, "kept": len(kept)})
	if err != nil {
		log.WithError(err).Warn("could not hand the batch job over; another VM takes it over once this one is lost")
		return
	}
	log.Info("job handed over")
}
