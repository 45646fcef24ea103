package surveyor

import (
	"maps"
	"slices"
	"time"
)

const (
	// WakeInterval is the longest time between two inputs of type Woken.
	WakeInterval = 100 * time.Millisecond
	// maxPause is the time between two inputs after which this process, or its VM, must have stood still.
	maxPause = 4 * WakeInterval
	// silenceTime is how long nothing is heard from any endpoint, while requests are in flight, before one is probed. Requests
	// that wait in an engine's queue are silent as well.
	silenceTime = 250 * time.Millisecond
	// minFailures is the number of endpoints that must have failed, since anything was heard, for a partition; if open connections
	// are alive, it is minRefused.
	minFailures = 3
	minRefused  = 5
	// ProbeTimeout is how long a probe may take; it covers several round trips between regions.
	ProbeTimeout = 150 * time.Millisecond
	// minDoubt is the number of endpoints that have failed at which others are probed; doubtProbes is the number of these.
	minDoubt    = 2
	doubtProbes = 3
	// probeGap is the shortest time between two probes because of silence. It bounds what they cost where requests are few.
	probeGap = time.Second
	// askGap is the time between two questions to other VMs, answerTime how long an answer counts; maxAsked bounds the endpoints
	// that a question names.
	askGap     = 250 * time.Millisecond
	answerTime = 400 * time.Millisecond
	maxAsked   = 3
	// failureTime is how long a failure counts.
	failureTime = 2 * time.Second
	// returnGap is the time between the probes of a partitioned VM, returnProbes their number, minReached the number of endpoints
	// that must be reached for the partition's end.
	returnGap    = 400 * time.Millisecond
	returnProbes = 2
	minReached   = 2
	// reachedTime is how long a connection of a partitioned VM counts.
	reachedTime = time.Second
	// returnTime is how long a VM takes its load back, firstShare the share with which it begins.
	returnTime = 1500 * time.Millisecond
	firstShare = 0.25
)

// Surveyor judges by the connections of one VM. It is not safe for concurrent use.
type Surveyor struct {
	state State
	// since is when the phase began.
	since time.Time
	// failures holds when endpoints failed first since a connection was established.
	failures map[string]time.Time
	// reached holds when a partitioned VM reached endpoints.
	reached map[string]time.Time
	// connectedAt is when a connection was last established; busySince when requests were first in flight after none were.
	connectedAt, busySince time.Time
	heardAt                time.Time
	wokenAt, probedAt      time.Time
	// askedAt is when other VMs were asked last, confirmedAt when one answered last that it reaches what failed here.
	askedAt, confirmedAt time.Time
}

// New returns a surveyor of a VM that is in touch with the endpoints.
func New() *Surveyor {
	return &Surveyor{failures: map[string]time.Time{}, reached: map[string]time.Time{}}
}

// State returns the present state.
func (s *Surveyor) State() State { return s.state }

// LocalShare returns the share of the new requests that the VM sends to endpoints itself.
func (s *Surveyor) LocalShare(now time.Time) float64 {
	switch s.state.Phase {
	case Partitioned:
		return 0
	case Returning:
		return min(1, firstShare+(1-firstShare)*float64(now.Sub(s.since))/float64(returnTime))
	default:
		return 1
	}
}

// Handle processes one input and returns what the carrier is to do.
func (s *Surveyor) Handle(now time.Time, in Input) []Output {
	switch in := in.(type) {
	case Connected:
		clear(s.failures)
		s.connectedAt = now
		if s.state.Phase == Partitioned {
			s.reached[in.Endpoint] = now
		}
	case Failed:
		if _, ok := s.failures[in.Endpoint]; !ok {
			s.failures[in.Endpoint] = now
		}
	case Answered:
		if in.HasReached {
			s.confirmedAt = now
			break
		}
		// The endpoints have failed for others too.
		clear(s.failures)
	case Woken:
		return s.wake(now, in)
	}
	return nil
}

