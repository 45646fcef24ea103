package declarer

import (
	"net/netip"
	"time"
)

// Declaration is one declared object: Account, Model, Service, Endpoint, Region, Link or Preset.
type Declaration interface {
	// Kind returns the kind as written in files.
	Kind() string
	// ID returns the name, unique within the kind.
	ID() string
	isDeclaration()
}

// Meta is the kind and the name of a declaration.
type Meta struct {
	KindName string `yaml:"kind" json:"kind" validate:"required"`
	Name     string `yaml:"name" json:"name" validate:"required,max=63,label"`
}

// Kind returns the kind as written in files.
func (m Meta) Kind() string { return m.KindName }

// ID returns the name, unique within the kind.
func (m Meta) ID() string { return m.Name }

func (m Meta) isDeclaration() {}

// AccountLimits are the rate limits of one account, over the whole fleet.
type AccountLimits struct {
	RequestsPerSecond float64 `yaml:"requestsPerSecond" json:"requestsPerSecond" validate:"required,gt=0"`
	TokensPerSecond   float64 `yaml:"tokensPerSecond" json:"tokensPerSecond" validate:"required,gt=0"`
}

// Account is a user of the fleet: its keys, of which only the hashes are stored, its limits and its weight.
type Account struct {
	Meta      `yaml:",inline"`
	KeyHashes []string      `yaml:"keyHashes" json:"keyHashes" validate:"required,min=1,dive,keyhash"`
	Limits    AccountLimits `yaml:"limits" json:"limits"`
	// Weight decides the account's share of an endpoint's slots among the accounts that use it; 0 counts as 1.
	Weight int `yaml:"weight,omitempty" json:"weight,omitempty" validate:"gte=0,lte=100"`
}

// Model is a language model that requests can name; its limits are in tokens.
type Model struct {
	Meta          `yaml:",inline"`
	ContextTokens int `yaml:"contextTokens" json:"contextTokens" validate:"required,gt=0"`
	DefaultTokens int `yaml:"defaultTokens" json:"defaultTokens" validate:"required,gt=0"`
}

// Route is a method and path prefix of a plain service; Path matches whole path segments.
type Route struct {
	Method       string        `yaml:"method" json:"method" validate:"required,oneof=GET POST PUT PATCH DELETE"`
	Path         string        `yaml:"path" json:"path" validate:"required,startswith=/"`
	IsIdempotent bool          `yaml:"idempotent" json:"idempotent"`
	Timeout      time.Duration `yaml:"timeout" json:"timeout" validate:"required,gt=0"`
}

// Service is a plain HTTP service, as opposed to a model engine.
type Service struct {
	Meta   `yaml:",inline"`
	Routes []Route `yaml:"routes" json:"routes" validate:"required,min=1,dive"`
}

// Endpoint is one model engine, which serves models, or one instance of a plain service; Slots is how many requests it runs at
// once. ChecksFencing is set if the engine refuses orders with an old fencing token. An endpoint that is leaving gets no new
// requests.
type Endpoint struct {
	Meta             `yaml:",inline"`
	Address          netip.AddrPort `yaml:"address" json:"address" validate:"required"`
	Region           string         `yaml:"region" json:"region" validate:"required"`
	AvailabilityZone string         `yaml:"availabilityZone" json:"availabilityZone" validate:"required"`
	Models           []string       `yaml:"models,omitempty" json:"models,omitempty" validate:"required_without=Service,excluded_with=Service"` //nolint:lll // a struct tag can't be split
	Service          string         `yaml:"service,omitempty" json:"service,omitempty"`
	Slots            int            `yaml:"slots" json:"slots" validate:"required,gt=0,lte=4096"`
	ChecksFencing    bool           `yaml:"checksFencing,omitempty" json:"checksFencing,omitempty"`
	IsLeaving        bool           `yaml:"leaving,omitempty" json:"leaving,omitempty"`
}

// Region is a set of availability zones; at most one region holds the platform's store.
type Region struct {
	Meta              `yaml:",inline"`
	AvailabilityZones []string `yaml:"availabilityZones" json:"availabilityZones" validate:"required,min=1,unique"`
	HoldsStore        bool     `yaml:"holdsStore,omitempty" json:"holdsStore,omitempty"`
}

