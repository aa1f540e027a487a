// Package standin runs small stand-ins for what lilacweir's platform provides: the
// key-value service, the directory, the instance list, the weight store, model
// engines, plain services, and the links between failure domains. They implement
// the guarantees of the interfaces and fault injection, and simulate nothing more.
package standin

import (
	"time"

	"github.com/lilacweir/lilacweir/pkg/platform"
	"github.com/lilacweir/lilacweir/pkg/standin/engine"
	"github.com/lilacweir/lilacweir/pkg/standin/kv"
	"github.com/lilacweir/lilacweir/pkg/standin/link"
	"github.com/lilacweir/lilacweir/pkg/standin/service"
)

// Settings is the settings file of a stand-in process.
type Settings struct {
	// Admin holds the addresses of the fault injection API.
	Admin Admin `yaml:"admin"`
	// Platform configures the platform's services.
	Platform Platform `yaml:"platform"`
	// Engines and Services are the upstreams.
	Engines  []engine.Settings  `yaml:"engines" validate:"dive"`
	Services []service.Settings `yaml:"services" validate:"dive"`
	// Links are the relays between failure domains and to the platform.
	Links []link.Settings `yaml:"links" validate:"dive"`
}

// Admin holds the addresses of the fault injection API by group. A process that
// runs several groups uses the first of theirs in this order.
type Admin struct {
	Platform  string `yaml:"platform" validate:"required,hostport"`
	Upstreams string `yaml:"upstreams" validate:"required,hostport"`
	Links     string `yaml:"links" validate:"required,hostport"`
}

// Platform holds the settings of the platform's services.
type Platform struct {
	KeyValue  kv.Settings  `yaml:"key_value"`
	Directory Directory    `yaml:"directory"`
	List      InstanceList `yaml:"instance_list"`
	Weights   WeightStore  `yaml:"weight_store"`
}

// Directory configures the directory for clients.
type Directory struct {
	Address string `yaml:"address" validate:"required,hostport"`
}

// InstanceList configures the delayed list of instances.
type InstanceList struct {
	Address string `yaml:"address" validate:"required,hostport"`
	// Lag is the age of its answers.
	Lag time.Duration `yaml:"lag" validate:"gte=0"`
	// Instances is its initial content.
	Instances []Listed `yaml:"instances" validate:"dive"`
}

// Listed is an instance or upstream in the list.
type Listed struct {
	Name   string `yaml:"name" validate:"required,name"`
	Domain string `yaml:"domain" validate:"required,name"`
	// Mesh is the agent address of an entry instance, empty for upstreams.
	Mesh string `yaml:"mesh,omitempty" validate:"omitempty,hostport"`
}

// WeightStore configures the rate-limited store of model weights.
type WeightStore struct {
	Address string `yaml:"address" validate:"required,hostport"`
	// LoadsPerMinute is the rate of loads that it permits.
	LoadsPerMinute float64 `yaml:"loads_per_minute" validate:"gt=0"`
}

func (l InstanceList) listed() []platform.ListedInstance {
	listed := make([]platform.ListedInstance, 0, len(l.Instances))
	for _, instance := range l.Instances {
		listed = append(listed, platform.ListedInstance{Name: instance.Name, Domain: instance.Domain, Mesh: instance.Mesh})
	}
	return listed
}

// Group is a set of stand-ins that can run in its own process.
type Group string

// The groups.
const (
	GroupPlatform  Group = "platform"
	GroupUpstreams Group = "upstreams"
	GroupLinks     Group = "links"
)

// Selection chooses the stand-ins that a process runs.
type Selection struct {
	// Groups lists the groups to run; empty means all.
	Groups []Group
	// Upstreams names the upstreams to run; empty means all of them.
	Upstreams []string
	// Admin overrides the address of the fault injection API, unless empty.
	Admin string
}
