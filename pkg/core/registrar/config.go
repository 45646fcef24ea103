package registrar

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says whether, and how, a route's requests may be repeated.
type Kind int

// The kinds of route.
const (
	KindSafe Kind = iota + 1
	KindNonIdempotent
	KindStream
	KindBatch
	// KindUnsupported is that of a route which this build can't use: its requests are refused, and go to no other route.
	KindUnsupported
)

// Split is the share of a route's requests that goes to one service, by weight.
type Split struct {
	Service string
	Weight  int
}

// Route says which services take the requests with a host and a path prefix, and under which rules.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Splits holds at least one service.
	Splits []Split
	// Timeout bounds the time from reading a request to the end of its answer; 0 means no bound. Batch items ignore it.
	Timeout time.Duration
	// Objective is the longest time to the first byte or event for an answer to count as on time.
	Objective   time.Duration
	MaxAttempts int
	// Priority ranks routes; 0 is the highest.
	Priority int
	// IsResumable says that another endpoint may continue a stream.
	IsResumable bool
	// MaxGap is the longest pause between events for an answer to count as on time.
	MaxGap time.Duration
	// DueAfter is the age of a batch job after which its results are late.
	DueAfter time.Duration
	// AbandonAfter is the age of a batch job from which its items may be abandoned.
	AbandonAfter time.Duration
	// WaitingTokens bounds the tokens of accepted, unfinished batch items, of each account if the configuration has accounts; 0
	// means no bound.
	WaitingTokens int64
	// IsPublic says that the route's requests need no key.
	IsPublic bool
}

// IsIdempotent reports whether a request of the route may run again after an attempt with an unknown outcome.
func (r Route) IsIdempotent() bool {
	return r.Kind == KindSafe || r.Kind == KindBatch || (r.Kind == KindStream && r.IsResumable)
}

// ServiceFor draws a service by weight; the same request id always gets the same service.
func (r Route) ServiceFor(requestID string) string {
	if len(r.Splits) == 1 {
		return r.Splits[0].Service
	}
	sum := 0
	for _, s := range r.Splits {
		sum += s.Weight
	}
	if sum <= 0 {
		return r.Splits[0].Service
	}
	at := int(xxhash.Sum64String(requestID) % uint64(sum))
	for _, s := range r.Splits {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return r.Splits[0].Service
}

// Allows reports whether the route sends requests to the service.
func (r Route) Allows(service string) bool {
	return slices.ContainsFunc(r.Splits, func(s Split) bool { return s.Service == service && s.Weight > 0 })
}

// Service is a set of endpoints that serve the same requests.
type Service struct {
	Name string
	// MaxConnections bounds the connections of all VMs together to one endpoint.
	MaxConnections int
	// HealthPath is the path of the endpoints' health check; empty if they have none.
	HealthPath string
	// IsEngine is set for a service of model engines.
	IsEngine bool
	// Slots is how many requests an engine runs at once; 0 if only the endpoints' rows say that.
	Slots int
}

// Limits bound the size and the duration of a caller's requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operators' configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// RouteErrors says why routes are unsupported.
	RouteErrors []error
	// Accounts holds the accounts that can be used, and AccountErrors says what can't be used of others; see AddAccount.
	Accounts      []Account
	AccountErrors []error

	byHost   map[string][]Route
	accounts accounts
}

// Index builds the look-up tables and returns the configuration.
func (c *Config) Index() *Config {
	c.byHost = map[string][]Route{}
	for _, r := range c.Routes {
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, routes := range c.byHost {
		slices.SortFunc(routes, func(a, b Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	c.rankAccounts()
	return c
}

// Match returns the route with the host and the longest prefix of the path.
func (c *Config) Match(host, path string) (Route, bool) {
	host = strings.ToLower(host)
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Route returns the route with exactly this host and path prefix, which identify it in all versions of the configuration. What a
// route accepted is its own, even once the path matches another one.
func (c *Config) Route(host, pathPrefix string) (Route, bool) {
	for _, r := range c.byHost[strings.ToLower(host)] {
		if r.PathPrefix == pathPrefix {
			return r, true
		}
	}
	return Route{}, false
}

// BatchRoutes returns the host's routes for batch jobs.
func (c *Config) BatchRoutes(host string) []Route {
	var found []Route
	for _, r := range c.byHost[strings.ToLower(host)] {
		if r.Kind == KindBatch {
			found = append(found, r)
		}
	}
	return found
}
