package itemrunner

import (
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/inspector"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
)

// maxRejectionPause is the maximum pause after a rejected run; the pause doubles with each one, from retryPause on.
const maxRejectionPause = 5 * time.Second

// rejections are the runs of an item that ended with the answer that its message is at fault.
type rejections struct {
	count int
	// by holds the endpoints that gave this answer while no other one ran the item.
	by []registrar.Endpoint
}

// isRejection reports whether the answer says that the message is at fault, and not the endpoint.
func (e *AnswerError) isRejection() bool {
	isOfCaller := e.Status >= http.StatusBadRequest && e.Status < http.StatusInternalServerError
	return inspector.IsRejection(e.Status) || (e.IsSigned && isOfCaller)
}

// recordRejection records that the endpoint rejected the item, which waits longer each time; the lock is held.
func (t *task) recordRejection(now time.Time, by registrar.Endpoint) {
	pause := retryPause << min(t.rejections.count, 10)
	t.rejections.count++
	if !slices.ContainsFunc(t.rejections.by, func(e registrar.Endpoint) bool { return e.ID == by.ID }) {
		t.rejections.by = append(t.rejections.by, by)
	}
	t.notBefore = now.Add(min(pause, maxRejectionPause))
}

// blameRejecters counts a failure of each endpoint that rejected the item, since another one runs it.
func (r *Runner) blameRejecters(t *task) {
	r.mu.Lock()
	by := t.rejections.by
	t.rejections = rejections{}
	r.mu.Unlock()
	for _, e := range by {
		r.balancer.Fail(e)
	}
}

// abandonIfRejected abandons an item that endpoints have rejected once its job is as old as the route allows, and reports whether
// it does; the lock is held.
func (r *Runner) abandonIfRejected(t *task, route registrar.Route, now time.Time) bool {
	if t.rejections.count == 0 || !r.isOverdue(t, route, now) {
		return false
	}
	fields := logrus.Fields{"rejections": t.rejections.count, "after": route.AbandonAfter.String()}
	r.abandon(t, fields, "endpoints rejected its message")
	return true
}
