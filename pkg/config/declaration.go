// Package config implements the operators' configuration: the declaration, the
// operations that change it, and the accepted head that every node follows.
//
// Accepted changes are ordered by the compare-and-swaps of one head key. A node
// never goes back to a lower revision than it has applied. Applying a change to
// the same declaration gives the same declaration on every node.
package config

import "time"

// Declaration is the complete desired state, kept by operators in version control
// and applied with `lilacweir apply`. Lists are kept sorted by name, and an empty
// list is nil, so that equal declarations are equal values.
type Declaration struct {
	// Regions lists the regions and the failure domains inside each.
	Regions []Region `yaml:"regions" json:"regions,omitempty" validate:"required,min=1,dive"`
	// Models lists the models, their versions and where they may run.
	Models []Model `yaml:"models" json:"models,omitempty" validate:"dive"`
	// Services lists the plain services beside the model engines.
	Services []Service `yaml:"services,omitempty" json:"services,omitempty" validate:"dive"`
	// Upstreams lists every back end that requests may be sent to.
	Upstreams []Upstream `yaml:"upstreams" json:"upstreams,omitempty" validate:"dive"`
	// Callers lists who may send requests, and where they may be processed.
	Callers []Caller `yaml:"callers" json:"callers,omitempty" validate:"dive"`
	// Operators lists who may query and change the deployment.
	Operators []Operator `yaml:"operators" json:"operators,omitempty" validate:"dive"`
	// Spill lists the share of requests that a region may send to another.
	Spill []Spill `yaml:"spill,omitempty" json:"spill,omitempty" validate:"dive"`
	// Policy holds the weights and bounds of routing decisions.
	Policy Policy `yaml:"policy" json:"policy"`
}

// Region is a legal and geographic area to which data may be restricted.
type Region struct {
	Name string `yaml:"name" json:"name" validate:"required,name"`
	// Domains names the region's failure domains.
	Domains []string `yaml:"domains" json:"domains,omitempty" validate:"required,min=1,dive,name"`
}

// Model is a model that callers may ask for by name.
type Model struct {
	Name string `yaml:"name" json:"name" validate:"required,name"`
	// Versions lists the versions and the share of requests for each.
	Versions []ModelVersion `yaml:"versions" json:"versions,omitempty" validate:"required,min=1,dive"`
	// Regions names the regions in which the model may run.
	Regions []string `yaml:"regions" json:"regions,omitempty" validate:"required,min=1,dive,name"`
	// MaxTokens is the longest answer, in tokens, that a request may ask for.
	MaxTokens int `yaml:"max_tokens,omitempty" json:"max_tokens,omitempty" validate:"gte=0"`
}

// ModelVersion is one version of a model.
type ModelVersion struct {
	Name string `yaml:"name" json:"name" validate:"required,name"`
	// Percent is the share of the model's requests that this version serves,
	// 0 to 100. The percents of one model add up to 100.
	Percent int `yaml:"percent" json:"percent" validate:"gte=0,lte=100"`
}

// Service is a plain HTTP service that is reached through a path prefix.
type Service struct {
	Name string `yaml:"name" json:"name" validate:"required,name"`
	// Prefix is the path prefix, for example "/sleeplog/".
	Prefix string `yaml:"prefix" json:"prefix" validate:"required,startswith=/,endswith=/"`
	// Regions names the regions in which the service may run.
	Regions []string `yaml:"regions" json:"regions,omitempty" validate:"required,min=1,dive,name"`
	// Routes lists the calls that the service accepts. A call that matches none
	// is refused.
	Routes []Route `yaml:"routes" json:"routes,omitempty" validate:"required,min=1,dive"`
}

// Route is one call of a plain service.
type Route struct {
	Method string `yaml:"method" json:"method" validate:"required,oneof=GET HEAD POST PUT PATCH DELETE"`
	// Path is the part after the service's prefix, for example "uploads" for
	// "/sleeplog/uploads". A trailing "*" matches any rest.
	Path string `yaml:"path" json:"path" validate:"required"`
	// Repeatable marks the call as idempotent. It is false by default, the safe
	// choice, and the call then runs at most once.
	Repeatable bool `yaml:"repeatable" json:"repeatable"`
}

// UpstreamKind distinguishes model engines from plain services.
type UpstreamKind string

// The kinds of upstream.
const (
	KindEngine  UpstreamKind = "engine"
	KindService UpstreamKind = "service"
)

