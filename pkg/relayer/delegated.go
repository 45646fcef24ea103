package relayer

import (
	"net/http"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/delegator"
)

// hopBytes is what the headers that a VM adds to a request when it hands it over may have beyond the limit for callers.
const hopBytes = 1 << 10

// ServeDelegated answers an online request that another VM handed over. That VM has counted it in the rate of its account, and it
// is not handed over again. The answer is otherwise that of Serve.
func (l *Relayer) ServeDelegated(w http.ResponseWriter, r *http.Request) {
	by := r.Header.Get(delegator.Header)
	r.Header.Del(delegator.Header)
	reg := l.registry()
	if !reg.IsReady() {
		WriteRefusal(w, http.StatusServiceUnavailable, minRetryAfter, "no configuration is known yet")
		return
	}
	limits := reg.Config.Limits
	if limits.HeaderBytes > 0 {
		limits.HeaderBytes += hopBytes
	}
	if l.RefuseOverLimits(w, r, limits) {
		return
	}
	route, ok := reg.Config.Match(r.Host, r.URL.Path)
	switch {
	case !ok || route.Kind == registrar.KindBatch && r.Method == http.MethodPost:
		l.Refuse(w, r, http.StatusNotFound, "no online route has this host and path")
	case route.Kind == registrar.KindUnsupported:
		l.Refuse(w, r, http.StatusServiceUnavailable, "route "+route.Name+" can't be used by this build")
	default:
		l.serve(w, r, route, by)
	}
}

// isDelegated reports whether another VM handed the request over.
func (q *request) isDelegated() bool { return q.delegatedBy != "" }
