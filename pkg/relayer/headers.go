package relayer

import (
	"net/http"
	"strings"

	"github.com/dogwoodledge/dogwoodledge/pkg/option"
)

// Headers holds the names of the headers that the relayer reads and sets; Timeout is that of the milliseconds that are left.
type Headers struct {
	RequestID, Timeout, ExpectInstance, NotExecuted, Signature, LastEventID string
	// Resumes is set in a request that resumes a stream: the id of the attempt that brought the stream's first event.
	Resumes string
	// Leaving is set in the answers of an endpoint that is about to stop.
	Leaving string
	// RateLimit returns the requests a second that an endpoint's answer says it takes from all VMs together.
	RateLimit func(http.Header) option.Option[float64]
	// SharedParts returns the ids of the parts of a request's prompt that it may share with other requests.
	SharedParts func(http.Header) []string
	// Credentials is the header with the caller's key, which no endpoint gets. Account is the one in which endpoints get the name
	// of the request's account.
	Credentials, Account string
}

// SetAccount replaces the caller's credentials, and the account that the caller names, by the name of the request's account;
// empty for none.
func (h Headers) SetAccount(to http.Header, account string) {
	to.Del(h.Credentials)
	to.Del(h.Account)
	if account != "" {
		to.Set(h.Account, account)
	}
}

// PartsOf returns the ids of the shared parts of a request's prompt, if the headers define any.
func (h Headers) PartsOf(r http.Header) []string {
	if h.SharedParts == nil {
		return nil
	}
	return h.SharedParts(r)
}

// RateLimitOf returns the rate limit that an endpoint's answer names, if the headers define one.
func (h Headers) RateLimitOf(answer http.Header) option.Option[float64] {
	if h.RateLimit == nil {
		return option.None[float64]()
	}
	return h.RateLimit(answer)
}

// IsSigned reports whether the answer carries an endpoint's signature header and names the request with the id.
func (h Headers) IsSigned(res *http.Response, id string) bool {
	return res.Header.Get(h.Signature) != "" && res.Header.Get(h.RequestID) == id
}

// MediaTypeOf returns the media type that the headers name, without parameters; empty if they name none.
func MediaTypeOf(h http.Header) string {
	name, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}
