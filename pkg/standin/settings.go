// Package standin runs small stand-ins for what lilacweir's platform gives: the
// key-value service, the directory, the instance list, the weight store, model
// engines, plain services, and the links between failure domains. They promise
// what the interfaces promise, with fault switches, and simulate nothing more.
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
	// Admin is where the fault switches are served.
	Admin Admin `yaml:"admin"`
	// Platform holds the platform's services.
	Platform Platform `yaml:"platform"`
	// Engines and Services are the upstreams.
	Engines  []engine.Settings  `yaml:"engines" validate:"dive"`
	Services []service.Settings `yaml:"services" validate:"dive"`
	// Links are the relays between failure domains, and to the platform.
	Links []link.Settings `yaml:"links" validate:"dive"`
}

// Admin holds the address of the fault switches of a process that runs one group
// alone. A process that runs several uses the first of theirs in this order.
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

// Directory is the directory for clients.
type Directory struct {
	Address string `yaml:"address" validate:"required,hostport"`
}

// InstanceList is the lagging list of instances.
type InstanceList struct {
	Address string `yaml:"address" validate:"required,hostport"`
	// Lag is how old its answers are.
	Lag time.Duration `yaml:"lag" validate:"gte=0"`
	// Instances is what it lists at the start.
	Instances []Listed `yaml:"instances" validate:"dive"`
}

// Listed is an instance or upstream in the list.
type Listed struct {
	Name   string `yaml:"name" validate:"required,name"`
	Domain string `yaml:"domain" validate:"required,name"`
	// Mesh is an entry instance's agent address; empty for upstreams.
	Mesh string `yaml:"mesh,omitempty" validate:"omitempty,hostport"`
}

// WeightStore is the rate-limited store of weights.
type WeightStore struct {
	Address string `yaml:"address" validate:"required,hostport"`
	// LoadsPerMinute is how many loads it serves.
	LoadsPerMinute float64 `yaml:"loads_per_minute" validate:"gt=0"`
}

func (l InstanceList) listed() []platform.ListedInstance {
	listed := make([]platform.ListedInstance, 0, len(l.Instances))
	for _, instance := range l.Instances {
		listed = append(listed, platform.ListedInstance{Name: instance.Name, Domain: instance.Domain, Mesh: instance.Mesh})
	}
	return listed
}

// Group is a part of the stand-ins that can run in a process of its own.
type Group string

// The groups.
const (
	GroupPlatform  Group = "platform"
	GroupUpstreams Group = "upstreams"
	GroupLinks     Group = "links"
)

// Selection says which stand-ins a process runs.
type Selection struct {
	// Groups to run; empty means all.
	Groups []Group
	// Upstreams names the upstreams to run; empty means all of them.
	Upstreams []string
	// Admin replaces the address of the fault switches, unless empty.
	Admin string
}
