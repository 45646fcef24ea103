package jobkeeper

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/jobber"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/gossiper"
	"github.com/dogwoodledge/dogwoodledge/pkg/pauser"
	"github.com/dogwoodledge/dogwoodledge/pkg/relayer"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
	"github.com/dogwoodledge/dogwoodledge/pkg/watcher"
)

const (
	// submitTimeout leaves the caller time to try another VM.
	submitTimeout = 1200 * time.Millisecond
	// conflictPause lets another VM's acceptance go first.
	conflictPause = 3 * time.Millisecond
	maxItems      = 200
	maxID         = 100
	// outageRetry is under a third of the time that callers of jobs have, within which they come back.
	outageRetry = 1250 * time.Millisecond
	// quotaRetry is when waiting items may have finished: an item's run.
	quotaRetry = time.Second
)

// SubmitError says what is wrong with a submitted job.
type SubmitError struct {
	Field, Value, Remedy string
}

func (e *SubmitError) Error() string {
	return fmt.Sprintf("batch job: %s is %q: %s", e.Field, e.Value, e.Remedy)
}

// Submit takes a job in.
func (k *Keeper) Submit(w http.ResponseWriter, r *http.Request, route registrar.Route) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(r.Context(), submitTimeout)
	defer cancel()
	cfg := k.registry().Config
	id := k.codec.JobID(r)
	body, err := relayer.ReadBody(w, r, cfg.Limits.BodyBytes)
	if err != nil {
		k.refuseJob(w, id, relayer.BodyStatus(err), err)
		return
	}
	items, err := k.codec.Items(body)
	if err == nil {
		err = checkJob(id, items)
	}
	if err != nil {
		k.refuseJob(w, id, http.StatusBadRequest, err)
		return
	}
	job := newJob(id, items, route, cfg.Version, start)
	job.Holder = k.self()
	status, err := k.accept(ctx, job, items, body, route)
	k.answerSubmit(w, job, status, err, start)
}

// refuseJob answers a job of which nothing is kept.
func (k *Keeper) refuseJob(w http.ResponseWriter, id string, status int, err error) {
	k.log.WithError(err).WithFields(logrus.Fields{"job": id, "status": status}).Info("job refused")
	relayer.WriteProblem(w, status, err.Error())
}

