package quarantiner

import "time"

const (
	// A batch item is sent in spite of a quarantine, as a trial, trialPause after the last strike or trial of its parts, and
	// slowTrialPause after it once endpoints ended under failedTrialsBeforeSlow trials in a row. An online request that is refused
	// may come again; an item can't, and many sound ones may wait for one trial.
	trialPause             = firstProbe
	slowTrialPause         = 18 * time.Second
	failedTrialsBeforeSlow = 2
	// An item under which endpoints ended again and again holds up nothing but itself: it waits for slowOwnPause instead. A trial of
	// its own part that fails lateTrialTime after the strikes sufficed counts twice.
	slowOwnPause  = 19 * time.Second
	lateTrialTime = 4 * time.Second
	// VMs begin trials of a part that items share one after the other, in the part's order of live VMs, within trialSpread, or
	// slowTrialSpread after slowTrialPause. A row of the store reaches most of them before their turn.
	trialSpread     = 500 * time.Millisecond
	slowTrialSpread = time.Second
	// besideTime is within which ends of endpoints may have a cause in common.
	besideTime = 2 * time.Second
	// A trial of a shared part that said nothing puts off the next one by minAbortPause; each further one in a row doubles that, up
	// to trialPause.
	minAbortPause = 250 * time.Millisecond
	maxAborted    = 4
)

// Hold says why a batch item waits, and until when. It has no Part if the item may be sent as any other.
type Hold struct {
	// Parts are the quarantined parts of which the item's run is a trial: its own, or else all that it shares.
	Parts []string
	// Part is the one whose trial is due last, and Due when it is.
	Part string
	Due  time.Time
	// Ends is the number of endpoints that ended under trials of the item itself.
	Ends int
}

// IsHeld reports whether the item waits at the time.
func (h Hold) IsHeld(now time.Time) bool { return h.Part != "" && now.Before(h.Due) }

// Rank returns a VM's place in the order of the live VMs for a part, from 0, and their number.
type Rank func(part string) (rank, vms int)

// HoldOf returns until when a batch item with the parts waits at the VM.
//
// Load pattern: endpoints end in turn, or under other requests, and items run there by chance, some of them several times. An
// item is owed whatever ended beside it, and most often it is sound: a verdict may space its runs, but not end them. An item
// under which endpoints ended again and again is tried by itself: it would be a bad witness for the parts that it shares.
func (q *Quarantiner) HoldOf(now time.Time, parts []string, rank Rank) Hold {
	h := Hold{}
	for _, p := range parts {
		r, ok := q.records[p]
		if ok && r.isRequest {
			h.Ends = r.trialEnds()
		}
		if !ok || !r.isQuarantined || now.Sub(r.lastAt) > Duration {
			continue
		}
		due := r.nextTrial(rank)
		if r.isRequest {
			return Hold{Parts: []string{p}, Part: p, Due: due, Ends: h.Ends}
		}
		h.Parts = append(h.Parts, p)
		if due.After(h.Due) {
			h.Part, h.Due = p, due
		}
	}
	return h
}

// trialEnds returns the number of endpoints that ended under trials or probes.
func (r *record) trialEnds() int {
	n := 0
	for _, s := range r.strikes {
		if !s.delaysNext.IsZero() {
			n++
		}
	}
	return n
}

// BeginTrial records that an item with the quarantined parts is sent as a trial, and returns the parts of which it puts off the
// trials of other VMs: not those of which the last trial here said nothing, or a VM whose engines are busy would hold up all.
func (q *Quarantiner) BeginTrial(now time.Time, parts []string) []string {
	var announced []string
	for _, p := range parts {
		if r, ok := q.records[p]; ok {
			r.formerAt, r.probedAt, r.probeAt = r.probedAt, now, now
			if r.aborted == 0 {
				announced = append(announced, p)
			}
		}
	}
	return announced
}

// AbortTrial records that the trial which this VM began at the time said nothing of the parts: no endpoint ran the item, or its
// run was ended for an online request. The next trial needn't wait as long as after one that said something.
func (q *Quarantiner) AbortTrial(now time.Time, parts []string, began time.Time) {
	for _, p := range parts {
		if r, ok := q.records[p]; ok && r.probeAt.Equal(began) {
			r.probedAt, r.abortedAt, r.retryAt = r.formerAt, began, now.Add(r.abortPause())
			r.aborted++
		}
	}
}

// abortPause returns how long a trial that said nothing puts off the next one. That of an item's own part puts it off for longer:
// each further run may end an endpoint, and holds up this item only.
func (r *record) abortPause() time.Duration {
	if r.isRequest {
		return trialPause
	}
	return min(minAbortPause<<min(r.aborted, maxAborted), trialPause)
}