// Upstream is one back end.
type Upstream struct {
	Name string       `yaml:"name" json:"name" validate:"required,name"`
	Kind UpstreamKind `yaml:"kind" json:"kind" validate:"required,oneof=engine service"`
	// Serves names the model or the service.
	Serves string `yaml:"serves" json:"serves" validate:"required,name"`
	// Version is the model version that the engine should have loaded.
	Version string `yaml:"version,omitempty" json:"version,omitempty" validate:"omitempty,name"`
	// Domain is the failure domain of the upstream.
	Domain string `yaml:"domain" json:"domain" validate:"required,name"`
	// Address is the upstream's IP address and port.
	Address string `yaml:"address" json:"address" validate:"required,hostport"`
	// Concurrency is the number of requests that it may run at once.
	Concurrency int `yaml:"concurrency" json:"concurrency" validate:"gte=1"`
	// ChecksFencing is true when the engine refuses an order with an old fencing
	// number.
	ChecksFencing bool `yaml:"checks_fencing,omitempty" json:"checks_fencing,omitempty"`
	// Drained takes the upstream out of service, so that it gets no new requests.
	Drained bool `yaml:"drained,omitempty" json:"drained,omitempty"`
}

// Caller is an organisation that sends requests.
type Caller struct {
	Name string `yaml:"name" json:"name" validate:"required,name"`
	// KeyHash is "sha256:" and the hexadecimal hash of the caller's key.
	KeyHash string `yaml:"key_hash" json:"key_hash" validate:"required,keyhash"`
	// Home is the caller's region, which is preferred when several are permitted.
	Home string `yaml:"home" json:"home" validate:"required,name"`
	// Regions names the regions in which the caller's data may be processed.
	// When it is empty, every request of the caller is refused.
	Regions []string `yaml:"regions" json:"regions,omitempty" validate:"dive,name"`
	// Models names the models that the caller may use; empty means all.
	Models []string `yaml:"models,omitempty" json:"models,omitempty" validate:"dive,name"`
	// Share is the caller's weight in fair queueing; zero means 1.
	Share int `yaml:"share,omitempty" json:"share,omitempty" validate:"gte=0,lte=1000"`
	// Limits bounds the caller's use of all gateways together.
	Limits Limits `yaml:"limits,omitempty" json:"limits,omitzero"`
}

// Limits bounds one caller over all gateways of all failure domains. Zero means
// no limit.
type Limits struct {
	// RequestsPerSecond bounds the rate of accepted requests.
	RequestsPerSecond float64 `yaml:"requests_per_second,omitempty" json:"requests_per_second,omitempty" validate:"gte=0"`
	// TokensPerMinute bounds the rate of prompt and answer tokens together.
	TokensPerMinute int `yaml:"tokens_per_minute,omitempty" json:"tokens_per_minute,omitempty" validate:"gte=0"`
	// Concurrent bounds the requests in progress.
	Concurrent int `yaml:"concurrent,omitempty" json:"concurrent,omitempty" validate:"gte=0"`
}

// Any reports whether any limit is set.
func (l Limits) Any() bool { return l != Limits{} }

// Operator is a person who may query the state and change the declaration.
type Operator struct {
	Name string `yaml:"name" json:"name" validate:"required,name"`
	// KeyHash is "sha256:" and the hexadecimal hash of the operator's key.
	KeyHash string `yaml:"key_hash" json:"key_hash" validate:"required,keyhash"`
}

// Spill permits one region to send a share of its requests to another.
type Spill struct {
	From string `yaml:"from" json:"from" validate:"required,name"`
	To   string `yaml:"to" json:"to" validate:"required,name,nefield=From"`
	// Percent caps the share of From's requests that may be sent to To, 0 to 100.
	Percent int `yaml:"percent" json:"percent" validate:"gte=0,lte=100"`
}

// Policy holds the weights and bounds of routing decisions.
type Policy struct {
	// CostWeight shifts decisions from tail latency (0) to cost (1).
	CostWeight float64 `yaml:"cost_weight" json:"cost_weight" validate:"gte=0,lte=1"`
	// SpillMargin is the time by which a request must be predicted to end sooner
	// in another region before it is sent there, for example 300ms.
	SpillMargin Duration `yaml:"spill_margin,omitempty" json:"spill_margin,omitempty"`
	// KeyTTL is the lifetime of an idempotency key that the system issued; zero
	// means DefaultKeyTTL.
	KeyTTL Duration `yaml:"key_ttl,omitempty" json:"key_ttl,omitempty"`
	// WeightLoads is the number of engines of one failure domain that may load
	// weights at the same time; zero means 1.
	WeightLoads int `yaml:"weight_loads,omitempty" json:"weight_loads,omitempty" validate:"gte=0"`
}

// DefaultKeyTTL is the lifetime of an idempotency key when the policy sets none.
const DefaultKeyTTL = 15 * time.Minute

// Duration is a time.Duration that is written like "300ms" in YAML and JSON.
type Duration time.Duration

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return &DurationError{Text: string(text)}
	}
	*d = Duration(parsed)
	return nil
}

// DurationError reports text that is not a duration.
type DurationError struct {
	// Text is the text that was read.
	Text string
}

// Error implements error.
func (e *DurationError) Error() string {
	return "not a duration like 300ms or 15m: " + e.Text
}
