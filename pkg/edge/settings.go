package edge

import (
	"time"

	"github.com/lilacweir/lilacweir/pkg/quota"
	"github.com/lilacweir/lilacweir/pkg/yamlfile"
)

// Settings are the static settings of one instance, from a YAML file.
type Settings struct {
	// Instance is the instance's name, unique in the deployment.
	Instance string `yaml:"instance" validate:"required"`
	// FailureDomain and Region are the instance's location.
	FailureDomain string `yaml:"failure_domain" validate:"required"`
	Region        string `yaml:"region" validate:"required"`
	// Domains maps each failure domain of the deployment to its region.
	Domains map[string]string `yaml:"domains" validate:"required"`
	Listen  Listen            `yaml:"listen" validate:"required"`
	Store   Store             `yaml:"store" validate:"required"`
	Limits  Limits            `yaml:"limits"`
	Log     Log               `yaml:"log"`
}

// Listen holds the addresses to listen on, each an IP number and a port.
type Listen struct {
	// Callers is the address for callers' HTTP requests.
	Callers string `yaml:"callers" validate:"required"`
	// Health is the address of the readiness endpoint.
	Health string `yaml:"health" validate:"required"`
	// Directory is the address at which callers ask for the instances to use.
	Directory string `yaml:"directory" validate:"required"`
	// Peers is the address for forwarded requests of other instances, and Gossip that for their
	// net/rpc calls.
	Peers  string `yaml:"peers" validate:"required"`
	Gossip string `yaml:"gossip" validate:"required"`
	// Metrics is the address of the metrics endpoint, empty for none.
	Metrics string `yaml:"metrics"`
}

// Addresses returns all addresses.
func (l *Listen) Addresses() []string {
	return []string{l.Callers, l.Health, l.Directory, l.Peers, l.Gossip, l.Metrics}
}

// Store is the platform's key-value store.
type Store struct {
	Address string `yaml:"address" validate:"required"`
	// MinimumTTL is the shortest lease that the store grants.
	MinimumTTL time.Duration `yaml:"minimum_ttl"`
}

// Limits bound what the instance and the deployment as a whole may do.
type Limits struct {
	// MemoryMB is the process's memory in MiB, zero if it is unbounded.
	MemoryMB int `yaml:"memory_mb" validate:"gte=0"`
	// Descriptors is the number of descriptors that the process may open, zero for what the system grants.
	Descriptors int `yaml:"descriptors" validate:"gte=0"`
	// ClientMemoryMB bounds what all clients together hold of heads and bodies, in MiB, and
	// ClientConnections the callers' open connections. Zero derives them from MemoryMB and Descriptors.
	ClientMemoryMB    int `yaml:"client_memory_mb" validate:"gte=0"`
	ClientConnections int `yaml:"client_connections" validate:"gte=0"`
	// Grace is the longest time between SIGTERM and the end of the process.
	Grace time.Duration `yaml:"grace"`
	// RetryRatio and RetrySlack bound the retries that a service gets over RetryWindow and all
	// instances: RetryRatio times its requests, and RetrySlack more.
	RetryRatio  float64       `yaml:"retry_ratio"`
	RetrySlack  float64       `yaml:"retry_slack"`
	RetryWindow time.Duration `yaml:"retry_window"`
	// ColdFactor and ColdSlack bound the requests a second that a cold upstream may get:
	// ColdFactor times its declared rate, and ColdSlack more.
	ColdFactor float64 `yaml:"cold_factor"`
	ColdSlack  float64 `yaml:"cold_slack"`
	// UsageOverage and UsageSlack bound, over UsageWindow and all instances, by how much the
	// usage of an organisation may exceed its limit: a share of the limit's allowance in the
	// window, and a number of units more.
	UsageWindow  time.Duration `yaml:"usage_window"`
	UsageOverage float64       `yaml:"usage_overage"`
	UsageSlack   float64       `yaml:"usage_slack"`
	// DirectoryTTL is the time for which callers may cache the directory's answer.
	DirectoryTTL time.Duration `yaml:"directory_ttl"`
}

// Log holds the settings of the log.
type Log struct {
	// Level is debug, info, warn or error. Empty means info.
	Level string `yaml:"level"`
}

// Defaults of settings that are left out.
const (
	defaultGrace        = 8 * time.Second
	defaultRetryRatio   = 0.1
	defaultRetryWindow  = 10 * time.Second
	defaultColdFactor   = 1.0
	defaultDirectoryTTL = 2 * time.Second
)

// LoadSettings reads and checks a settings file. The error is a *yamlfile.ReadError or a
// *yamlfile.Error with all faults.
func LoadSettings(file string) (*Settings, error) {
	settings := new(Settings)
	if err := yamlfile.Load(file, settings); err != nil {
		return nil, err
	}
	settings.Limits.fill()
	return settings, nil
}

func (l *Limits) usageTolerance() quota.Tolerance {
	return quota.Tolerance{Window: l.UsageWindow, Overage: l.UsageOverage, Slack: l.UsageSlack}
}

func (l *Limits) fill() {
	setDefault(&l.Grace, defaultGrace)
	setDefault(&l.RetryRatio, defaultRetryRatio)
	setDefault(&l.RetryWindow, defaultRetryWindow)
	setDefault(&l.ColdFactor, defaultColdFactor)
	setDefault(&l.DirectoryTTL, defaultDirectoryTTL)
}

func setDefault[T comparable](value *T, otherwise T) {
	var none T
	if *value == none {
		*value = otherwise
	}
}
