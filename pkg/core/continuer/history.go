package continuer

import (
	"maps"
	"slices"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/option"
)

// Memory is the longest time between the begin of a stream and the last attempt to resume it: a stream's longest life, and that
// of the attempts after it.
const Memory = time.Minute

// History holds which software versions of each service accept requests, or did so within Memory; it is not safe for concurrent
// use.
//
// A version may serve for some time before a VM hears of it. What the VM hasn't seen is not taken for absent: see Only.
type History struct {
	// start is the time since which no change of the endpoints was missed.
	start time.Time
	// confirmed is the time up to which all changes of the endpoints have been observed.
	confirmed time.Time
	services  map[string]*lifetimes
	// config is the active configuration; replaced holds those before it that were active within Memory.
	config   *registrar.Config
	replaced []replacedConfig
}

type replacedConfig struct {
	config *registrar.Config
	at     time.Time
}

// lifetimes holds the software versions of one service.
type lifetimes struct {
	// current holds those that accept requests; ended holds when the others stopped.
	current map[registrar.Software]bool
	ended   map[registrar.Software]time.Time
	// draining holds those of endpoints that drain.
	draining map[registrar.Software]bool
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

// Observe records the endpoints that accept requests now, by service, and those that did before, and returns the services whose
// software versions changed.
func (h *History) Observe(now time.Time, r *registrar.Registry) []string {
	h.observeConfig(now, r.Config)
	if r.HasGap {
		h.start = now
		for _, l := range h.services {
			l.isComplete = false
		}
	}
	passed, draining := softwareByService{}, softwareByService{}
	for _, e := range r.Passed {
		passed.add(e)
	}
	for _, e := range r.Endpoints {
		if e.IsDraining {
			draining.add(e)
		}
	}
	services := slices.Concat(
		slices.Collect(maps.Keys(h.services)), r.Services(), slices.Collect(maps.Keys(passed)),
		slices.Collect(maps.Keys(draining)),
	)
	slices.Sort(services)
	var changed []string
	for _, service := range slices.Compact(services) {
		current := map[registrar.Software]bool{}
		for _, s := range r.SoftwareOf(service) {
			current[s] = true
		}
		if h.of(service).observe(now, current, passed[service], draining[service]) {
			changed = append(changed, service)
		}
	}
	return changed
}

type softwareByService map[string]map[registrar.Software]bool

func (m softwareByService) add(e registrar.Endpoint) {
	if m[e.Service] == nil {
		m[e.Service] = map[registrar.Software]bool{}
	}
	m[e.Service][e.Software()] = true
}

// observe records the software versions that accept requests, that did since the last call, and of draining endpoints.
// It reports whether any of them is new or has ended.
func (l *lifetimes) observe(now time.Time, current, passed, draining map[registrar.Software]bool) bool {
	isChanged := !maps.Equal(current, l.current)
	end := func(s registrar.Software) {
		if _, ok := l.ended[s]; !ok && !current[s] {
			isChanged = true
		}
		l.ended[s] = now
	}
	for s := range l.current {
		end(s)
	}
	for s := range passed {
		end(s)
	}
	for s := range draining {
		if !l.draining[s] {
			end(s)
		}
	}
	for s := range current {
		delete(l.ended, s)
	}
	l.current, l.draining = current, draining
	return isChanged
}

// Confirm records that all changes of the endpoints up to the time have been observed.
func (h *History) Confirm(at time.Time) {
	if at.After(h.confirmed) {
		h.confirmed = at
	}
}

// observeConfig records the active configuration.
func (h *History) observeConfig(now time.Time, c *registrar.Config) {
	h.replaced = slices.DeleteFunc(h.replaced, func(r replacedConfig) bool { return now.Sub(r.at) >= Memory })
	if h.config != nil && h.config != c {
		h.replaced = append(h.replaced, replacedConfig{h.config, now})
	}
	h.config = c
}

// ServicesFor returns the services that may have begun the stream, for a request with the host and path, within Memory.
func (h *History) ServicesFor(now time.Time, host, path, stream string) []string {
	var services []string
	add := func(c *registrar.Config) {
		if route, ok := c.Match(host, path); ok {
			services = append(services, route.ServiceFor(stream))
		}
	}
	if h.config != nil {
		add(h.config)
	}
	for _, r := range h.replaced {
		if now.Sub(r.at) < Memory {
			add(r.config)
		}
	}
	slices.Sort(services)
	return slices.Compact(services)
}

// Only returns the software version that alone may have begun an output of one of the services that existed at the time, within
// Memory; none if there are several, or if another one may have served of which this VM hasn't heard.
func (h *History) Only(now time.Time, services []string, at time.Time) option.Option[registrar.Software] {
	all, isComplete := h.PossibleOfAny(now, services)
	if !isComplete || len(all) != 1 || h.confirmed.Before(at) {
		return option.None[registrar.Software]()
	}
	return option.Some(all[0])
}

// PossibleOfAny returns the software versions that may have begun an output of one of the services within Memory; false means
// that there may have been others.
func (h *History) PossibleOfAny(now time.Time, services []string) ([]registrar.Software, bool) {
	var all []registrar.Software
	areComplete := true
	for _, service := range services {
		possible, isComplete := h.Possible(now, service)
		all, areComplete = append(all, possible...), areComplete && isComplete
	}
	return all, areComplete
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

// Restore adds a record that another VM stored, and that was read at the time. Versions that it calls current and that no longer
// are count as ended now.
func (h *History) Restore(now time.Time, service string, r Record, readAt time.Time) {
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
	// A record that was read before endpoints came and went unseen may not have them.
	l.isComplete = l.isComplete || !readAt.Before(h.start)
}

// IsKnownSince reports whether no change of the endpoints was missed since the time.
func (h *History) IsKnownSince(at time.Time) bool { return !at.Before(h.start) }

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
