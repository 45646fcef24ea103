package jobmanager

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/bodyreader"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/jobrecorder"
	"github.com/dogwoodledge/dogwoodledge/pkg/relayer"
	"github.com/dogwoodledge/dogwoodledge/pkg/sleeper"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

const (
	// maxReadWait bounds how long a read waits for a result.
	maxReadWait = time.Second
	// maxOutputBytes bounds the outputs in one answer before encoding; a first result that is larger is sent alone.
	maxOutputBytes = 700 << 10
	// resultBytes is what a page of results needs at most while it is read and encoded: the store's reply, the outputs and the text
	// of the answer, each up to 1 MB.
	resultBytes = 3 << 20
	// endTimeout is how long writing a job's end is retried.
	endTimeout = 4 * time.Second
)

// serveCall answers a call about a job; err says why it could not be decoded.
func (m *Manager) serveCall(w http.ResponseWriter, r *http.Request, call Call, err error) {
	if err != nil {
		m.log.WithError(err).WithField("path", r.URL.Path).Info("could not decode a call about a batch job; answering 400")
		relayer.WriteError(w, http.StatusBadRequest, err.Error())
		return
	}
	if isKnown, err := m.isKnownTo(r.Context(), call.jobID()); err != nil || !isKnown {
		m.failCall(w, call.jobID(), isKnown, err)
		return
	}
	switch c := call.(type) {
	case ReadCall:
		m.serveRead(w, r, c)
	case BodyCall:
		m.serveBody(w, r, c)
	case EndCall:
		m.serveEnd(w, r, c)
	}
}

func (m *Manager) serveRead(w http.ResponseWriter, r *http.Request, c ReadCall) {
	job, ok, err := m.awaitResult(r.Context(), c)
	if err != nil || !ok {
		m.failCall(w, c.Job, ok, err)
		return
	}
	var results []Result
	lease := (*bodyreader.Lease)(nil)
	if len(job.Finished) > c.After {
		if lease, err = m.cfg.Bodies.Reserve(resultBytes); err != nil {
			m.refuseRead(w, c.Job, err)
			return
		}
		defer lease.Close()
		if results, err = m.readResults(r.Context(), c); err != nil {
			m.failCall(w, c.Job, true, err)
			return
		}
	}
	body, err := m.codec.Results(job.Total(), c.After+len(results), results)
	if err != nil {
		m.failCall(w, c.Job, true, err)
		return
	}
	// The results themselves are garbage from here on; their text stays until the caller has taken it.
	lease.Shrink(resultBytes - int64(len(body)))
	writeBody(w, "application/json", body)
}

// refuseRead refuses a read for which there is no room.
func (m *Manager) refuseRead(w http.ResponseWriter, job string, err error) {
	if unlogged, mayLog := m.refusalLog.Allow(time.Now(), "read"); mayLog {
		m.log.WithError(err).WithFields(logrus.Fields{"job": job, "unlogged": unlogged}).Info("read of results refused")
	}
	relayer.WriteBodyError(w, err)
}

// awaitResult returns the job once it has a result at the position or is complete. When the wait is over, or for an unknown
// job, it returns the job as read from the store.
func (m *Manager) awaitResult(ctx context.Context, c ReadCall) (jobrecorder.Job, bool, error) {
	timeout := time.NewTimer(min(c.Wait, maxReadWait))
	defer timeout.Stop()
	for {
		job, ok, changed := m.lookUp(c.Job)
		if ok && (len(job.Finished) > c.After || job.IsComplete()) {
			return job, true, nil
		}
		if !ok {
			break
		}
		select {
		case <-changed:
			continue
		case <-timeout.C:
		case <-ctx.Done():
			return job, ok, ctx.Err()
		}
		break
	}
	return m.refreshWithRetry(ctx, c.Job)
}

func (m *Manager) refreshWithRetry(ctx context.Context, id string) (job jobrecorder.Job, ok bool, err error) {
	job, err = readWithRetry(func() (jobrecorder.Job, error) {
		var j jobrecorder.Job
		var err error
		j, ok, err = m.refresh(ctx, id)
		return j, err
	})
	return job, ok, err
}

// readWithRetry retries a failed read once, since a connection may have been reset.
func readWithRetry[T any](read func() (T, error)) (T, error) {
	v, err := read()
	if err != nil {
		v, err = read()
	}
	return v, err
}

