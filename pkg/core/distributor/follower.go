package distributor

import "time"

const (
	// MaxAge is the age from which on a source's knowledge is not used. With the time to notice a source that is silent, a VM knows
	// within 4 s what the store has acknowledged.
	MaxAge = 2 * time.Second
	// avoidTime is how long a source that failed is not asked, fullAvoidTime that while all rows are to be read: after a start of
	// all VMs, or an outage, the sources read them, too.
	avoidTime     = 5 * time.Second
	fullAvoidTime = 200 * time.Millisecond
	// maxFailures is the number of sources in a row that fail before the store is asked, for storeTime.
	maxFailures = 2
	storeTime   = 5 * time.Second
	// fullPatience is how long a VM that needs all rows asks its sources in turn before the store: if all VMs read all rows from the
	// store at once, the link between regions is full for half a minute.
	fullPatience = 1500 * time.Millisecond
	// maxZoneTries bounds the sources tried in search of one in the VM's own zone.
	maxZoneTries = 5
)

// Choice is where to read from: FromStore, FromPeer or Wait.
type Choice interface{ isChoice() }

// FromStore says that the store is to be read.
type FromStore struct{}

// FromPeer says that the VM is to be asked.
type FromPeer struct{ VM string }

// Wait says that sources are about to be there.
type Wait struct{ For time.Duration }

func (FromStore) isChoice() {}
func (FromPeer) isChoice()  {}
func (Wait) isChoice()      {}

// Follower chooses where a VM reads; it is not safe for concurrent use.
type Follower struct {
	zone string
	// source is the VM that answered last.
	source string
	// avoided holds the sources that failed, until when they are not asked.
	avoided  map[string]time.Time
	failures int
	// storeUntil is the time until which the store is read.
	storeUntil time.Time
	// zones holds the zones of the sources that have answered.
	zones map[string]string
	// fullSince is the time since which all rows are to be read; zero while changes are enough.
	fullSince time.Time
	hasRows   bool
}

// NewFollower returns a follower for a VM in the zone.
func NewFollower(zone string) *Follower {
	return &Follower{zone: zone, avoided: map[string]time.Time{}, zones: map[string]string{}}
}

// Source returns the VM that the rows are heard from; empty if they are read from the store.
func (f *Follower) Source() string { return f.source }

// Choose returns where to read next; isFull says that all rows are to be read.
func (f *Follower) Choose(now time.Time, p Place, isFull bool) Choice {
	switch {
	case !isFull:
		f.fullSince = time.Time{}
	case f.fullSince.IsZero():
		f.fullSince = now
		clear(f.avoided)
	}
	isPatient := isFull && now.Sub(f.fullSince) < fullPatience
	if f.failures >= maxFailures && !isPatient {
		f.failures, f.storeUntil = 0, now.Add(storeTime)
	}
	if p.IsReader || (now.Before(f.storeUntil) && !isPatient) {
		f.source = ""
		return FromStore{}
	}
	vm, ok := f.best(now, p.Sources)
	switch {
	case ok:
		return FromPeer{VM: vm}
	case isPatient:
		return Wait{For: fullAvoidTime / 2}
	default:
		f.source = ""
		return FromStore{}
	}
}

// best returns the source to ask: the current one if it is in the VM's zone or the search for such a one has ended, else another
// one, first those of the VM's zone, then those whose zone is unknown.
func (f *Follower) best(now time.Time, sources []string) (string, bool) {
	best, bestClass := "", 0
	for _, vm := range sources {
		if now.Before(f.avoided[vm]) {
			continue
		}
		if c := f.class(vm); best == "" || c < bestClass {
			best, bestClass = vm, c
		}
	}
	return best, best != ""
}

// class ranks sources: the lower, the better.
func (f *Follower) class(vm string) int {
	zone, isKnown := f.zones[vm]
	isCurrent := vm == f.source
	switch {
	case isKnown && zone == f.zone && isCurrent:
		return 0
	case isKnown && zone == f.zone:
		return 1
	case !isKnown && len(f.zones) < maxZoneTries && f.hasRows:
		return 2
	case isCurrent:
		return 3
	default:
		return 4
	}
}

// Answered records an answer of the source, with the age of its knowledge, and reports whether it may be used.
func (f *Follower) Answered(now time.Time, vm, zone string, age time.Duration) bool {
	if age > MaxAge {
		f.Failed(now, vm)
		return false
	}
	f.source, f.failures, f.hasRows, f.zones[vm] = vm, 0, true, zone
	delete(f.avoided, vm)
	return true
}

// AnsweredByStore records that the store was read.
func (f *Follower) AnsweredByStore() { f.hasRows = true }

// Failed records that the source did not answer, or what can't be used.
func (f *Follower) Failed(now time.Time, vm string) {
	pause := avoidTime
	if !f.fullSince.IsZero() {
		pause = fullAvoidTime
	}
	// Those that may be asked again are forgotten, so that the map holds no VMs that are gone.
	for other, until := range f.avoided {
		if !now.Before(until) {
			delete(f.avoided, other)
		}
	}
	f.avoided[vm] = now.Add(pause)
	f.failures++
	if f.source == vm {
		f.source = ""
	}
}
