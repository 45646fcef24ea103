package admitter

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/authenticator"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/ratelimiter"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/option"
)

// staleRetryAfter is the Retry-After of a VM whose configuration may be outdated: another VM may know, and the load balancer
// sends the next request to one.
const staleRetryAfter = 300 * time.Millisecond

// Limiter bounds the rates of accounts over all VMs.
type Limiter interface {
	// Allow reports whether a further online request of the account may be sent now; if not, it returns when there will be room.
	Allow(ctx context.Context, a ratelimiter.Account) (retryAfter time.Duration, ok bool)
}

// Unlimited is a Limiter that allows every request.
type Unlimited struct{}

// Allow allows the request.
func (Unlimited) Allow(context.Context, ratelimiter.Account) (time.Duration, bool) { return 0, true }

// Metrics counts the requests of accounts by outcome; its methods must not block.
type Metrics interface {
	Admission(account, outcome string)
}

// Headers names the headers that the admitter reads.
type Headers struct {
	RequestID, Credentials string
}

// Knowledge returns the time since boot as of which the VM knows the configuration; false if it never read it from the store.
type Knowledge func() (asOf time.Duration, isKnown bool)

// Admitter admits requests by the newest configuration.
type Admitter struct {
	headers   Headers
	registry  func() *registrar.Registry
	knowledge Knowledge
	// now returns the time since boot.
	now     func() time.Duration
	limiter Limiter
	metrics Metrics
	log     *refusalLog
	policy  atomic.Pointer[authenticator.Policy]
}

// New returns an admitter with the policy; now is the clock of the knowledge.
func New(
	h Headers, p authenticator.Policy, registry func() *registrar.Registry, k Knowledge, now func() time.Duration, l Limiter,
	m Metrics, log logrus.FieldLogger,
) *Admitter {
	a := &Admitter{
		headers: h, registry: registry, knowledge: k, now: now, limiter: l, metrics: m, log: newRefusalLog(log),
	}
	a.SetPolicy(p)
	return a
}

// SetPolicy replaces the policy for all further decisions.
func (a *Admitter) SetPolicy(p authenticator.Policy) { a.policy.Store(&p) }

// MaxWatch returns the longest wait of a watch of the configuration that the policy allows; 0 if it sets no bound.
func (a *Admitter) MaxWatch() time.Duration {
	cfg := a.registry().Config
	if p := a.policy.Load(); p.IsStrict && cfg != nil && cfg.HasAccounts() {
		return p.MaxWatch()
	}
	return 0
}

// view is what the VM knows at one time. The knowledge is read before the configuration, so that this one is at least as new.
type view struct {
	cfg     *registrar.Config
	isStale bool
}

func (a *Admitter) view() view {
	asOf, isKnown := a.knowledge()
	cfg := a.registry().Config
	return view{cfg: cfg, isStale: a.policy.Load().IsStale(a.now(), asOf, isKnown)}
}

func (v view) decide(key option.Option[registrar.KeyDigest], isPublic bool) authenticator.Decision {
	return authenticator.Decide(authenticator.Facts{Config: v.cfg, IsPublic: isPublic, Key: key, IsStale: v.isStale})
}

// Admit decides whether an online request of the route is admitted; Admission.Limit counts it.
func (a *Admitter) Admit(r *http.Request, route registrar.Route) (*Admission, *Refusal) {
	return a.admit(r, a.view(), route.IsPublic)
}

// AdmitSubmission decides whether the submission of a job on the route is admitted.
func (a *Admitter) AdmitSubmission(r *http.Request, route registrar.Route) (*Admission, *Refusal) {
	return counted(a.Admit(r, route))
}

// AdmitCall decides whether a call about a job is admitted. If the host has a public route for batch jobs, the job may be one of
// that route: then the call is admitted as one without an account unless its key is known.
func (a *Admitter) AdmitCall(r *http.Request) (*Admission, *Refusal) {
	v := a.view()
	isPublic := slices.ContainsFunc(v.cfg.BatchRoutes(r.Host), func(r registrar.Route) bool { return r.IsPublic })
	if _, ok := v.decide(a.keyOf(r), false).(authenticator.Accepted); ok {
		isPublic = false
	}
	return counted(a.admit(r, v, isPublic))
}

// counted counts the request if it is admitted.
func counted(adm *Admission, refusal *Refusal) (*Admission, *Refusal) {
	if refusal == nil {
		adm.accepted()
	}
	return adm, refusal
}

func (a *Admitter) admit(r *http.Request, v view, isPublic bool) (*Admission, *Refusal) {
	adm := &Admission{
		admitter: a, requestID: r.Header.Get(a.headers.RequestID), path: r.URL.Path, key: a.keyOf(r),
	}
	d := v.decide(adm.key, isPublic)
	if refusal := refusalOf(d); refusal != nil {
		return nil, adm.refused(refusal)
	}
	adm.apply(v.cfg, d)
	return adm, nil
}

// keyOf returns the digest of the request's key. A request with several headers for it has none: their readers could choose
// different ones.
func (a *Admitter) keyOf(r *http.Request) option.Option[registrar.KeyDigest] {
	values := r.Header.Values(a.headers.Credentials)
	if len(values) != 1 {
		return option.None[registrar.KeyDigest]()
	}
	scheme, key, _ := strings.Cut(values[0], " ")
	key = strings.TrimSpace(key)
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return option.None[registrar.KeyDigest]()
	}
	return option.Some(registrar.DigestOf(key))
}

// count counts an outcome for the account, under the name of otherAccounts unless it is one of the largest.
func (a *Admitter) count(cfg *registrar.Config, account option.Option[registrar.Account], outcome string) {
	label := noAccount
	if known, ok := account.Get(); ok {
		label = otherAccounts
		if cfg.IsLargeAccount(known.Name) {
			label = known.Name
		}
	}
	a.metrics.Admission(label, outcome)
}

// Labels of the metrics for requests without an account, and for accounts that are not among the largest.
const (
	noAccount     = "none"
	otherAccounts = "other"
)
