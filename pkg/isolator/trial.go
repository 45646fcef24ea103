package isolator

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/quarantiner"
)

// rankTime is how long a place in the order of VMs is used: many held items ask for it again and again.
const rankTime = 500 * time.Millisecond

// rankOf is this VM's place for a part, as of a time.
type rankOf struct {
	rank, vms int
	at        time.Time
}

// HoldOf returns until when a batch item with the parts waits here.
func (i *Isolator) HoldOf(parts []string) quarantiner.Hold {
	if len(parts) == 0 || !i.hasStrikes.Load() {
		return quarantiner.Hold{}
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	return i.quarantiner.HoldOf(now, parts, func(part string) (int, int) { return i.recentRank(now, part) })
}

// recentRank returns this VM's place for a part; the lock is held.
func (i *Isolator) recentRank(now time.Time, part string) (rank, vms int) {
	r, ok := i.ranks[part]
	if !ok || now.Sub(r.at) > rankTime {
		r.rank, r.vms = i.rank(part)
		r.at = now
		i.ranks[part] = r
	}
	return r.rank, r.vms
}

// BeginTrial records that an item with the quarantined parts is sent as a trial of them, and returns when.
func (i *Isolator) BeginTrial(item string, parts []string) time.Time {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	for _, p := range i.quarantiner.BeginTrial(now, parts) {
		i.putProbe(now, p)
	}
	i.Counters.Probes.Add(1)
	i.log.WithFields(logrus.Fields{"item": item, "parts": parts}).Info("batch item sent as a trial of its quarantined parts")
	return now
}

// AbortTrial records that the trial which began at the time said nothing of the parts.
func (i *Isolator) AbortTrial(parts []string, began time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.quarantiner.AbortTrial(time.Now(), parts, began)
}
