package relayer

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
)

// Refuse answers and logs a request that the active configuration doesn't admit and that has not run.
func (l *Relayer) Refuse(w http.ResponseWriter, r *http.Request, status int, detail string) {
	l.logRefusal(r, status, detail)
	WriteError(w, status, detail)
}

// logRefusal logs a request that is not admitted, unless too many were for the same cause.
func (l *Relayer) logRefusal(r *http.Request, status int, detail string) {
	unlogged, mayLog := l.refusalLog.Allow(time.Now(), strconv.Itoa(status))
	if !mayLog {
		return
	}
	reg := l.registry()
	l.log.WithFields(logrus.Fields{
		"request": r.Header.Get(l.headers.RequestID), "host": r.Host, "path": r.URL.Path, "status": status, "cause": detail,
		"config": reg.Config.Version, "configRow": reg.ConfigRow.Version, "configSource": reg.ConfigRow.Source,
		"configAge": ms(time.Since(reg.ConfigRow.ActiveSince)), "unlogged": unlogged,
	}).Info("request not admitted")
}

// RefuseLeaving refuses a request that this VM would not complete before it stops. The caller can retry on another VM at once.
func (l *Relayer) RefuseLeaving(w http.ResponseWriter, r *http.Request) {
	l.log.WithFields(logrus.Fields{
		"request": r.Header.Get(l.headers.RequestID), "path": r.URL.Path, "status": http.StatusServiceUnavailable,
		"cause": ErrStopping.Error(),
	}).Info("request not admitted")
	WriteRefusal(w, http.StatusServiceUnavailable, 0, ErrStopping.Error())
}

// LogWhileLeaving logs a request that arrived after the VM began to leave; n is the number of requests on its connection so far.
func (l *Relayer) LogWhileLeaving(r *http.Request, leavingFor time.Duration, n int64) {
	l.log.WithFields(logrus.Fields{
		"request": r.Header.Get(l.headers.RequestID), "path": r.URL.Path, "leavingFor": ms(leavingFor), "onConnection": n,
	}).Info("request received while leaving")
}

// WriteError answers with an error that comes from this VM and not from an endpoint.
func WriteError(w http.ResponseWriter, status int, detail string) {
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(detail)+1))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, detail+"\n")
}

// WriteRefusal refuses a request that has not run and will not run. The Retry-After header states after in seconds.
func WriteRefusal(w http.ResponseWriter, status int, after time.Duration, detail string) {
	w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	WriteError(w, status, detail)
}
