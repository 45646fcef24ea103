package forwarder

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/allocator"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/router"
)

// SharedRouter is the router of this VM, shared by all its requests.
type SharedRouter struct {
	mu     sync.Mutex
	router *router.Router
}

// NewSharedRouter returns a router that knows no endpoints yet.
func NewSharedRouter(random *rand.Rand) *SharedRouter {
	return &SharedRouter{router: router.New(random)}
}

// Handle passes an input to the router.
func (r *SharedRouter) Handle(in router.Input) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.router.Handle(time.Now(), in)
}

// ObserveLoad passes an endpoint's load, as reported by its slot allocator, to the router.
func (r *SharedRouter) ObserveLoad(endpoint string, l allocator.Load) {
	r.Handle(router.LoadReported{Endpoint: endpoint, InUse: l.Online, Queued: l.Queued, Wait: l.Waiting})
}

// candidates returns the endpoints to try for the call, best first, without those tried already.
func (r *SharedRouter) candidates(call Call, tried []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.router.Handle(time.Now(), router.Route{
		Serves: call.Serves, Blocks: call.Blocks, Bytes: call.Bytes, Exclude: tried,
	})
	return out[0].(router.Candidates).Endpoints
}
