package relayer

import (
	"net/http"
	"strconv"

	"github.com/dogwoodledge/dogwoodledge/pkg/bodyreader"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
)

// RefuseOverLimits refuses a request whose head, or whose stated length, exceeds the limits; it reports whether it did.
func (l *Relayer) RefuseOverLimits(w http.ResponseWriter, r *http.Request, limits registrar.Limits) bool {
	if limit := limits.BodyBytes; limit > 0 && r.ContentLength > limit {
		l.Refuse(w, r, http.StatusRequestEntityTooLarge, (&bodyreader.TooLargeError{Limit: limit}).Error())
		return true
	}
	if limit := limits.HeaderBytes; limit > 0 && headerBytes(r) > limit {
		l.Refuse(w, r, http.StatusRequestHeaderFieldsTooLarge,
			"the headers have more than "+strconv.Itoa(limit)+" bytes: send less")
		return true
	}
	return false
}

// headerBytes returns the approximate size of the request line and headers as sent.
func headerBytes(r *http.Request) int {
	n := len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}
