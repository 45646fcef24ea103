package batcher

import (
	"cmp"
	"slices"
	"time"
)

const (
	// urgentSlackShare bounds the slack of an urgent job, as a share of the time that its remaining work needs.
	urgentSlackShare = 0.25
	// rateSmoothing is the weight of the newest rate in the exponential moving average.
	rateSmoothing = 0.3
)

// Job holds the properties of a batch job that its rank depends on; Remaining is its number of unfinished items.
type Job struct {
	ID        string
	Model     string
	Due       time.Time
	Remaining int
}

// RateEstimator estimates how many items per second the fleet completes for each job.
type RateEstimator struct {
	rates map[string]*jobRate
}

// jobRate is a job's estimated rate, zero while unknown, and its last observation: done items were complete at the time at.
type jobRate struct {
	perSecond float64
	done      int
	at        time.Time
}

// NewRateEstimator returns an estimator without observations.
func NewRateEstimator() *RateEstimator {
	return &RateEstimator{rates: map[string]*jobRate{}}
}

// Observe updates the job's rate; done is the number of its completed items at the time now.
func (e *RateEstimator) Observe(now time.Time, job string, done int) {
	r, ok := e.rates[job]
	if !ok || done < r.done {
		e.rates[job] = &jobRate{done: done, at: now}
		return
	}
	elapsed := now.Sub(r.at).Seconds()
	if elapsed <= 0 {
		return
	}
	latest := float64(done-r.done) / elapsed
	if r.perSecond == 0 {
		r.perSecond = latest
	}
	r.perSecond += rateSmoothing * (latest - r.perSecond)
	r.done, r.at = done, now
}

// TimeFor returns how long the items take at the job's estimated rate; zero while the rate is unknown.
func (e *RateEstimator) TimeFor(job string, items int) time.Duration {
	r, ok := e.rates[job]
	if !ok || r.perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(items) / r.perSecond * float64(time.Second))
}

// Ranked is a job with its slack. An urgent job is at risk of missing its due time: its slack is small or negative.
type Ranked struct {
	Job
	Slack    time.Duration
	IsUrgent bool
}

// Forget removes a job that has ended.
func (e *RateEstimator) Forget(job string) {
	delete(e.rates, job)
}

// Rank sorts jobs by slack, the smallest first. Slack is the time until the job is due minus the time that its remaining
// work needs.
func Rank(now time.Time, jobs []Job, rates *RateEstimator) []Ranked {
	ranked := make([]Ranked, 0, len(jobs))
	for _, j := range jobs {
		needs := rates.TimeFor(j.ID, j.Remaining)
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
