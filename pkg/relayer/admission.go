package relayer

import (
	"net/http"

	"github.com/dogwoodledge/dogwoodledge/pkg/admitter"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/placer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
)

// AdmitSubmission returns a handler that passes the submission of a job on the route to serve, with the admission in its context,
// and refuses it if it is not admitted.
func (l *Relayer) AdmitSubmission(route registrar.Route, serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		a, refusal := l.admitter.AdmitSubmission(r, route)
		serveAdmitted(w, r, a, refusal, serve)
	}
}

// AdmitCall does what AdmitSubmission does for a call about a job.
func (l *Relayer) AdmitCall(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		a, refusal := l.admitter.AdmitCall(r)
		serveAdmitted(w, r, a, refusal, serve)
	}
}

func serveAdmitted(
	w http.ResponseWriter, r *http.Request, a *admitter.Admission, refusal *admitter.Refusal, serve http.HandlerFunc,
) {
	if refusal != nil {
		writeAdmissionRefusal(w, refusal)
		return
	}
	serve(w, r.WithContext(admitter.WithAdmission(r.Context(), a)))
}

// writeAdmissionRefusal answers a request of which nothing was sent to an endpoint.
func writeAdmissionRefusal(w http.ResponseWriter, refusal *admitter.Refusal) {
	if status := refusal.Status(); status != http.StatusUnauthorized {
		WriteRefusal(w, status, max(refusal.RetryAfter, minRetryAfter), refusal.Cause)
		return
	}
	WriteUnauthorized(w, refusal.Cause)
}

// WriteUnauthorized refuses a request whose key is not known.
func WriteUnauthorized(w http.ResponseWriter, detail string) {
	w.Header().Set("WWW-Authenticate", "Bearer")
	WriteError(w, http.StatusUnauthorized, detail)
}

// isWithinRate counts the request in the rate of its account. It refuses the request if that is used up, and returns false.
func (q *request) isWithinRate() bool {
	refusal := q.admission.Limit(q.ctx)
	if refusal == nil {
		return true
	}
	q.refuseAdmission(refusal)
	return false
}

// refuseAdmission ends the request because it is not admitted any more.
func (q *request) refuseAdmission(refusal *admitter.Refusal) {
	if q.hasAnswer || q.runs > 0 {
		q.refuse(placer.Refuse{Reason: refusal.Cause})
		return
	}
	q.status, q.decision = refusal.Status(), "refused: "+refusal.Cause
	writeAdmissionRefusal(q.w, refusal)
}

// setAccount replaces the caller's key by the name of the account, if the configuration has accounts.
func (q *request) setAccount(h http.Header) {
	if q.admission.IsGuarded() {
		account, _ := q.admission.Account()
		q.headers.SetAccount(h, account.Name)
	}
}