// isSlow reports whether so many trials of the part failed that the next ones are farther apart.
func (r *record) isSlow() bool { return r.failedTrials >= failedTrialsBeforeSlow }

// nextTrial returns when an item with the part may be sent as a trial by the VM.
func (r *record) nextTrial(rank Rank) time.Time {
	pause := r.trialPause(rank)
	due := latest(r.lastAt, r.probedAt).Add(pause)
	if r.abortedAt.Equal(r.probeAt) {
		return latest(due, r.retryAt)
	}
	return due
}

// trialPause returns how long after the last strike or trial the next one is due at the VM.
func (r *record) trialPause(rank Rank) time.Duration {
	switch {
	case r.isRequest && r.isSlow():
		return slowOwnPause
	case r.isRequest:
		return trialPause
	case r.isSlow():
		return slowTrialPause + turnOf(rank, r.part, slowTrialSpread)
	default:
		return trialPause + turnOf(rank, r.part, trialSpread)
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// turnOf returns the time of a VM's turn within the spread.
func turnOf(rank Rank, part string, spread time.Duration) time.Duration {
	place, vms := rank(part)
	if vms == 0 {
		return spread
	}
	return spread * time.Duration(place) / time.Duration(vms)
}

// ends holds when endpoints ended, except those whose end a quarantined request or the trial of a quarantined part explains.
type ends map[string]time.Time

// endsOf returns the ends that no quarantined part explains.
func (q *Quarantiner) endsOf(explained map[string]int) ends {
	all, underTrials := ends{}, map[string]bool{}
	for _, r := range q.records {
		for endpoint, s := range r.strikes {
			if explained[endpoint] == 0 {
				all[endpoint] = s.at()
			}
			if r.isQuarantined && !r.isRequest && !s.delaysNext.IsZero() {
				underTrials[endpoint] = true
			}
		}
	}
	for endpoint := range underTrials {
		delete(all, endpoint)
	}
	return all
}

// hasBeside reports whether an endpoint without a strike in the record ended at about the time.
func (e ends) hasBeside(r *record, at time.Time) bool {
	for endpoint, endedAt := range e {
		if _, ok := r.strikes[endpoint]; !ok && endedAt.Sub(at).Abs() < besideTime {
			return true
		}
	}
	return false
}

// countTrials counts the failed trials of the candidates.
func (q *Quarantiner) countTrials(candidates []*record) {
	explained := map[string]int{}
	for _, r := range candidates {
		if r.isRequest && r.isQuarantined {
			r.explain(explained)
		}
	}
	all := q.endsOf(explained)
	for _, r := range candidates {
		if r.isRequest {
			r.failedTrials = r.countOwnTrials()
		} else {
			r.failedTrials = r.countSharedTrials(explained, all)
		}
	}
}

// countOwnTrials counts the failed trials of an item's own part; one that fails lateTrialTime after the strikes sufficed counts
// twice.
func (r *record) countOwnTrials() int {
	n := 0
	for _, m := range r.failedTrialsOf(nil) {
		n++
		if m.sinceQuarantine > lateTrialTime {
			n++
		}
	}
	return n
}

// countSharedTrials counts the failed rounds of trials of a part that items share, but for the ends that a quarantined request
// explains, and for those beside which other endpoints ended: what ends these, without the part, may have ended the trial.
func (r *record) countSharedTrials(explained map[string]int, all ends) int {
	n := 0
	for _, m := range r.failedTrialsOf(explained) {
		if !all.hasBeside(r, m.begin) {
			n++
		}
	}
	return n
}

// failedTrial is a moment in which endpoints ended under trials.
type failedTrial struct {
	begin           time.Time
	sinceQuarantine time.Duration
}

// failedTrialsOf returns the ends of endpoints that trials or probes may have caused since the strikes sufficed; those within
// half a trialPause are of one round of the VMs.
func (r *record) failedTrialsOf(explained map[string]int) []failedTrial {
	var list []seen
	for e, s := range r.strikes {
		if explained[e] > 0 {
			s.delaysNext = time.Time{}
		}
		list = append(list, s)
	}
	var failed []failedTrial
	total := 0
	var sufficedAt, failedAt time.Time
	for _, m := range momentsOf(list) {
		since := m.begin.Sub(sufficedAt)
		if !sufficedAt.IsZero() && since >= trialPause && m.next > 0 && m.begin.Sub(failedAt) >= trialPause/2 {
			failedAt = m.begin
			failed = append(failed, failedTrial{m.begin, since})
		}
		if total += m.weight(); total >= threshold && sufficedAt.IsZero() {
			sufficedAt = m.begin
		}
	}
	return failed
}
