package relayer

import (
	"time"

	"github.com/sirupsen/logrus"
)

// logAttempt logs an attempt after which the request is not over.
func (q *request) logAttempt() {
	fields := logrus.Fields{"request": q.id, "endpoint": q.endpoint, "runs": q.runs, "refusals": q.refusals}
	q.addEventFields(fields)
	if q.cause != nil {
		fields["cause"] = q.cause.Error()
	}
	q.log.WithFields(fields).Info("attempt ended")
}

// addEventFields adds which events the last attempt brought, and how the end of its answer was marked.
func (q *request) addEventFields(fields logrus.Fields) {
	if q.events > 0 {
		fields["firstEvent"], fields["lastEvent"] = q.firstEvent, q.sequence.Last()
	}
	if q.endsAtClose {
		fields["endsAtClose"] = true
	}
}

func (q *request) logEnd() {
	took := time.Since(q.start)
	q.metrics.RequestEnded(q.route.Name, q.decision, took)
	fields := logrus.Fields{
		"request": q.id, "route": q.route.Name, "config": q.registry().Config.Version, "endpoint": q.endpoint,
		"decision": q.decision, "online": q.load.Online, "batch": q.load.Batch, "estimate": ms(q.estimate),
		"first": ms(q.firstByte), "took": ms(took), "status": q.status, "runs": q.runs,
	}
	if q.events > 0 {
		fields["events"] = q.events
	}
	q.addEventFields(fields)
	if q.isDelegated() {
		fields["delegatedBy"] = q.delegatedBy
	}
	if q.stream != q.id {
		fields["resumes"] = q.stream
	}
	if software, ok := q.begun.Get(); ok {
		fields["software"] = software
	}
	if q.cause != nil {
		fields["cause"] = q.cause.Error()
		fields["parts"], fields["method"], fields["path"] = q.parts, q.r.Method, q.r.URL.Path
	}
	q.log.WithFields(fields).Info("request ended")
}

func ms(d time.Duration) int64 { return d.Milliseconds() }
