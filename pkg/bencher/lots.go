package bencher

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/batcher"
)

const (
	lotsSeed        = 14
	lotsUtilisation = 0.9
	// lotsDuration is the time over which the jobs are spread.
	lotsDuration = 40 * time.Minute
	lotsJobs     = 24
	// poisonEvery: one item in this many always fails.
	poisonEvery  = 50
	itemAttempts = 3
	// lotsQueueLimit bounds the items that wait or run at the endpoint.
	lotsQueueLimit = 2 * engineSlots
)

// batchJob is one batch job of the run.
type batchJob struct {
	id string
	// arriveAt, due and doneAt are times since the start of the run; doneAt is zero until all items are completed.
	arriveAt time.Duration
	due      time.Duration
	items    []*request
	// next is the index of the first item not yet handed to the admission.
	next      int
	completed int
	doneAt    time.Duration
}

// lotsBench runs batch jobs with due times through one endpoint, in the order of least slack or, for the baseline, of
// arrival.
type lotsBench struct {
	*bench
	jobs []*batchJob
	// isBySlack selects the order of least slack.
	isBySlack bool
	rates     *batcher.RateEstimator
	// waiting counts the items handed to the admission that have not ended.
	waiting   int
	completed int
}

// makeBatchJobs draws random jobs that together need lotsUtilisation of the endpoint's capacity. The due times can all be
// met: each job fits between its arrival and its due time, and so does all work that is due by any given time.
func makeBatchJobs(perSecond float64) []*batchJob {
	random := rand.New(rand.NewPCG(lotsSeed, lotsSeed))
	total := perSecond * lotsDuration.Seconds() * lotsUtilisation
	jobs := []*batchJob{}
	weights, sum := make([]float64, lotsJobs), 0.0
	for i := range weights {
		weights[i] = 0.2 + random.Float64()*random.Float64()*4
		sum += weights[i]
	}
	at := 0.0
	for i, w := range weights {
		n := int(total * w / sum)
		job := &batchJob{id: fmt.Sprintf("job-%d", i)}
		// Running the jobs in this order meets all due times: each arrives before its turn and is due at the turn's end.
		job.arriveAt = time.Duration(at*random.Float64()*0.9) * time.Second
		at += float64(n) / perSecond / lotsUtilisation
		job.due = time.Duration(at * float64(time.Second))
		for j := range n {
			r := newRequest(fmt.Sprintf("%s-%d", job.id, j), "batch", 100, 40, nil)
			r.isBatch, r.isPoison, r.job = true, j%poisonEvery == poisonEvery-1, i
			job.items = append(job.items, r)
		}
		jobs = append(jobs, job)
	}
	return jobs
}

// lotsRate returns the items a second that the endpoint completes when it runs batch only.
func lotsRate() float64 {
	b := newBench(ownPolicy, throughputFirst(), lotsSeed)
	done := 0
	b.onBatchEnd = func(*request) { done++ }
	for i := range 3000 {
		r := newRequest(fmt.Sprintf("item-%d", i), "batch", 100, 40, nil)
		r.isBatch, r.due = true, epoch.Add(time.Hour)
		b.arrive(r)
	}
	b.run(time.Minute)
	return float64(done) / time.Minute.Seconds()
}

func newLotsBench(isBySlack bool, perSecond float64) *lotsBench {
	b := &lotsBench{
		bench: newBench(ownPolicy, throughputFirst(), lotsSeed), jobs: makeBatchJobs(perSecond), isBySlack: isBySlack,
		rates: batcher.NewRateEstimator(),
	}
	b.onBatchEnd = b.itemEnded
	for _, job := range b.jobs {
		b.clock.at(epoch.Add(job.arriveAt), b.feed)
	}
	return b
}

// order returns the jobs that have arrived and have items left to start, in the order in which they are served.
func (b *lotsBench) order() []*batchJob {
	now := b.clock.now.Sub(epoch)
	open := slices.DeleteFunc(slices.Clone(b.jobs), func(j *batchJob) bool { return j.arriveAt > now || j.next == len(j.items) })
	if !b.isBySlack {
		slices.SortStableFunc(open, func(a, b *batchJob) int { return cmp.Compare(a.arriveAt, b.arriveAt) })
		return open
	}
	jobs, byID := []batcher.Job{}, map[string]*batchJob{}
	for _, job := range open {
		byID[job.id] = job
		b.rates.Observe(b.clock.now, job.id, job.completed)
		jobs = append(jobs, batcher.Job{ID: job.id, Due: epoch.Add(job.due), Remaining: len(job.items) - job.completed})
	}
	ordered := []*batchJob{}
	for _, ranked := range batcher.Rank(b.clock.now, jobs, b.rates) {
		ordered = append(ordered, byID[ranked.ID])
	}
	return ordered
}

// feed hands items to the admission until lotsQueueLimit of them wait or run.
func (b *lotsBench) feed() {
	for _, job := range b.order() {
		for job.next < len(job.items) && b.waiting < lotsQueueLimit {
			r := job.items[job.next]
			r.due = epoch.Add(job.due)
			job.next++
			b.waiting++
			b.arrive(r)
		}
	}
}

// itemEnded counts the item as completed; an item that always fails is tried again until its attempts are used up.
func (b *lotsBench) itemEnded(r *request) {
	b.waiting--
	r.attempts++
	if r.isPoison && r.attempts < itemAttempts {
		again := newRequest(fmt.Sprintf("%s+", r.id), r.account, 100, 4, nil)
		again.isBatch, again.isPoison, again.job, again.attempts, again.due = true, true, r.job, r.attempts, r.due
		b.waiting++
		b.arrive(again)
		return
	}
	job := b.jobs[r.job]
	job.completed++
	b.completed++
	if job.completed == len(job.items) {
		job.doneAt = b.clock.now.Sub(epoch)
	}
	b.feed()
}

// late returns the number of jobs not completed by their due time.
func (b *lotsBench) late() int {
	late := 0
	for _, job := range b.jobs {
		if job.doneAt == 0 || job.doneAt > job.due {
			late++
		}
	}
	return late
}

// runLots is scenario lots: batch jobs with due times, some items of which always fail.
func runLots(r *report) {
	perSecond := lotsRate()
	own := newLotsBench(true, perSecond)
	own.run(lotsDuration * 2)
	fifo := newLotsBench(false, perSecond)
	fifo.run(lotsDuration * 2)
	items := 0
	for _, job := range own.jobs {
		items += len(job.items)
	}
	r.info("lots", "jobs", lotsJobs)
	r.info("lots", "items", float64(items))
	r.atMost("lots/own", "itemsNotReturned", float64(items-own.completed), 0)
	r.atMost("lots/own", "jobsLate", float64(own.late()), 0)
	r.info("lots/fifo", "jobsLate", float64(fifo.late()))
}
