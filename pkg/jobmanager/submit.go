package jobmanager

import (
	"bytes"
	"context"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/admitter"
	"github.com/dogwoodledge/dogwoodledge/pkg/bodyreader"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/jobrecorder"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/gossiper"
	"github.com/dogwoodledge/dogwoodledge/pkg/relayer"
	"github.com/dogwoodledge/dogwoodledge/pkg/sleeper"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
	"github.com/dogwoodledge/dogwoodledge/pkg/watcher"
)

const (
	// submitTimeout leaves the caller time to retry on another VM.
	submitTimeout = 1200 * time.Millisecond
	// conflictPause is the pause before an acceptance that lost against another VM's is retried.
	conflictPause = 3 * time.Millisecond
	// decodedFactor times its length is what a job's body needs besides: its decoded items, and the rows or the object in which
	// they are sent to the store.
	decodedFactor = 3
	// refusalLines bounds the log lines a second about bodies that are refused, by status.
	refusalLines = 20
	// outageRetryAfter is the Retry-After during an outage of the store. It is under a third of the time that callers of jobs
	// have, so that they retry within that time.
	outageRetryAfter = 1250 * time.Millisecond
	// quotaRetryAfter is the Retry-After when the route's quota is used up: the time of an item's run, after which waiting
	// items may have finished.
	quotaRetryAfter = time.Second
)

// Submit accepts a batch job on the route and answers 202, also when the job was accepted before. It answers 409 if the id is
// that of another account's job, 429 if the quota of the route, or of the account on it, is used up, 503 if the store can't be
// reached, 504 if the outcome of the write is unknown, and 400 or the status of bodyreader.Status if the job is invalid.
func (m *Manager) Submit(w http.ResponseWriter, r *http.Request, route registrar.Route) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(r.Context(), submitTimeout)
	defer cancel()
	cfg := m.registry().Config
	id := m.codec.JobID(r)
	body, lease, err := m.cfg.Bodies.Read(w, r, cfg.Limits.BodyBytes)
	if err == nil {
		defer lease.Close()
		err = lease.Grow(decodedFactor * int64(len(body)))
	}
	if err != nil {
		m.refuseBody(w, id, err)
		return
	}
	items, err := m.codec.Items(body)
	if err == nil {
		err = checkJob(id, items)
	}
	if err != nil {
		m.refuseJob(w, id, http.StatusBadRequest, err)
		return
	}
	job := newJob(id, items, route, cfg.Version, start)
	if adm := admitter.FromContext(ctx); adm != nil && adm.IsGuarded() {
		if body, err = m.codec.WithoutCredentials(body, items); err != nil {
			m.refuseJob(w, id, http.StatusBadRequest, err)
			return
		}
		account, _ := adm.Account()
		job.Account = account.Name
	}
	status, err := m.accept(ctx, job, items, body, route)
	m.answerSubmit(w, job, status, err, start)
}

// refuseBody answers a job whose body could not be read for err; nothing of it was stored.
func (m *Manager) refuseBody(w http.ResponseWriter, id string, err error) {
	// Only the end of this VM's stop sets a deadline for a body.
	if errors.Is(err, os.ErrDeadlineExceeded) {
		m.log.WithField("job", id).Info("job refused: its body was incomplete at the end of this VM's stop")
		// Else the server would wait for the rest of the body before it answers.
		w.Header().Set("Connection", "close")
		relayer.WriteRefusal(w, http.StatusServiceUnavailable, 0, relayer.ErrStopping.Error())
		return
	}
	status, _ := bodyreader.Status(err)
	if unlogged, mayLog := m.refusalLog.Allow(time.Now(), strconv.Itoa(status)); mayLog {
		m.log.WithError(err).WithFields(logrus.Fields{"job": id, "status": status, "unlogged": unlogged}).Info("job refused")
	}
	relayer.WriteBodyError(w, err)
}

// refuseJob answers a job that is invalid; nothing of it was stored.
func (m *Manager) refuseJob(w http.ResponseWriter, id string, status int, err error) {
	m.log.WithError(err).WithFields(logrus.Fields{"job": id, "status": status}).Info("job refused")
	relayer.WriteError(w, status, err.Error())
}

// answerSubmit logs the submission and writes the answer with its status.
func (m *Manager) answerSubmit(w http.ResponseWriter, job jobrecorder.Job, status int, err error, start time.Time) {
	log := m.log.WithFields(logrus.Fields{
		"job": job.ID, "items": job.Total(), "config": job.ConfigVersion, "status": status,
		"took": time.Since(start).Milliseconds(),
	})
	if err != nil {
		log = log.WithField("cause", err.Error())
	}
	log.Info("job submitted")
	switch status {
	case http.StatusAccepted:
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(status)
	case http.StatusTooManyRequests:
		relayer.WriteRefusal(w, status, quotaRetryAfter, "too many tokens wait on this route")
	case http.StatusServiceUnavailable:
		relayer.WriteRefusal(w, status, m.retryAfter(), "the store can't be reached")
	case http.StatusConflict:
		relayer.WriteError(w, status, "another job has this id: choose another one")
	case http.StatusUnauthorized:
		relayer.WriteUnauthorized(w, "the key is not valid any more")
	default:
		relayer.WriteError(w, status, "nobody knows yet whether the job was taken in: send it again")
	}
}

// retryAfter returns the Retry-After of a refused submission: short if another VM reaches the store. Otherwise the store has
// an outage, which lasts seconds, and callers retry only once.
func (m *Manager) retryAfter() time.Duration {
	if m.members.HasStoreElsewhere() {
		return retryPause
	}
	return outageRetryAfter
}