func (k *Keeper) answerSubmit(w http.ResponseWriter, job jobber.Job, status int, err error, start time.Time) {
	log := k.log.WithFields(logrus.Fields{
		"job": job.ID, "items": job.Total(), "config": job.Config, "status": status,
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
		relayer.WriteRetry(w, status, quotaRetry, "too many tokens wait on this route")
	case http.StatusServiceUnavailable:
		relayer.WriteRetry(w, status, k.returnTime(), "the store can't be reached")
	default:
		relayer.WriteProblem(w, status, "nobody knows yet whether the job was taken in: send it again")
	}
}

// returnTime is when a refused caller should come back: soon if another VM has the store, else after a part of an
// outage, which lasts seconds; callers return only once.
func (k *Keeper) returnTime() time.Duration {
	if k.members.HasStoreElsewhere() {
		return retryPause
	}
	return outageRetry
}

func checkJob(id string, items []Item) error {
	switch {
	case id == "" || len(id) > maxID:
		return &SubmitError{Field: "id", Value: id, Remedy: fmt.Sprintf("send one of 1 to %d characters", maxID)}
	case len(items) == 0 || len(items) > maxItems:
		return &SubmitError{
			Field: "items", Value: fmt.Sprint(len(items)), Remedy: fmt.Sprintf("send 1 to %d items", maxItems),
		}
	}
	seen := map[string]bool{}
	for _, i := range items {
		if i.ID == "" || seen[i.ID] {
			return &SubmitError{Field: "item id", Value: i.ID, Remedy: "give each item an id of its own"}
		}
		if i.Path == "" || i.Path[0] != '/' || i.Tokens < 0 {
			return &SubmitError{Field: "item " + i.ID + " path or tokens", Value: i.Path, Remedy: "give a path and tokens"}
		}
		seen[i.ID] = true
	}
	return nil
}

func newJob(id string, items []Item, route registrar.Route, config int64, now time.Time) jobber.Job {
	j := jobber.Job{
		ID: id, Host: route.Host, PathPrefix: route.PathPrefix, Config: config,
		Submitted: now.UnixMilli(), Due: now.Add(route.Due).UnixMilli(),
	}
	for _, i := range items {
		j.Tokens = append(j.Tokens, i.Tokens)
	}
	return j
}

// accept writes the job unless it is there already, and returns the status of the answer.
func (k *Keeper) accept(
	ctx context.Context, job jobber.Job, items []Item, body []byte, route registrar.Route,
) (int, error) {
	if _, ok, _ := k.lookUp(job.ID); ok {
		return http.StatusAccepted, nil
	}
	if k.feed.IsLost() {
		return http.StatusServiceUnavailable, errStoreLost
	}
	rows := encodeItems(job.ID, body, k.cfg.RowBytes)
	job.ItemRows = len(rows)
	if len(rows) == 0 {
		if _, isRoom := k.gateFor(job, route); !isRoom {
			return http.StatusTooManyRequests, nil
		}
		if err := k.putItems(ctx, job.ID, body); err != nil {
			return http.StatusServiceUnavailable, err
		}
	}
	isInDoubt := false
	for {
		status, err := k.acceptOnce(ctx, job, rows, route)
		switch {
		case status == http.StatusAccepted:
			k.payloads.put(job.ID, items, false)
			return status, nil
		case err == nil:
			if isInDoubt {
				status = http.StatusGatewayTimeout
			}
			return status, nil
		}
		if unavailable := (*storer.UnavailableError)(nil); errors.As(err, &unavailable) {
			isInDoubt = isInDoubt || unavailable.MayHaveRun
			if !isInDoubt {
				return http.StatusServiceUnavailable, err
			}
		}
		wait := retryPause
		if errors.Is(err, errBehind) {
			wait = conflictPause
		}
		if !pauser.Pause(ctx, wait) {
			if isInDoubt {
				return http.StatusGatewayTimeout, err
			}
			return http.StatusServiceUnavailable, err
		}
	}
}

func (k *Keeper) putItems(ctx context.Context, id string, body []byte) error {
	err := k.store.PutBlob(ctx, blobName(id), body)
	exists := (*storer.ExistsError)(nil)
	if errors.As(err, &exists) {
		return nil
	}
	return err
}

// errStoreLost says that the store did not answer this VM's last calls.
var errStoreLost = errors.New("the store does not answer")

// errBehind says that other VMs took jobs in that are not known here yet.
var errBehind = errors.New("other jobs were taken in meanwhile")

// acceptOnce tries to write the job's row; a nil error goes with a final status.
func (k *Keeper) acceptOnce(
	ctx context.Context, job jobber.Job, items []storer.Entry, route registrar.Route,
) (int, error) {
	if _, ok, _ := k.lookUp(job.ID); ok {
		return http.StatusAccepted, nil
	}
	known, isRoom := k.gateFor(job, route)
	if !isRoom {
		return http.StatusTooManyRequests, nil
	}
	row, err := encodeJob(job)
	if err != nil {
		return 0, err
	}
	absent := row
	absent.Value = nil
	gate, err := known.next(job, route)
	if err != nil {
		return 0, err
	}
	gateAsKnown := gate
	gateAsKnown.Value = nil
	ver, err := k.store.Apply(ctx, storer.Change{
		Expect:   []storer.Entry{absent, gateAsKnown},
		Puts:     append([]storer.Entry{row, gate}, items...),
		IsAcross: gate.Partition != row.Partition,
	})
	if stale := asStale(err); stale != nil {
		k.hear(watcher.Update{Entries: stale.Current})
		return 0, errBehind
	}
	if err != nil {
		return 0, err
	}
	row.Version, gate.Version = ver, ver
	k.hear(watcher.Update{Entries: []storer.Entry{row, gate}})
	return http.StatusAccepted, nil
}

// next returns the route's row with the job's tokens added, at the version that it must have.
func (g gate) next(job jobber.Job, route registrar.Route) (storer.Entry, error) {
	key := gateKey(route.Host, route.PathPrefix)
	value, err := json.Marshal(gateRow{Accepted: g.accepted + job.AllTokens()})
	return storer.Entry{
		Table: jobTable, Partition: partitionOf(key), Key: key, Version: g.version, Value: value,
	}, errors.Wrap(err, "encode route's row")
}

// gateFor returns the route's row as known, and whether by that row the job's tokens may wait besides those that wait
// already: all that were ever taken in, less those that are known to be finished.
//
// Both come from one moment: the row's version in the transaction then stands for the tokens that were counted.
func (k *Keeper) gateFor(job jobber.Job, route registrar.Route) (gate, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	known := k.gates[gateKey(route.Host, route.PathPrefix)]
	if route.WaitingTokens <= 0 {
		return known, true
	}
	waiting := known.accepted + job.AllTokens()
	for _, r := range k.jobs {
		if r.job.Host == route.Host && r.job.PathPrefix == route.PathPrefix {
			waiting -= r.job.AllTokens() - r.job.WaitingTokens()
		}
	}
	return known, waiting <= route.WaitingTokens
}

func asStale(err error) *storer.StaleError {
	stale := (*storer.StaleError)(nil)
	if errors.As(err, &stale) {
		return stale
	}
	return nil
}

var _ Members = (*gossiper.Gossiper)(nil)
