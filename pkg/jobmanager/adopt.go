package jobmanager

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/jobrecorder"
	"github.com/dogwoodledge/dogwoodledge/pkg/gossiper"
	"github.com/dogwoodledge/dogwoodledge/pkg/sleeper"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

// adoptEvery is the interval at which a VM looks for jobs whose holder is lost.
const adoptEvery = 250 * time.Millisecond

// HeldJob is a job that this VM holds.
type HeldJob struct {
	Job jobrecorder.Job
	// Items are the items that may run here.
	Items []int
}

// Held returns the jobs that this VM holds and that are not over; none while it is leaving.
func (m *Manager) Held() []HeldJob {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isLeaving {
		return nil
	}
	isLost := func(vm jobrecorder.VMRef) bool { return m.members.StateOf(vm.VM, vm.Incarnation) == gossiper.Lost }
	var held []HeldJob
	for _, r := range m.jobs {
		if r.job.Holder == m.self() && !r.job.IsOver() {
			held = append(held, HeldJob{Job: r.job, Items: r.job.Runnable(isLost)})
		}
	}
	return held
}

// IsOver reports whether no item of the job is left to run.
func (m *Manager) IsOver(job string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.jobs[job]
	return !ok || r.job.IsOver()
}

// IsHeld reports whether the job is not over and this VM is its holder, or a former holder, which may still run some of its
// items.
func (m *Manager) IsHeld(job string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.jobs[job]
	return ok && !r.job.IsOver() && (r.job.Holder == m.self() || r.job.IsKeptBy(m.self()))
}

func (m *Manager) runAdopt(ctx context.Context) {
	sleeper.Every(ctx, adoptEvery, func(time.Time) { m.adoptLost(ctx) })
}

// adoptLost takes over the jobs whose holder is lost and whose successor is this VM. All VMs choose the same successor.
func (m *Manager) adoptLost(ctx context.Context) {
	m.mu.Lock()
	var candidates []jobrecorder.Job
	for id, r := range m.jobs {
		if !r.job.IsOver() && !m.adopting[id] && !m.isLeaving && r.job.Holder != m.self() {
			candidates = append(candidates, r.job)
		}
	}
	m.mu.Unlock()
	live := m.members.LiveVMs()
	for _, j := range candidates {
		if m.members.StateOf(j.Holder.VM, j.Holder.Incarnation) != gossiper.Lost {
			continue
		}
		if successor, ok := gossiper.Assign(j.ID, live); !ok || successor.Name != m.cfg.VM {
			continue
		}
		m.mu.Lock()
		m.adopting[j.ID] = true
		m.mu.Unlock()
		go m.runAdoption(ctx, j)
	}
}

// runAdoption takes the job over, unless another VM did so first or the job is over.
func (m *Manager) runAdoption(ctx context.Context, j jobrecorder.Job) {
	from := j.Holder
	err := m.writeTransition(ctx, j.ID, func(now jobrecorder.Job) (storer.Change, jobrecorder.Job, bool) {
		return storer.Change{}, now.Adopt(m.self()), now.Holder == from && !now.IsOver()
	})
	m.mu.Lock()
	delete(m.adopting, j.ID)
	m.mu.Unlock()
	log := m.log.WithFields(logrus.Fields{"job": j.ID, "from": from.VM, "incarnation": from.Incarnation})
	if err != nil {
		log.WithError(err).Warn("could not take over the batch job of a lost VM; trying again")
		return
	}
	log.Info("job taken over")
}

// HandOver hands this VM's jobs over to other VMs in the background; running lists the items of each job that this VM still
// finishes.
func (m *Manager) HandOver(ctx context.Context, running map[string][]int) {
	m.mu.Lock()
	m.isLeaving = true
	var held []jobrecorder.Job
	for _, r := range m.jobs {
		if r.job.Holder == m.self() && !r.job.IsOver() {
			held = append(held, r.job)
		}
	}
	m.mu.Unlock()
	live := m.members.LiveVMs()
	for _, j := range held {
		successor, ok := gossiper.Assign(j.ID, live)
		if !ok {
			m.log.WithField("job", j.ID).Warn("no live VM to hand the batch job over to; another takes it over once this one is lost")
			continue
		}
		go m.runHandOver(ctx, j.ID, jobrecorder.VMRef{VM: successor.Name, Incarnation: successor.Incarnation}, running[j.ID])
	}
}

func (m *Manager) runHandOver(ctx context.Context, id string, to jobrecorder.VMRef, kept []int) {
	err := m.writeTransition(ctx, id, func(j jobrecorder.Job) (storer.Change, jobrecorder.Job, bool) {
		return storer.Change{}, j.HandOver(to, kept), j.Holder == m.self() && !j.IsOver()
	})
	log := m.log.WithFields(logrus.Fields{"job": id, "to": to.VM, "kept": len(kept)})
	if err != nil {
		log.WithError(err).Warn("could not hand the batch job over; another VM takes it over once this one is lost")
		return
	}
	log.Info("job handed over")
}