func newJob(id string, items []Item, route registrar.Route, config int64, now time.Time) jobrecorder.Job {
	j := jobrecorder.Job{
		ID: id, Host: route.Host, PathPrefix: route.PathPrefix, ConfigVersion: config,
		Submitted: now.UnixMilli(), Due: now.Add(route.DueAfter).UnixMilli(),
	}
	for _, i := range items {
		j.Tokens = append(j.Tokens, i.Tokens)
	}
	return j
}

// accept writes the job unless it is stored already, and returns the status of the answer.
//
// It retries until ctx ends if another VM wrote first, or if the outcome of a write is unknown: a write without an answer may
// have stored the job, so the answer is then neither 429 nor 503 but 504.
func (m *Manager) accept(
	ctx context.Context, job jobrecorder.Job, items []Item, body []byte, route registrar.Route,
) (int, error) {
	if _, ok, _ := m.lookUp(job.ID); ok {
		return m.statusOfRepeat(ctx, job.ID)
	}
	if m.feed.IsLost() {
		return http.StatusServiceUnavailable, errStoreLost
	}
	rows := encodeItems(job.ID, body, m.cfg.RowBytes)
	job.ItemRows = len(rows)
	if len(rows) == 0 {
		if known, hasRoom := m.roomFor(job, route); !hasRoom {
			m.logNoRoom(ctx, job, route, known)
			return http.StatusTooManyRequests, nil
		}
		if err := m.putItems(ctx, job, body); errors.Is(err, errOtherItems) {
			return http.StatusConflict, err
		} else if err != nil {
			return http.StatusServiceUnavailable, err
		}
	}
	isIndeterminate := false
	for {
		status, err := m.acceptOnce(ctx, job, rows, route)
		switch {
		case status == http.StatusAccepted && err == nil:
			m.payloads.put(job.ID, items, false)
			return status, nil
		case err == nil:
			if isIndeterminate {
				status = http.StatusGatewayTimeout
			}
			return status, nil
		}
		if unavailable := (*storer.UnavailableError)(nil); errors.As(err, &unavailable) {
			isIndeterminate = isIndeterminate || unavailable.MayHaveRun
			if !isIndeterminate {
				return http.StatusServiceUnavailable, err
			}
		}
		wait := retryPause
		if errors.Is(err, errConflict) {
			wait = conflictPause
		}
		if !sleeper.Sleep(ctx, wait) {
			if isIndeterminate {
				return http.StatusGatewayTimeout, err
			}
			return http.StatusServiceUnavailable, err
		}
	}
}

// putItems writes the job's items as an object; an existing object is from an earlier attempt. If the job has an account, that
// attempt may have been another account's, so the object's content must be the same.
func (m *Manager) putItems(ctx context.Context, job jobrecorder.Job, body []byte) error {
	err := m.store.PutBlob(ctx, blobName(job.ID), body)
	if exists := (*storer.ExistsError)(nil); !errors.As(err, &exists) {
		return err
	}
	if job.Account == "" {
		return nil
	}
	stored, err := m.store.GetBlob(ctx, blobName(job.ID))
	if err == nil && !bytes.Equal(stored, body) {
		return errOtherItems
	}
	return err
}

// errOtherItems reports that other items were stored with the id of a submitted job.
var errOtherItems = errors.New("other items were submitted with this id")

// errStoreLost reports that the store did not answer this VM's last calls.
var errStoreLost = errors.New("the store does not answer")

// errConflict reports that the job's row or the admission row was written since this VM cached it.
var errConflict = errors.New("other jobs were taken in meanwhile")

// acceptOnce tries once to write the job's row and its items. If the error is nil, the status is final.
func (m *Manager) acceptOnce(
	ctx context.Context, job jobrecorder.Job, items []storer.Entry, route registrar.Route,
) (int, error) {
	if _, ok, _ := m.lookUp(job.ID); ok {
		return m.statusOfRepeat(ctx, job.ID)
	}
	known, hasRoom := m.roomFor(job, route)
	if !hasRoom {
		m.logNoRoom(ctx, job, route, known)
		return http.StatusTooManyRequests, nil
	}
	if refusal := recheck(ctx, route); refusal != nil {
		return refusal.Status(), nil
	}
	job.Holder = m.holderOf(job.ID)
	row, err := encodeJob(job)
	if err != nil {
		return 0, err
	}
	absent := row
	absent.Value = nil
	counters, err := m.countersWith(known, job, route)
	if err != nil {
		return 0, err
	}
	c := storer.Change{Expect: []storer.Entry{absent}, Puts: append([]storer.Entry{row}, items...)}
	c.Puts = append(c.Puts, accountRow(job)...)
	for _, counter := range counters {
		expected := counter
		expected.Value = nil
		c.Expect, c.Puts = append(c.Expect, expected), append(c.Puts, counter)
		c.IsCrossPartition = c.IsCrossPartition || counter.Partition != row.Partition
	}
	ver, err := m.store.Apply(ctx, c)
	if stale := asStale(err); stale != nil {
		m.applyUpdate(watcher.Update{Entries: stale.Current})
		return 0, errConflict
	}
	if err != nil {
		return 0, err
	}
	written := append([]storer.Entry{row}, counters...)
	for i := range written {
		written[i].Version = ver
	}
	m.applyUpdate(watcher.Update{Entries: written})
	return http.StatusAccepted, nil
}

// asStale returns the *storer.StaleError in err, or nil if there is none.
func asStale(err error) *storer.StaleError {
	stale := (*storer.StaleError)(nil)
	if errors.As(err, &stale) {
		return stale
	}
	return nil
}

var _ Members = (*gossiper.Gossiper)(nil)
