// Package settings holds the static settings of one entry instance, shared by
// its gateway and its agent: addresses, failure domain, certificates, platform.
// Package config holds the settings that operators change at run time.
package settings

import "time"

// Instance is the settings file of one entry instance.
type Instance struct {
	// Instance is this instance's name, unique in the deployment.
	Instance string `yaml:"instance" validate:"required,name"`
	// Domain is the failure domain, Region its region.
	Domain string `yaml:"domain" validate:"required,name"`
	Region string `yaml:"region" validate:"required,name"`
	// Gateway and Agent hold the listening addresses of the two programs.
	Gateway Gateway `yaml:"gateway"`
	Agent   Agent   `yaml:"agent"`
	// Platform holds the addresses of the platform's services.
	Platform Platform `yaml:"platform"`
	// Seeds lists the agents to contact first, of this and other failure domains.
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
	// Callers is the address that serves callers' HTTP.
	Callers string `yaml:"callers" validate:"required,hostport"`
	// Peers is the address that serves requests forwarded by other gateways.
	Peers string `yaml:"peers" validate:"required,hostport"`
	// Control is the address that serves net/rpc to the local agent and other gateways.
	Control string `yaml:"control" validate:"required,hostport"`
	// CallersTLS is the certificate for callers; empty means plain HTTP.
	CallersTLS Pair `yaml:"callers_tls,omitempty"`
	// MaxBody bounds a request's body in bytes; zero means DefaultMaxBody.
	MaxBody int64 `yaml:"max_body,omitempty" validate:"gte=0"`
	// ClientMemory bounds what all clients together hold of heads and bodies, in bytes; zero means
	// DefaultClientMemory.
	ClientMemory int64 `yaml:"client_memory,omitempty" validate:"gte=0"`
	// MaxConnections bounds the open connections of callers; zero means DefaultMaxConnections, or
	// fewer if the system grants the process few descriptors.
	MaxConnections int `yaml:"max_connections,omitempty" validate:"gte=0"`
	// Drain bounds a graceful shutdown; zero means DefaultDrain.
	Drain time.Duration `yaml:"drain,omitempty" validate:"gte=0"`
}

// Agent holds the agent's addresses.
type Agent struct {
	// Mesh is the address that serves net/rpc to other agents.
	Mesh string `yaml:"mesh" validate:"required,hostport"`
	// Operators is the address that serves operators' HTTP.
	Operators string `yaml:"operators" validate:"required,hostport"`
	// OperatorsTLS is the certificate for operators; empty means plain HTTP.
	OperatorsTLS Pair `yaml:"operators_tls,omitempty"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	// KeyValue lists the key-value service's endpoints.
	KeyValue []string `yaml:"key_value" validate:"required,min=1,dive,hostport"`
	// Prefix is prepended to every key, so that deployments can share a service.
	Prefix string `yaml:"prefix" validate:"required"`
	// Directory, InstanceList and WeightStore are the other services; empty means none.
	Directory    string `yaml:"directory,omitempty" validate:"omitempty,hostport"`
	InstanceList string `yaml:"instance_list,omitempty" validate:"omitempty,hostport"`
	WeightStore  string `yaml:"weight_store,omitempty" validate:"omitempty,hostport"`
	// Access holds the TLS settings and credentials for each service.
	Access Access `yaml:"access,omitempty"`
}

// Seed is an agent from which membership and configuration are requested.
type Seed struct {
	Domain string `yaml:"domain" validate:"required,name"`
	Mesh   string `yaml:"mesh" validate:"required,hostport"`
}

// Security holds the credentials for links between instances.
type Security struct {
	// PlaintextLoopback permits plain text where no certificate or authority is
	// set; every address must then be loopback.
	PlaintextLoopback bool `yaml:"plaintext_loopback,omitempty"`
	// Certificate, Key and Authority are PEM files.
	Certificate string `yaml:"certificate,omitempty"`
	Key         string `yaml:"key,omitempty"`
	Authority   string `yaml:"authority,omitempty"`
}

// Plaintext reports whether links between instances are in plain text.
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
	// DefaultMaxBody is 8 MiB, well above the size of a month of sleep logs.
	DefaultMaxBody = 8 << 20
	// DefaultClientMemory is 64 MiB, eight of the largest bodies.
	DefaultClientMemory = 64 << 20
	// DefaultMaxConnections is the largest number of connections of callers.
	DefaultMaxConnections = 8192
	// DefaultDrain is the time that running streams have to end at shutdown.
	DefaultDrain = 10 * time.Minute
)
