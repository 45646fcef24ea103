package batcher

import (
	"cmp"
	"slices"
	"time"
)

const (
	// urgentSlackShare is the part of a job's remaining work that its slack must exceed.
	urgentSlackShare = 0.25
	rateSmoothing    = 0.3
)

// Job is what the order of jobs depends on.
type Job struct {
	ID        string
	Model     string
	Due       time.Time
	Remaining int
}

// RateEstimator learns how many items a second the fleet completes for each job.
type RateEstimator struct {
	rates map[string]*jobRate
}

type jobRate struct {
	perSecond float64
	done      int
	at        time.Time
}

// NewRateEstimator returns an estimator that has seen nothing.
func NewRateEstimator() *RateEstimator {
	return &RateEstimator{rates: map[string]*jobRate{}}
}

// Observe takes in how many items of the job are complete at the time now.
func (e *RateEstimator) Observe(now time.Time, job string, done int) {
	r, ok := e.rates[job]
	if !ok || done < r.done {
		e.rates[job] = &jobRate{done: done, at: now}
		return
	}
	took := now.Sub(r.at).Seconds()
	if took <= 0 {
		return
	}
	seen := float64(done-r.done) / took
	if r.perSecond == 0 {
		r.perSecond = seen
	}
	r.perSecond += rateSmoothing * (seen - r.perSecond)
	r.done, r.at = done, now
}

// Needs returns how long the items take at the learned rate, zero while the rate is unknown.
func (e *RateEstimator) Needs(job string, items int) time.Duration {
	r, ok := e.rates[job]
	if !ok || r.perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(items) / r.perSecond * float64(time.Second))
}

// Ranked is a job with its slack; an urgent one falls behind.
type Ranked struct {
	Job
	Slack    time.Duration
	IsUrgent bool
}

// Forget drops a job that is at its end.
func (e *RateEstimator) Forget(job string) {
	delete(e.rates, job)
}

// Rank orders jobs by least slack to the due time: the time left less the time that the work needs.
func Rank(now time.Time, jobs []Job, rates *RateEstimator) []Ranked {
	ranked := make([]Ranked, 0, len(jobs))
	for _, j := range jobs {
		needs := rates.Needs(j.ID, j.Remaining)
		slack := j.Due.Sub(now) - needs
		ranked = append(ranked, Ranked{Job: j, Slack: slack, IsUrgent: float64(slack) < urgentSlackShare*float64(needs)})
	}
	slices.SortStableFunc(ranked, func(a, b Ranked) int {
		if c := cmp.Compare(a.Slack, b.Slack); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	return ranked
}
