package continuer

import (
	"slices"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/option"
)

// Continuation is what becomes of an output that has begun, at an endpoint that has a slot for it.
type Continuation int

// The continuations.
const (
	// Continue resumes the output at the endpoint.
	Continue Continuation = iota
	// Await keeps the output for an endpoint of the software version that began it.
	Await
	// Restart discards the output.
	Restart
)

// MaxAwait is how long an output waits for an endpoint of the software version that began it; a run anew takes a few times as
// long.
const MaxAwait = 2 * time.Second

// At returns what becomes of an output that the software version began, none for an output without an event, at the endpoint e
// of a service whose endpoints that accept requests have the versions served; waited is how long it has waited for a slot.
func At(
	begun option.Option[registrar.Software], e registrar.Endpoint, served []registrar.Software, waited time.Duration,
) Continuation {
	software, ok := begun.Get()
	switch {
	case !ok || software == e.Software():
		return Continue
	case waited < MaxAwait && slices.Contains(served, software):
		return Await
	default:
		return Restart
	}
}

// BoundTo returns the software version whose endpoints alone should be offered to the output; none if any endpoint will do, since
// all have one version or that which began the output is gone.
func BoundTo(
	begun option.Option[registrar.Software], served []registrar.Software,
) option.Option[registrar.Software] {
	software, ok := begun.Get()
	if !ok || len(served) < 2 || !slices.Contains(served, software) {
		return option.None[registrar.Software]()
	}
	return begun
}

// Candidates returns the endpoints that may serve a request whose output the software version began, none for any.
func Candidates(begun option.Option[registrar.Software], all []registrar.Endpoint) []registrar.Endpoint {
	software, ok := begun.Get()
	if !ok {
		return all
	}
	var list []registrar.Endpoint
	for _, e := range all {
		if e.Software() == software {
			list = append(list, e)
		}
	}
	return list
}