func (s *Surveyor) wake(now time.Time, in Woken) []Output {
	if now.Sub(s.wokenAt) > maxPause {
		// Time-outs that ran off while the process stood still say nothing about the links.
		clear(s.failures)
		s.busySince = now
	}
	if in.InFlight == 0 {
		s.busySince = now
	}
	s.wokenAt, s.heardAt = now, in.HeardAt
	maps.DeleteFunc(s.failures, func(_ string, at time.Time) bool { return now.Sub(at) >= failureTime })
	maps.DeleteFunc(s.reached, func(_ string, at time.Time) bool { return now.Sub(at) >= reachedTime })
	switch s.state.Phase {
	case Partitioned:
		return s.wakePartitioned(now, in)
	case Returning:
		if in.Endpoints >= minReached && len(s.failures) >= minDoubt && now.Sub(s.connectedAt) >= ProbeTimeout {
			return s.change(now, State{Phase: Partitioned, IsSilent: s.isSilent(now)})
		}
		if now.Sub(s.since) >= returnTime {
			return s.change(now, State{})
		}
		return nil
	default:
		return s.wakeInTouch(now, in)
	}
}

func (s *Surveyor) wakeInTouch(now time.Time, in Woken) []Output {
	if in.Endpoints < minReached {
		// A lost link can't be told from the end of the only endpoint.
		return nil
	}
	isSilent := s.isSilent(now)
	needed := minRefused
	if isSilent {
		needed = minFailures
	}
	if len(s.failures) >= min(needed, in.Endpoints) && now.Sub(s.connectedAt) >= ProbeTimeout {
		if now.Sub(s.confirmedAt) < answerTime {
			return s.change(now, State{Phase: Partitioned, IsSilent: isSilent})
		}
		return s.ask(now)
	}
	switch {
	case len(s.failures) >= minDoubt, len(s.failures) > 0 && s.isQuiet(now, in, silenceTime):
		// The failures of these probes, or the next connection, decide. Endpoints that are overloaded reset connections too.
		gap := probeGap / 2
		if isSilent {
			gap = ProbeTimeout + WakeInterval/2
		}
		if now.Sub(s.probedAt) < gap {
			return nil
		}
		return s.probe(now, doubtProbes)
	case s.isQuiet(now, in, silenceTime) && now.Sub(s.probedAt) >= probeGap:
		return s.probe(now, 1)
	}
	return nil
}

func (s *Surveyor) wakePartitioned(now time.Time, in Woken) []Output {
	if len(s.reached) >= min(minReached, max(in.Endpoints, 1)) {
		clear(s.reached)
		return s.change(now, State{Phase: Returning})
	}
	var out []Output
	if !s.state.IsSilent && s.isQuiet(now, in, 2*silenceTime) {
		out = s.change(now, State{Phase: Partitioned, IsSilent: true})
	}
	if now.Sub(s.probedAt) >= returnGap {
		out = append(out, s.probe(now, returnProbes)...)
	}
	return out
}

// hasHeard reports whether bytes have arrived since the first failure that counts.
func (s *Surveyor) hasHeard() bool {
	for _, at := range s.failures {
		if s.heardAt.After(at) {
			return true
		}
	}
	return len(s.failures) == 0
}

// isSilent reports whether nothing was heard for a time, and since the first failure that counts. Endpoints that are overloaded
// reset connections while others answer.
func (s *Surveyor) isSilent(now time.Time) bool {
	return !s.hasHeard() && now.Sub(s.heardAt) >= ProbeTimeout
}

// isQuiet reports whether, with requests in flight, no endpoint has shown life for the time d.
func (s *Surveyor) isQuiet(now time.Time, in Woken, d time.Duration) bool {
	if in.InFlight == 0 {
		return false
	}
	for _, at := range []time.Time{s.heardAt, s.connectedAt, s.busySince} {
		if now.Sub(at) < d {
			return false
		}
	}
	return true
}

func (s *Surveyor) probe(now time.Time, count int) []Output {
	s.probedAt = now
	avoid := make(map[string]bool, len(s.failures))
	for e := range s.failures {
		avoid[e] = true
	}
	return []Output{Probe{Count: count, Avoid: avoid}}
}

func (s *Surveyor) ask(now time.Time) []Output {
	if now.Sub(s.askedAt) < askGap {
		return nil
	}
	s.askedAt = now
	failed := slices.Sorted(maps.Keys(s.failures))
	return []Output{Ask{Endpoints: failed[:min(len(failed), maxAsked)]}}
}

func (s *Surveyor) change(now time.Time, to State) []Output {
	if to.Phase != s.state.Phase {
		s.since = now
		clear(s.failures)
		clear(s.reached)
	}
	s.state = to
	return []Output{Changed{State: to}}
}
