package relayer

import (
	"net/http"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/inspector"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/placer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/dialer"
)

// endingOfUnsigned returns how the request has ended at an endpoint whose answer bears no signature.
func (q *request) endingOfUnsigned(status int, e registrar.Endpoint) placer.Ending {
	if !inspector.IsRejection(status) {
		return placer.EndedFailed
	}
	return q.reject(e)
}

// endingOfError returns how the request has ended at an endpoint from which no answer to it came, and records the break.
func (q *request) endingOfError(err error, e registrar.Endpoint) placer.Ending {
	if dialer.IsRejection(err) {
		return q.reject(e)
	}
	q.recordBreak(e, false)
	if q.ctx.Err() != nil || q.isCutOff() {
		return placer.EndedLocally
	}
	return placer.EndedFailed
}

// reject records that the endpoint answered that the message is at fault.
func (q *request) reject(e registrar.Endpoint) placer.Ending {
	if !q.atPeer {
		q.rejectedBy = append(q.rejectedBy, e)
	}
	return placer.EndedRejected
}

// blameRejecters counts a failure of each endpoint that rejected the request if another one has answered it with a status that
// says that nothing is wrong with it.
func (q *request) blameRejecters(status int) {
	if status >= http.StatusBadRequest {
		return
	}
	for _, e := range q.rejectedBy {
		q.balancer.Fail(e)
	}
	q.rejectedBy = nil
}
