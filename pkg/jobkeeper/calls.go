package jobkeeper

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/jobber"
	"github.com/dogwoodledge/dogwoodledge/pkg/pauser"
	"github.com/dogwoodledge/dogwoodledge/pkg/relayer"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

const (
	// longestWait bounds how long a read waits for a result.
	longestWait = time.Second
	// pageBytes bounds the outputs of one answer; their encoding may be longer.
	pageBytes = 700 << 10
	// endTimeout bounds the tries to write a job's end.
	endTimeout = 4 * time.Second
)

// ServeCall answers a call about a job, and says whether the request is one.
func (k *Keeper) ServeCall(w http.ResponseWriter, r *http.Request) bool {
	call, ok, err := k.codec.Call(r)
	if !ok || len(k.registry().Config.BatchRoutes(r.Host)) == 0 {
		return false
	}
	if err != nil {
		k.log.WithError(err).WithField("path", r.URL.Path).Info("call about a job can't be read")
		relayer.WriteProblem(w, http.StatusBadRequest, err.Error())
		return true
	}
	switch c := call.(type) {
	case ReadCall:
		k.serveRead(w, r, c)
	case BodyCall:
		k.serveBody(w, r, c)
	case EndCall:
		k.serveEnd(w, r, c)
	}
	return true
}

func (k *Keeper) serveRead(w http.ResponseWriter, r *http.Request, c ReadCall) {
	job, ok, err := k.await(r.Context(), c)
	if err != nil || !ok {
		k.failCall(w, c.Job, ok, err)
		return
	}
	var results []Result
	if len(job.Order) > c.After {
		if results, err = k.readResults(r.Context(), c); err != nil {
			k.failCall(w, c.Job, true, err)
			return
		}
	}
	body, err := k.codec.Results(job.Total(), c.After+len(results), results)
	if err != nil {
		k.failCall(w, c.Job, true, err)
		return
	}
	writeBody(w, "application/json", body)
}

// await returns the job once it has a result at the position, or as the store has it when the wait is over.
func (k *Keeper) await(ctx context.Context, c ReadCall) (jobber.Job, bool, error) {
	limit := time.NewTimer(min(c.Wait, longestWait))
	defer limit.Stop()
	for {
		job, ok, news := k.lookUp(c.Job)
		if ok && (len(job.Order) > c.After || job.IsComplete()) {
			return job, true, nil
		}
		if !ok {
			break
		}
		select {
		case <-news:
			continue
		case <-limit.C:
		case <-ctx.Done():
			return job, ok, ctx.Err()
		}
		break
	}
	return k.refreshTwice(ctx, c.Job)
}

func (k *Keeper) refreshTwice(ctx context.Context, id string) (job jobber.Job, ok bool, err error) {
	job, err = twice(func() (jobber.Job, error) {
		var j jobber.Job
		var err error
		j, ok, err = k.refresh(ctx, id)
		return j, err
	})
	return job, ok, err
}

// twice reads once more when the first read fails: a connection may have been reset.
func twice[T any](read func() (T, error)) (T, error) {
	v, err := read()
	if err != nil {
		v, err = read()
	}
	return v, err
}

func (k *Keeper) readResults(ctx context.Context, c ReadCall) ([]Result, error) {
	r := rangeOf(resultTable, c.Job)
	r.From, r.Limit = resultKey(c.Job, c.After, 0), scanLimit
	page, err := twice(func() (storer.Page, error) { return k.store.Scan(ctx, r) })
	if err != nil {
		return nil, err
	}
	results, err := decodeResults(c.Job, c.After, page.Entries)
	if err != nil {
		return nil, err
	}
	if len(results) == 0 {
		return nil, errors.Errorf("no row of job %s at position %d", c.Job, c.After)
	}
	size := 0
	for i, r := range results {
		size += len(r.Output)
		if i > 0 && size > pageBytes {
			return results[:i], nil
		}
	}
	return results, nil
}

const scanLimit = 500

func (k *Keeper) serveBody(w http.ResponseWriter, r *http.Request, c BodyCall) {
	_, ok, _ := k.lookUp(c.Job)
	if !ok {
		var err error
		if _, ok, err = k.refreshTwice(r.Context(), c.Job); err != nil || !ok {
			k.failCall(w, c.Job, ok, err)
			return
		}
	}
	items, err := twice(func() ([]Item, error) { return k.Items(r.Context(), c.Job, false) })
	if err != nil {
		k.failCall(w, c.Job, true, err)
		return
	}
	for _, i := range items {
		if i.ID == c.Item {
			writeBody(w, "application/octet-stream", i.Body)
			return
		}
	}
	k.log.WithFields(logrus.Fields{"job": c.Job, "item": c.Item}).Info("no such item")
	relayer.WriteProblem(w, http.StatusNotFound, "job "+c.Job+" has no item "+strconv.Quote(c.Item))
}

func (k *Keeper) serveEnd(w http.ResponseWriter, r *http.Request, c EndCall) {
	ctx, cancel := context.WithTimeout(r.Context(), endTimeout)
	defer cancel()
	if _, ok, _ := k.lookUp(c.Job); !ok {
		if _, ok, err := k.refreshTwice(ctx, c.Job); err != nil || !ok {
			k.failCall(w, c.Job, ok, err)
			return
		}
	}
	for {
		err := k.change(ctx, c.Job, func(j jobber.Job) (storer.Change, jobber.Job, bool) {
			return storer.Change{}, j.End(), !j.IsEnded
		})
		if err == nil {
			break
		}
		if !pauser.Pause(ctx, retryPause) {
			k.failCall(w, c.Job, true, err)
			return
		}
	}
	k.log.WithField("job", c.Job).Info("job ended by its caller")
	writeBody(w, "application/json", []byte("{}"))
}

// failCall answers a call that can't be answered: 404 only when the store has no such job.
func (k *Keeper) failCall(w http.ResponseWriter, job string, isThere bool, err error) {
	log := k.log.WithFields(logrus.Fields{"job": job, "age": k.feed.Age(time.Now()).Milliseconds()})
	if err == nil && !isThere {
		log.Info("no such job")
		relayer.WriteProblem(w, http.StatusNotFound, "no job has this id")
		return
	}
	log.WithError(err).Warn("call not answered")
	relayer.WriteRetry(w, http.StatusServiceUnavailable, retryPause, "the store can't be reached")
}

func writeBody(w http.ResponseWriter, kind string, body []byte) {
	w.Header().Set("Content-Type", kind)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}