// Link is the network link between two regions.
type Link struct {
	Meta           `yaml:",inline"`
	Regions        []string      `yaml:"regions" json:"regions" validate:"required,len=2,unique"`
	MegabitsPerSec float64       `yaml:"megabitsPerSecond" json:"megabitsPerSecond" validate:"required,gt=0"`
	OneWayDelay    time.Duration `yaml:"oneWayDelay" json:"oneWayDelay" validate:"required,gt=0"`
	// BulkShare is the part of the link's rate for transfers of the store's objects, OnlineOverflowShare the part for
	// online requests that overflow to the other region.
	BulkShare           float64 `yaml:"bulkShare" json:"bulkShare" validate:"gte=0,lte=1"`
	OnlineOverflowShare float64 `yaml:"onlineOverflowShare" json:"onlineOverflowShare" validate:"gte=0,lte=1"`
}

// OnlinePolicy holds the latency targets of online requests, the deadline of a request and the limit of an endpoint's queue.
type OnlinePolicy struct {
	FirstTokenTarget time.Duration `yaml:"firstTokenTarget" json:"firstTokenTarget" validate:"required,gt=0"`
	TokenGapTarget   time.Duration `yaml:"tokenGapTarget" json:"tokenGapTarget" validate:"required,gt=0"`
	Deadline         time.Duration `yaml:"deadline" json:"deadline" validate:"required,gt=0"`
	QueueLimit       int           `yaml:"queueLimit" json:"queueLimit" validate:"required,gt=0"`
}

// BatchPolicy limits how many of an endpoint's slots batch items may use, and bounds the deadline and attempts of an item.
type BatchPolicy struct {
	IsPaused bool `yaml:"paused,omitempty" json:"paused,omitempty"`
	// ReservedShare is the share of slots that batch items leave free for online requests.
	ReservedShare float64 `yaml:"reservedShare" json:"reservedShare" validate:"gte=0,lte=1"`
	// YieldFactor is how many batch slots each online slot displaces beyond the share YieldFrom of all slots; below 1 it
	// counts as 1.
	YieldFactor float64 `yaml:"yieldFactor,omitempty" json:"yieldFactor,omitempty" validate:"gte=0,lte=10"`
	YieldFrom   float64 `yaml:"yieldFrom,omitempty" json:"yieldFrom,omitempty" validate:"gte=0,lte=1"`
	// LatencyHeadroom is the fraction of the online latency targets above which fewer batch items may run.
	LatencyHeadroom float64 `yaml:"latencyHeadroom" json:"latencyHeadroom" validate:"gt=0,lte=1"`
	// MayPressOnOnline lets batch items under deadline pressure keep the share PressShare of all slots while online
	// requests wait.
	MayPressOnOnline bool          `yaml:"mayPressOnOnline,omitempty" json:"mayPressOnOnline,omitempty"`
	PressShare       float64       `yaml:"pressShare,omitempty" json:"pressShare,omitempty" validate:"gte=0,lte=0.5"`
	ItemDeadline     time.Duration `yaml:"itemDeadline" json:"itemDeadline" validate:"required,gt=0"`
	ItemAttempts     int           `yaml:"itemAttempts" json:"itemAttempts" validate:"required,gt=0,lte=10"`
}

// RetryPolicy limits retries to a share of the traffic: how many retries each online request or batch item adds to its budget.
type RetryPolicy struct {
	OnlineBudget float64 `yaml:"onlineBudget" json:"onlineBudget" validate:"gte=0,lte=0.5"`
	BatchBudget  float64 `yaml:"batchBudget" json:"batchBudget" validate:"gt=0,lte=0.5"`
}

// Preset is a named set of policies for one operating mode, such as an ordinary day, a peak or a maintenance window.
type Preset struct {
	Meta        `yaml:",inline"`
	Description string       `yaml:"description" json:"description" validate:"required"`
	Online      OnlinePolicy `yaml:"online" json:"online"`
	Batch       BatchPolicy  `yaml:"batch" json:"batch"`
	Retry       RetryPolicy  `yaml:"retry" json:"retry"`
	// AccountScale multiplies the rate limits of all accounts; 0 counts as 1.
	AccountScale float64 `yaml:"accountScale,omitempty" json:"accountScale,omitempty" validate:"gte=0,lte=10"`
}
