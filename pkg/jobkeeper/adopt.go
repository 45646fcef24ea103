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

// adoptEvery is how often a VM looks for jobs whose holder is lost.
const adoptEvery = 250 * time.Millisecond

// HeldJob is a job that this VM runs.
type HeldJob struct {
	Job jobber.Job
	// Items are those that may be run here.
	Items []int
}

// Held returns the jobs that this VM runs.
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

// IsOver says whether nothing of the job is left to run.
func (k *Keeper) IsOver(job string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	r, ok := k.jobs[job]
	return !ok || r.job.IsOver()
}

// IsHeld says whether this VM is the one to run the job, or the item of it that it kept when it handed the job over.
func (k *Keeper) IsHeld(job string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	r, ok := k.jobs[job]
	return ok && !r.job.IsOver() && (r.job.Holder == k.self() || r.job.Leaver == k.self())
}

func (k *Keeper) runAdopt(ctx context.Context) {
	pauser.Every(ctx, adoptEvery, func(time.Time) { k.adoptLost(ctx) })
}

// adoptLost takes over the jobs of lost holders that fall to this VM.
func (k *Keeper) adoptLost(ctx context.Context) {
	k.mu.Lock()
	var orphans []jobber.Job
	for id, r := range k.jobs {
		if !r.job.IsOver() && !k.adopting[id] && !k.isLeaving && r.job.Holder != k.self() {
			orphans = append(orphans, r.job)
		}
	}
	k.mu.Unlock()
	live := k.members.LiveVMs()
	for _, j := range orphans {
		if k.members.StateOf(j.Holder.VM, j.Holder.Incarnation) != gossiper.Lost {
			continue
		}
		if heir, ok := gossiper.Choose(j.ID, live); !ok || heir.Name != k.cfg.VM {
			continue
		}
		k.mu.Lock()
		k.adopting[j.ID] = true
		k.mu.Unlock()
		go k.runAdoption(ctx, j)
	}
}

func (k *Keeper) runAdoption(ctx context.Context, j jobber.Job) {
	from := j.Holder
	err := k.change(ctx, j.ID, func(now jobber.Job) (storer.Change, jobber.Job, bool) {
		return storer.Change{}, now.Adopt(k.self()), now.Holder == from && !now.IsOver()
	})
	k.mu.Lock()
	delete(k.adopting, j.ID)
	k.mu.Unlock()
	log := k.log.WithFields(logrus.Fields{"job": j.ID, "from": from.VM, "incarnation": from.Incarnation})
	if err != nil {
		log.WithError(err).Warn("job not taken over")
		return
	}
	log.Info("job taken over")
}

// HandOver gives this VM's jobs to others; running lists the items of each that it still finishes.
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
		heir, ok := gossiper.Choose(j.ID, live)
		if !ok {
			k.log.WithField("job", j.ID).Warn("no VM to hand the job over to")
			continue
		}
		go k.runHandOver(ctx, j.ID, jobber.VMRef{VM: heir.Name, Incarnation: heir.Incarnation}, running[j.ID])
	}
}

func (k *Keeper) runHandOver(ctx context.Context, id string, to jobber.VMRef, kept []int) {
	err := k.change(ctx, id, func(j jobber.Job) (storer.Change, jobber.Job, bool) {
		return storer.Change{}, j.HandOver(to, kept), j.Holder == k.self() && !j.IsOver()
	})
	log := k.log.WithFields(logrus.Fields{"job": id, "to": to.VM, "kept": len(kept)})
	if err != nil {
		log.WithError(err).Warn("job not handed over")
		return
	}
	log.Info("job handed over")
}