// readResults reads results from the position on, as many as fit into one answer.
func (m *Manager) readResults(ctx context.Context, c ReadCall) ([]Result, error) {
	r := rangeOf(resultTable, c.Job)
	r.From, r.Limit = resultKey(c.Job, c.After, 0), maxScanRows
	page, err := readWithRetry(func() (storer.Page, error) { return m.store.Scan(ctx, r) })
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
		size += len(r.Output) + r.objectBytes
		if i > 0 && size > maxOutputBytes {
			results = results[:i]
			break
		}
	}
	return results, m.readObjects(ctx, results)
}

// readObjects reads the outputs that are in objects.
func (m *Manager) readObjects(ctx context.Context, results []Result) error {
	for i, r := range results {
		if r.object == "" {
			continue
		}
		output, err := readWithRetry(func() ([]byte, error) { return m.store.GetBlob(ctx, r.object) })
		if err != nil {
			return err
		}
		results[i].Output = output
	}
	return nil
}

// maxScanRows bounds the rows that are read for one answer.
const maxScanRows = 500

func (m *Manager) serveBody(w http.ResponseWriter, r *http.Request, c BodyCall) {
	_, ok, _ := m.lookUp(c.Job)
	if !ok {
		var err error
		if _, ok, err = m.refreshWithRetry(r.Context(), c.Job); err != nil || !ok {
			m.failCall(w, c.Job, ok, err)
			return
		}
	}
	lease, err := m.cfg.Bodies.Reserve(resultBytes)
	if err != nil {
		m.refuseRead(w, c.Job, err)
		return
	}
	defer lease.Close()
	items, err := readWithRetry(func() ([]Item, error) { return m.Items(r.Context(), c.Job, false) })
	if err != nil {
		m.failCall(w, c.Job, true, err)
		return
	}
	for _, i := range items {
		if i.ID == c.Item {
			writeBody(w, "application/octet-stream", i.Body)
			return
		}
	}
	m.log.WithFields(logrus.Fields{"job": c.Job, "item": c.Item}).Info("no such item")
	relayer.WriteError(w, http.StatusNotFound, "job "+c.Job+" has no item "+strconv.Quote(c.Item))
}

func (m *Manager) serveEnd(w http.ResponseWriter, r *http.Request, c EndCall) {
	ctx, cancel := context.WithTimeout(r.Context(), endTimeout)
	defer cancel()
	if _, ok, _ := m.lookUp(c.Job); !ok {
		if _, ok, err := m.refreshWithRetry(ctx, c.Job); err != nil || !ok {
			m.failCall(w, c.Job, ok, err)
			return
		}
	}
	isIndeterminate := false
	for {
		err := m.writeTransition(ctx, c.Job, func(j jobrecorder.Job) (storer.Change, jobrecorder.Job, bool) {
			return storer.Change{}, j.End(), !j.IsEnded
		})
		if err == nil {
			break
		}
		unavailable := (*storer.UnavailableError)(nil)
		isIndeterminate = isIndeterminate || errors.As(err, &unavailable) && unavailable.MayHaveRun
		if sleeper.Sleep(ctx, retryPause) {
			continue
		}
		if isIndeterminate {
			m.log.WithError(err).WithField("job", c.Job).Warn("no answer to the write of a job's end; answering 504")
			relayer.WriteError(w, http.StatusGatewayTimeout, "nobody knows yet whether the job was ended: send it again")
			return
		}
		m.failCall(w, c.Job, true, err)
		return
	}
	m.log.WithField("job", c.Job).Info("job ended by its caller")
	writeBody(w, "application/json", []byte("{}"))
}

// failCall answers a call that failed: 404 if the store has no such job, 503 with a Retry-After for any error.
func (m *Manager) failCall(w http.ResponseWriter, job string, isKnown bool, err error) {
	log := m.log.WithFields(logrus.Fields{"job": job, "age": m.feed.Age(time.Now()).Milliseconds()})
	if err == nil && !isKnown {
		log.Info("no such job")
		relayer.WriteError(w, http.StatusNotFound, "no job has this id")
		return
	}
	log.WithError(err).Warn("could not serve a call about a batch job; answering 503")
	relayer.WriteRefusal(w, http.StatusServiceUnavailable, retryPause, "the store can't be reached")
}

func writeBody(w http.ResponseWriter, kind string, body []byte) {
	w.Header().Set("Content-Type", kind)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}
