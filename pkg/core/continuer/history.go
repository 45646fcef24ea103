package continuer

import (
	"maps"
	"slices"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
)

// Memory is the longest time between the begin of a stream and the last attempt to resume it: a stream's longest life, and that
// of the attempts after it.
const Memory = time.Minute

// History holds which software versions of each service accept requests, or did so within Memory; it is not safe for concurrent
// use.
type History struct {
	start    time.Time
	services map[string]*lifetimes
}

// lifetimes holds the software versions of one service.
type lifetimes struct {
	// current holds those that accept requests; ended holds when the others stopped.
	current map[registrar.Software]bool
	ended   map[registrar.Software]time.Time
	// isComplete says that the versions of the time before the history's start are known.
	isComplete bool
}

// NewHistory returns a history that knows nothing of the time before start.
func NewHistory(start time.Time) *History {
	return &History{start: start, services: map[string]*lifetimes{}}
}

func (h *History) of(service string) *lifetimes {
	l, ok := h.services[service]
	if !ok {
		l = &lifetimes{current: map[registrar.Software]bool{}, ended: map[registrar.Software]time.Time{}}
		h.services[service] = l
	}
	return l
}

// Observe records the endpoints that accept requests now, by service, and returns the services whose software versions changed.
func (h *History) Observe(now time.Time, r *registrar.Registry) []string {
	var changed []string
	services := slices.Collect(maps.Keys(h.services))
	for _, s := range r.Services() {
		if _, ok := h.services[s]; !ok {
			services = append(services, s)
		}
	}
	slices.Sort(services)
	for _, service := range services {
		current := map[registrar.Software]bool{}
		for _, s := range r.SoftwareOf(service) {
			current[s] = true
		}
		l := h.of(service)
		if maps.Equal(current, l.current) {
			continue
		}
		changed = append(changed, service)
		for s := range l.current {
			if !current[s] {
				l.ended[s] = now
			}
		}
		for s := range current {
			delete(l.ended, s)
		}
		l.current = current
	}
	return changed
}

// Record is what is known of a service's software versions, to be stored for VMs that start later.
type Record struct {
	// Current holds those that accept requests, in ascending order.
	Current []registrar.Software
	// Ended holds the time since each other one stopped.
	Ended map[registrar.Software]time.Duration
}

// RecordOf returns the record of the service, and whether it covers the last Memory.
func (h *History) RecordOf(now time.Time, service string) (Record, bool) {
	l := h.of(service)
	r := Record{Current: slices.Sorted(maps.Keys(l.current)), Ended: map[registrar.Software]time.Duration{}}
	for s, at := range l.ended {
		if age := now.Sub(at); age < Memory {
			r.Ended[s] = age
		}
	}
	return r, h.isComplete(now, l)
}

func (h *History) isComplete(now time.Time, l *lifetimes) bool {
	return l.isComplete || now.Sub(h.start) >= Memory
}

// Restore adds a record that another VM stored. Versions that it calls current and that no longer are count as ended now.
func (h *History) Restore(now time.Time, service string, r Record) {
	l := h.of(service)
	end := func(s registrar.Software, at time.Time) {
		if !l.current[s] && l.ended[s].Before(at) {
			l.ended[s] = at
		}
	}
	for _, s := range r.Current {
		end(s, now)
	}
	for s, age := range r.Ended {
		end(s, now.Add(-age))
	}
	l.isComplete = true
}

// Possible returns the software versions that may have begun an output of the service within Memory, in ascending order; false
// means that there may have been others.
func (h *History) Possible(now time.Time, service string) ([]registrar.Software, bool) {
	l := h.of(service)
	possible := slices.Collect(maps.Keys(l.current))
	for s, at := range l.ended {
		if now.Sub(at) < Memory {
			possible = append(possible, s)
			continue
		}
		delete(l.ended, s)
	}
	slices.Sort(possible)
	return possible, h.isComplete(now, l)
}
