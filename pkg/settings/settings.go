// Package settings holds the static settings of one entry instance, shared by
// its gateway and its agent: addresses, failure domain, certificates, platform.
// What operators change while the system runs is not here but in package config.
package settings

import "time"

// Instance is the settings file of one entry instance.
type Instance struct {
	// Instance is this instance's name, unique in the deployment.
	Instance string `yaml:"instance" validate:"required,name"`
	// Domain is the failure domain, Region the region that it lies in.
	Domain string `yaml:"domain" validate:"required,name"`
	Region string `yaml:"region" validate:"required,name"`
	// Gateway and Agent hold the listening addresses of the two programs.
	Gateway Gateway `yaml:"gateway"`
	Agent   Agent   `yaml:"agent"`
	// Platform says where the platform's services are.
	Platform Platform `yaml:"platform"`
	// Seeds names agents to ask first, of this and of other failure domains.
	Seeds []Seed `yaml:"seeds" validate:"dive"`
	// DialVia replaces addresses when dialing, for address translation between
	// failure domains. Keys and values are host:port.
	DialVia map[string]string `yaml:"dial_via,omitempty" validate:"dive,keys,hostport,endkeys,hostport"`
	// Security holds the certificates of links between instances.
	Security Security `yaml:"security"`
	// Log holds the logging settings.
	Log Log `yaml:"log,omitempty"`
}

// Gateway holds the gateway's addresses and bounds.
type Gateway struct {
	// Callers is where callers' HTTP is served.
	Callers string `yaml:"callers" validate:"required,hostport"`
	// Peers is where other gateways' forwarded requests are served.
	Peers string `yaml:"peers" validate:"required,hostport"`
	// Control is where net/rpc from the local agent and other gateways is served.
	Control string `yaml:"control" validate:"required,hostport"`
	// CallersTLS is the certificate for callers; empty means plain HTTP.
	CallersTLS Pair `yaml:"callers_tls,omitempty"`
	// MaxBody bounds a request's body in bytes; zero means DefaultMaxBody.
	MaxBody int64 `yaml:"max_body,omitempty" validate:"gte=0"`
	// Drain bounds a graceful shutdown; zero means DefaultDrain.
	Drain time.Duration `yaml:"drain,omitempty" validate:"gte=0"`
}

// Agent holds the agent's addresses.
type Agent struct {
	// Mesh is where net/rpc from other agents is served.
	Mesh string `yaml:"mesh" validate:"required,hostport"`
	// Operators is where operators' HTTP is served.
	Operators string `yaml:"operators" validate:"required,hostport"`
	// OperatorsTLS is the certificate for operators; empty means plain HTTP.
	OperatorsTLS Pair `yaml:"operators_tls,omitempty"`
}

// Platform says where the platform's services are.
type Platform struct {
	// KeyValue lists the key-value service's endpoints.
	KeyValue []string `yaml:"key_value" validate:"required,min=1,dive,hostport"`
	// Prefix is put before every key, so that deployments can share a service.
	Prefix string `yaml:"prefix" validate:"required"`
	// Directory, InstanceList and WeightStore are the other services; empty means none.
	Directory    string `yaml:"directory,omitempty" validate:"omitempty,hostport"`
	InstanceList string `yaml:"instance_list,omitempty" validate:"omitempty,hostport"`
	WeightStore  string `yaml:"weight_store,omitempty" validate:"omitempty,hostport"`
	// Access says how each service is spoken to.
	Access Access `yaml:"access,omitempty"`
}

// Seed is an agent that may be asked for membership and configuration.
type Seed struct {
	Domain string `yaml:"domain" validate:"required,name"`
	Mesh   string `yaml:"mesh" validate:"required,hostport"`
}

// Security holds the material for links between instances.
type Security struct {
	// PlaintextLoopback permits plain text where no certificate or authority is
	// named; every address must then be loopback.
	PlaintextLoopback bool `yaml:"plaintext_loopback,omitempty"`
	// Certificate, Key and Authority are PEM files.
	Certificate string `yaml:"certificate,omitempty"`
	Key         string `yaml:"key,omitempty"`
	Authority   string `yaml:"authority,omitempty"`
}

// Plaintext tells whether links between instances are in plain text.
func (s Security) Plaintext() bool {
	return s.PlaintextLoopback && s.Certificate == "" && s.Key == "" && s.Authority == ""
}

// Log holds the logging settings.
type Log struct {
	// Level is debug, info, warn or error; empty means info.
	Level string `yaml:"level,omitempty" validate:"omitempty,oneof=debug info warn error"`
}

// Defaults of the gateway's bounds.
const (
	// DefaultMaxBody is 8 MiB: a month of sleep logs fits with room to spare.
	DefaultMaxBody = 8 << 20
	// DefaultDrain is how long running streams may take to end at shutdown.
	DefaultDrain = 10 * time.Minute
)
