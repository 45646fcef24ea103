package assigner

import (
	"time"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/placer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
)

// Input is an event that an assigner handles.
type Input interface{ isInput() }

// Configured replaces the endpoints of the group.
type Configured struct {
	Endpoints []registrar.Endpoint
}

// Reported is a VM's report on the endpoints of the group.
type Reported struct {
	VM string
	// AvailabilityZone is the zone of the VM.
	AvailabilityZone string
	// Incarnation and Sequence order the reports of a VM; an older one is ignored.
	Incarnation int64
	Sequence    uint64
	// Acknowledged is the number of the newest order that the VM had received. The report takes account of this order and of all
	// earlier ones.
	Acknowledged uint64
	Report       placer.Report
	Observations []placer.Observation
	// Engines holds the number of requests that engines polled by the VM report.
	Engines map[placer.Key]int
}

// Asked is a request of a VM that needs an endpoint; it follows a Reported of the same VM.
type Asked struct {
	VM string
	// Number identifies the question in the reply.
	Number  uint64
	Request placer.Request
	// Excluded holds the endpoints to which this request must not be sent.
	Excluded []placer.Key
}

// RateLimitsNamed holds what endpoints said of their rate limits.
type RateLimitsNamed struct {
	Limits []placer.RateLimit
}

// Woken says that time has passed.
type Woken struct{}

func (Configured) isInput() {}
func (Reported) isInput()   {}
func (Asked) isInput()      {}
func (Woken) isInput()      {}

func (RateLimitsNamed) isInput() {}

// Output is an order or a reply to one VM.
type Output interface {
	// Recipient returns the VM to which the output is sent.
	Recipient() string
	// Number returns the number of the order; zero if a reply orders nothing.
	Number() uint64
}

// Placed replies to the Asked with the number Question. Its Order is zero if the decision is a refusal.
type Placed struct {
	VM       string
	Question uint64
	Order    uint64
	Decision placer.Decision
}

// BatchOffered lets a VM start one batch item at the endpoint. The offer ends after OfferTime.
type BatchOffered struct {
	VM       string
	Order    uint64
	Endpoint registrar.Endpoint
}

// PreemptionOrdered makes a VM stop batch items at the endpoint.
type PreemptionOrdered struct {
	VM    string
	Order uint64
	Key   placer.Key
	Items int
}

// RateLimitNotified tells a VM of the rate limit of an endpoint to which it sends a request: its answer may lift the limit.
type RateLimitNotified struct {
	VM    string
	Limit placer.RateLimit
}

// Recipient implements Output.
func (o RateLimitNotified) Recipient() string { return o.VM }

// Number implements Output.
func (o RateLimitNotified) Number() uint64 { return 0 }

// Recipient implements Output.
func (o Placed) Recipient() string { return o.VM }

// Recipient implements Output.
func (o BatchOffered) Recipient() string { return o.VM }

// Recipient implements Output.
func (o PreemptionOrdered) Recipient() string { return o.VM }

// Number implements Output.
func (o Placed) Number() uint64 { return o.Order }

// Number implements Output.
func (o BatchOffered) Number() uint64 { return o.Order }

// Number implements Output.
func (o PreemptionOrdered) Number() uint64 { return o.Order }

// OfferTime is how long a VM may use an offer or the reply to a question: several round trips between regions. After
// that, the assigner no longer counts it, unless a report of the VM does.
const OfferTime = 250 * time.Millisecond
