package admitter

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/authenticator"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/ratelimiter"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/option"
)

// Admission is an admitted request. It is not safe for concurrent use.
type Admission struct {
	admitter  *Admitter
	requestID string
	path      string
	key       option.Option[registrar.KeyDigest]
	account   option.Option[registrar.Account]
	// isGuarded says that the configuration had accounts when the request was admitted or checked again.
	isGuarded bool
}

// Account returns the account of the request; none on public routes, and if the configuration has no accounts.
func (a *Admission) Account() (registrar.Account, bool) { return a.account.Get() }

// IsGuarded reports whether the configuration has, or had at an earlier check, accounts: then the caller's credentials, and the
// account that the caller names, must not be passed on.
func (a *Admission) IsGuarded() bool { return a.isGuarded }

// Priority returns the priority of the request: that of its account if it has one, or else the route's.
func (a *Admission) Priority(route registrar.Route) int {
	if account, ok := a.account.Get(); ok {
		if p, ok := account.Priority.Get(); ok {
			return p
		}
	}
	return route.Priority
}

func (a *Admission) apply(cfg *registrar.Config, d authenticator.Decision) {
	a.isGuarded = a.isGuarded || cfg.HasAccounts()
	a.account = option.None[registrar.Account]()
	if accepted, ok := d.(authenticator.Accepted); ok {
		a.account = option.Some(accepted.Account)
	}
}

// Recheck decides again by the newest configuration, to be called immediately before the request is sent. The key must still
// belong to the account that it belonged to.
func (a *Admission) Recheck(route registrar.Route) *Refusal {
	v := a.admitter.view()
	if !v.cfg.HasAccounts() && !a.isGuarded {
		return nil
	}
	current, ok := v.cfg.Route(route.Host, route.PathPrefix)
	if !ok {
		return a.refused(&Refusal{Cause: "the route is gone", outcome: "route gone", isUnavailable: true})
	}
	d := v.decide(a.key, current.IsPublic)
	if refusal := refusalOf(d); refusal != nil {
		return a.refused(refusal)
	}
	if old, had := a.account.Get(); had {
		if now, ok := d.(authenticator.Accepted); ok && now.Account.Name != old.Name {
			return a.refused(refusalOf(authenticator.Unknown{}))
		}
	}
	a.apply(v.cfg, d)
	return nil
}

// Limit counts the request, which is about to be placed, in the rate of its account.
func (a *Admission) Limit(ctx context.Context) *Refusal {
	account, ok := a.account.Get()
	if !ok {
		return nil
	}
	isAllowed, retryAfter := true, time.Duration(0)
	if account.Rate > 0 {
		retryAfter, isAllowed = a.admitter.limiter.Allow(ctx, ratelimiter.Account{
			Name: account.Name, Rate: account.Rate, Burst: account.Burst,
		})
	}
	if isAllowed {
		a.accepted()
		return nil
	}
	return a.refused(&Refusal{
		Cause: "the account's rate is used up", RetryAfter: retryAfter, outcome: "rate", isExcess: true,
		fields: logrus.Fields{"rate": account.Rate, "burst": account.Burst},
	})
}

// accepted counts the request, unless it needs no key.
func (a *Admission) accepted() {
	if _, ok := a.account.Get(); ok {
		a.admitter.count(a.admitter.registry().Config, a.account, "accepted")
	}
}

// RefuseTokens returns the refusal of a job whose tokens have no room on the route, and logs and counts it.
func (a *Admission) RefuseTokens(r TokenRoom) *Refusal {
	return a.refused(&Refusal{
		Cause: "too many tokens wait on this route", RetryAfter: r.RetryAfter, outcome: "waiting tokens", isExcess: true,
		fields: logrus.Fields{"route": r.Route, "cap": r.Cap, "waiting": r.Waiting, "tokens": r.Tokens},
	})
}

// refused logs and counts the refusal and returns it.
func (a *Admission) refused(refusal *Refusal) *Refusal {
	cfg := a.admitter.registry().Config
	a.admitter.count(cfg, a.account, refusal.outcome)
	fields := logrus.Fields{
		"request": a.requestID, "path": a.path, "status": refusal.Status(), "cause": refusal.Cause, "config": cfg.Version,
		"retryAfter": refusal.RetryAfter.Milliseconds(),
	}
	for name, value := range refusal.fields {
		fields[name] = value
	}
	if account, ok := a.account.Get(); ok {
		fields["account"] = account.Name
	}
	if asOf, ok := a.admitter.knowledge(); ok && refusal.isUnavailable {
		fields["knownFor"] = (a.admitter.now() - asOf).Milliseconds()
	}
	a.admitter.log.write(refusal.outcome, fields)
	return refusal
}

type contextKey struct{}

// WithAdmission returns a context that carries the admission of a call about a job.
func WithAdmission(ctx context.Context, a *Admission) context.Context {
	return context.WithValue(ctx, contextKey{}, a)
}

// FromContext returns the admission of a call about a job; nil if the call was not admitted by an admitter.
func FromContext(ctx context.Context) *Admission {
	a, _ := ctx.Value(contextKey{}).(*Admission)
	return a
}
