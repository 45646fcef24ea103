package quarantiner

import "time"

// Progress is how far a request has come at an endpoint. One that goes on past the events at which others ended with their
// endpoints speaks for its parts before it is complete. It is not safe for concurrent use.
type Progress struct {
	// first and last are when the first and last events came.
	first, last time.Time
	// reportedAt is when Event last returned a number, and events that of the request's events then.
	reportedAt time.Time
	events     int
}

// Event records an event after which the request has this number of events, those of earlier attempts too. After each SoundTime
// it returns the number of events that the request had at the start of that time; else 0.
func (p *Progress) Event(now time.Time, events int) (outlived int) {
	p.last = now
	switch {
	case p.first.IsZero():
		p.first = now
	case now.Sub(p.reportedAt) < SoundTime:
		return 0
	default:
		outlived = p.events
	}
	p.reportedAt, p.events = now, events
	return outlived
}

// IsSound reports whether events came for SoundTime.
func (p *Progress) IsSound() bool { return p.last.Sub(p.first) >= SoundTime }
