package forwarder

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/keeper"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/router"
)

// Routes is the router of this VM, shared by all its requests.
type Routes struct {
	mu     sync.Mutex
	router *router.Router
}

// NewRoutes returns a router that knows no endpoints yet.
func NewRoutes(random *rand.Rand) *Routes {
	return &Routes{router: router.New(random)}
}

// Tell passes an input to the router.
func (r *Routes) Tell(in router.Input) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.router.Handle(time.Now(), in)
}

// SeeLoad passes an endpoint's load, as reported by its slot allocator, to the router.
func (r *Routes) SeeLoad(endpoint string, l keeper.Load) {
	r.Tell(router.LoadSeen{Endpoint: endpoint, InUse: l.Online, Queued: l.Queued, Wait: l.Waiting})
}

// candidates returns the endpoints to try for the call, best first, without those tried already.
func (r *Routes) candidates(call Call, tried []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.router.Handle(time.Now(), router.Route{
		Serves: call.Serves, Blocks: call.Blocks, Bytes: call.Bytes, Exclude: tried,
	})
	return out[0].(router.Candidates).Endpoints
}
