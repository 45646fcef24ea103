package jobmanager

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
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

// Held returns the jobs that this VM holds, does not hand over, and that are not over; none while it is leaving or partitioned.
func (m *Manager) Held() []HeldJob {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isAway() {
		return nil
	}
	isLost := func(vm jobrecorder.VMRef) bool { return m.members.StateOf(vm.VM, vm.Incarnation) == gossiper.Lost }
	var held []HeldJob
	for id, r := range m.jobs {
		if r.job.Holder == m.self() && !r.job.IsOver() && !m.handingOver[id] {
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

// isAway reports whether this VM hands its jobs over; the caller holds the lock.
func (m *Manager) isAway() bool { return m.isLeaving || m.isPartitioned }

// adoptLost takes over the jobs whose holder is lost and whose successor is this VM. All VMs choose the same successor: one that
// is in touch with the endpoints, if there is one.
func (m *Manager) adoptLost(ctx context.Context) {
	m.mu.Lock()
	var candidates []jobrecorder.Job
	for id, r := range m.jobs {
		if !r.job.IsOver() && !m.adopting[id] && !m.isLeaving && r.job.Holder != m.self() {
			candidates = append(candidates, r.job)
		}
	}
	m.mu.Unlock()
	live := m.members.VMsInTouch()
	if len(live) == 0 {
		live = m.members.LiveVMs()
	}
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

// runAdoption takes the job over, unless another VM did so first, the job is over, or this VM is leaving.
func (m *Manager) runAdoption(ctx context.Context, j jobrecorder.Job) {
	from := j.Holder
	err := m.writeTransition(ctx, j.ID, func(now jobrecorder.Job) (storer.Change, jobrecorder.Job, bool) {
		return storer.Change{}, now.Adopt(m.self()), now.Holder == from && !now.IsOver() && !m.isLeavingNow()
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

func (m *Manager) isLeavingNow() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isLeaving
}

func (m *Manager) isAwayNow() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isAway()
}

// peerFor returns the other VM that is to run the job: one in touch with the endpoints or, if there is none and this VM is
// leaving, any that is live. It returns false if there is none.
func (m *Manager) peerFor(job string) (jobrecorder.VMRef, bool) {
	isSelf := func(vm gossiper.VMIncarnation) bool { return vm.Name == m.cfg.VM }
	peers := slices.DeleteFunc(m.members.VMsInTouch(), isSelf)
	if len(peers) == 0 && m.isLeavingNow() {
		peers = slices.DeleteFunc(m.members.LiveVMs(), isSelf)
	}
	peer, ok := gossiper.Assign(job, peers)
	return jobrecorder.VMRef{VM: peer.Name, Incarnation: peer.Incarnation}, ok
}

// holderOf returns the VM that is to run a new job: this one, or another one if this one is leaving or partitioned.
func (m *Manager) holderOf(job string) jobrecorder.VMRef {
	if m.isAwayNow() {
		if peer, ok := m.peerFor(job); ok {
			return peer
		}
	}
	return m.self()
}

// HandOver hands this VM's jobs over to other VMs, and any that it comes to hold later, in the background until ctx ends.
// running returns the items of a job that this VM still finishes.
func (m *Manager) HandOver(ctx context.Context, running func(job string) []int) {
	m.mu.Lock()
	m.isLeaving = true
	m.notifyWaiters()
	m.mu.Unlock()
	m.startHandOver(ctx, ItemRuns{Running: running})
}

// startHandOver starts runHandOver, which ends with ctx, unless it runs.
func (m *Manager) startHandOver(ctx context.Context, runs ItemRuns) {
	m.mu.Lock()
	hadHandOver := m.hasHandOver
	m.hasHandOver = true
	m.mu.Unlock()
	if !hadHandOver {
		go m.runHandOver(ctx, runs)
	}
}

// runHandOver starts the hand-over of each job as soon as this VM holds it while it is leaving or partitioned. A job can come
// late: from a submission that was in flight, from a takeover, or from a VM that did not know the state of this one.
func (m *Manager) runHandOver(ctx context.Context, runs ItemRuns) {
	for {
		jobs, changed := m.jobsToHandOver()
		for _, id := range jobs {
			go m.runJobHandOver(ctx, id, runs)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// jobsToHandOver returns the jobs that this VM holds and does not hand over yet, and a channel that is closed at the next
// change of any job.
func (m *Manager) jobsToHandOver() ([]string, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isAway() {
		return nil, m.nextChange
	}
	var jobs []string
	for id, r := range m.jobs {
		if r.job.Holder == m.self() && !r.job.IsOver() && !m.handingOver[id] {
			m.handingOver[id] = true
			jobs = append(jobs, id)
		}
	}
	return jobs, m.nextChange
}

// runJobHandOver hands the job over, also if it comes back at once. It retries until ctx or the partition ends, each time with
// the VM that is then to run the job.
func (m *Manager) runJobHandOver(ctx context.Context, id string, runs ItemRuns) {
	hasFailed := false
	for m.isToHandOver(id) {
		if runs.Save != nil && !m.isLeavingNow() {
			runs.Save(ctx, id)
		}
		err := m.handOver(ctx, id, runs.Running)
		if err == nil {
			continue
		}
		if !hasFailed {
			hasFailed = true
			m.log.WithError(err).WithField("job", id).Warn("could not hand the batch job over; retrying")
		}
		if !sleeper.Sleep(ctx, retryPause) {
			m.log.WithError(err).WithField("job", id).Warn("batch job not handed over; another VM takes it over once this one is lost")
			return
		}
	}
}

// isToHandOver reports whether this VM still holds the job and is to hand it over; if not, the hand-over of the job has ended.
func (m *Manager) isToHandOver(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r, ok := m.jobs[id]; ok && r.job.Holder == m.self() && !r.job.IsOver() && m.isAway() {
		return true
	}
	delete(m.handingOver, id)
	return false
}

// errNoPeer reports that no other VM is to run this VM's jobs.
var errNoPeer = errors.New("no other VM is live and in touch with the endpoints")

// handOver tries once to hand the job over.
func (m *Manager) handOver(ctx context.Context, id string, running func(job string) []int) error {
	to, ok := m.peerFor(id)
	if !ok {
		return errNoPeer
	}
	var kept []int
	isHandedOver := false
	err := m.writeTransition(ctx, id, func(j jobrecorder.Job) (storer.Change, jobrecorder.Job, bool) {
		kept = m.withUnwritten(id, running(id))
		isHandedOver = j.Holder == m.self() && !j.IsOver() && m.isAwayNow()
		return storer.Change{}, j.HandOver(to, kept), isHandedOver
	})
	if err == nil && isHandedOver {
		m.log.WithFields(logrus.Fields{"job": id, "to": to.VM, "kept": len(kept)}).Info("job handed over")
	}
	return err
}

// withUnwritten returns the items and those whose results this VM has yet to write, each once. A run that ends meanwhile is in
// one of the two, since the runner stops to count it and records its result under one lock.
func (m *Manager) withUnwritten(id string, items []int) []int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r, ok := m.jobs[id]; ok {
		for _, f := range r.finished {
			if !slices.Contains(items, f.item) {
				items = append(items, f.item)
			}
		}
	}
	return items
}
