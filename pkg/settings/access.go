package settings

// Access says how the platform's services are spoken to.
type Access struct {
	KeyValue     KeyValueAccess `yaml:"key_value,omitempty"`
	Directory    TokenAccess    `yaml:"directory,omitempty"`
	InstanceList TokenAccess    `yaml:"instance_list,omitempty"`
	WeightStore  TokenAccess    `yaml:"weight_store,omitempty"`
}

// KeyValueAccess is how the key-value service is spoken to.
type KeyValueAccess struct {
	TLS ClientTLS `yaml:"tls,omitempty"`
	// User and the password in PasswordFile are exchanged for tokens; empty means
	// that the service asks for none.
	User         string `yaml:"user,omitempty"`
	PasswordFile string `yaml:"password_file,omitempty"`
}

// TokenAccess is how a service with bearer tokens is spoken to.
type TokenAccess struct {
	TLS ClientTLS `yaml:"tls,omitempty"`
	// TokenFile holds the bearer token; empty means that the service asks for none.
	TokenFile string `yaml:"token_file,omitempty"`
}

// ClientTLS is a client's side of TLS.
type ClientTLS struct {
	// Authority is the PEM file that the service's certificate is checked against;
	// empty means plain text.
	Authority string `yaml:"authority,omitempty"`
	// Certificate and Key are the own ones, for a service that asks for them.
	Certificate string `yaml:"certificate,omitempty"`
	Key         string `yaml:"key,omitempty"`
	// ServerName is whom the service's certificate must name; empty means the host
	// of its address.
	ServerName string `yaml:"server_name,omitempty"`
}

// Pair names the PEM files of a certificate and its key.
type Pair struct {
	Certificate string `yaml:"certificate,omitempty"`
	Key         string `yaml:"key,omitempty"`
}
