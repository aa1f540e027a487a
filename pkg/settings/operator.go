package settings

// Client is the settings file of the operators' command line.
type Client struct {
	// Servers lists the agents' addresses for operators; the first that answers is
	// used.
	Servers []string `yaml:"servers" validate:"required,min=1,dive,hostport"`
	// Gateways lists gateways' addresses for callers, for the commands ask and call.
	Gateways []string `yaml:"gateways,omitempty" validate:"dive,hostport"`
	// Authority is the PEM file that the servers' and gateways' certificates are
	// checked against; empty means plain HTTP.
	Authority string `yaml:"authority,omitempty"`
	// Operator is the operator's name.
	Operator string `yaml:"operator" validate:"required,name"`
	// KeyFile holds the operator's key; empty means the environment holds it.
	KeyFile string `yaml:"key_file,omitempty"`
}
