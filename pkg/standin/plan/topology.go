// Package plan turns a short description of a deployment on loopback into the
// settings of every process, and into the operators' declaration.
//
// Addresses, for the second octet N: entry instance n of failure domain d has
// 127.N.d.n, the platform 127.N.0.1, upstream m of domain d 127.N.(100+d).m, and
// the links out of domain d listen on 127.N.(200+d).x. Processes exchange only
// targets' real addresses, and dial links through their dial_via setting.
package plan

import (
	"fmt"
	"time"

	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/yamlfile"
)

// Topology describes a deployment.
type Topology struct {
	// Name is the deployment's name and its key prefix in the key-value service.
	Name    string   `yaml:"name" validate:"required,name"`
	Regions []Region `yaml:"regions" validate:"required,min=1,dive"`
	Delays  Delays   `yaml:"delays"`
	// Platform sets the limits of the platform's services.
	Platform  Platform  `yaml:"platform"`
	Models    []Model   `yaml:"models" validate:"dive"`
	Services  []Service `yaml:"services" validate:"dive"`
	Callers   []Caller  `yaml:"callers" validate:"dive"`
	Operators []string  `yaml:"operators" validate:"required,min=1,dive,name"`
	// Spill and Policy are copied to the declaration.
	Spill  []config.Spill `yaml:"spill" validate:"dive"`
	Policy config.Policy  `yaml:"policy"`
}

// Region is a region with its failure domains.
type Region struct {
	Name    string   `yaml:"name" validate:"required,name"`
	Domains []Domain `yaml:"domains" validate:"required,min=1,dive"`
}

// Domain is a failure domain with its entry instances, named PREFIX-1 and on.
type Domain struct {
	Name      string `yaml:"name" validate:"required,name"`
	Prefix    string `yaml:"prefix" validate:"required,name"`
	Instances int    `yaml:"instances" validate:"gte=1,lte=250"`
}

// Delays are one-way delays.
type Delays struct {
	// Regions applies between failure domains of different regions, Domains between
	// those of one region, Platform between any of them and the platform.
	Regions  time.Duration `yaml:"regions" validate:"gte=0"`
	Domains  time.Duration `yaml:"domains" validate:"gte=0"`
	Platform time.Duration `yaml:"platform" validate:"gte=0"`
}

// Platform sets the limits of the platform's services.
type Platform struct {
	WritesPerSecond int           `yaml:"writes_per_second" validate:"gte=1"`
	ReadsPerSecond  int           `yaml:"reads_per_second" validate:"gte=1"`
	ListLag         time.Duration `yaml:"list_lag" validate:"gte=0"`
	LoadsPerMinute  float64       `yaml:"loads_per_minute" validate:"gt=0"`
}

// Model is a model with its engines, named PREFIX-DOMAINPREFIX-1 and on.
type Model struct {
	Name     string                `yaml:"name" validate:"required,name"`
	Versions []config.ModelVersion `yaml:"versions" validate:"required,min=1,dive"`
	// MaxTokens is the maximum length of an answer, in tokens.
	MaxTokens int    `yaml:"max_tokens" validate:"gte=0"`
	Engine    Engine `yaml:"engine"`
}

// Engine describes the engines of a model, the same in every failure domain.
type Engine struct {
	Prefix        string        `yaml:"prefix" validate:"required,name"`
	PerDomain     int           `yaml:"per_domain" validate:"gte=1,lte=120"`
	Concurrency   int           `yaml:"concurrency" validate:"gte=1"`
	DecodeRate    float64       `yaml:"decode_rate" validate:"gt=0"`
	BatchCost     float64       `yaml:"batch_cost" validate:"gte=0"`
	PrefillRate   float64       `yaml:"prefill_rate" validate:"gt=0"`
	CacheTokens   int           `yaml:"cache_tokens" validate:"gte=0"`
	LoadLag       time.Duration `yaml:"load_lag" validate:"gt=0"`
	EventLag      time.Duration `yaml:"event_lag" validate:"gte=0"`
	LoadTime      time.Duration `yaml:"load_time" validate:"gte=0"`
	ChecksFencing bool          `yaml:"checks_fencing"`
}

// Service is a plain service with its servers, named PREFIX-DOMAINPREFIX-1 and on.
type Service struct {
	Name        string         `yaml:"name" validate:"required,name"`
	Path        string         `yaml:"path" validate:"required,startswith=/,endswith=/"`
	Routes      []config.Route `yaml:"routes" validate:"required,min=1,dive"`
	Prefix      string         `yaml:"prefix" validate:"required,name"`
	PerDomain   int            `yaml:"per_domain" validate:"gte=1,lte=120"`
	Concurrency int            `yaml:"concurrency" validate:"gte=1"`
	Latency     time.Duration  `yaml:"latency" validate:"gte=0"`
}

// Caller is a caller; its key is "key-" followed by its name.
type Caller struct {
	Name    string   `yaml:"name" validate:"required,name"`
	Home    string   `yaml:"home" validate:"required,name"`
	Regions []string `yaml:"regions" validate:"required,min=1,dive,name"`
	Share   int      `yaml:"share,omitempty" validate:"gte=0,lte=1000"`
}

// FileError reports a file that cannot be written.
type FileError struct {
	File string
	Err  error
}

// Error implements error.
func (e *FileError) Error() string { return fmt.Sprintf("%s: %v", e.File, e.Err) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// Load reads a topology. Its error lists every problem with file, line and key.
func Load(file string) (Topology, error) {
	var topology Topology
	err := yamlfile.Load(file, &topology)
	return topology, err
}
