package settings

// Access holds the TLS settings and credentials for the platform's services.
type Access struct {
	KeyValue     KeyValueAccess `yaml:"key_value,omitempty"`
	Directory    TokenAccess    `yaml:"directory,omitempty"`
	InstanceList TokenAccess    `yaml:"instance_list,omitempty"`
	WeightStore  TokenAccess    `yaml:"weight_store,omitempty"`
}

// KeyValueAccess holds the TLS settings and credentials for the key-value service.
type KeyValueAccess struct {
	TLS ClientTLS `yaml:"tls,omitempty"`
	// User and the password in PasswordFile are exchanged for tokens. They are empty
	// when the service requires none.
	User         string `yaml:"user,omitempty"`
	PasswordFile string `yaml:"password_file,omitempty"`
}

// TokenAccess holds the TLS settings and credentials for a service with bearer tokens.
type TokenAccess struct {
	TLS ClientTLS `yaml:"tls,omitempty"`
	// TokenFile holds the bearer token; empty when the service requires none.
	TokenFile string `yaml:"token_file,omitempty"`
}

// ClientTLS holds the TLS settings of a client.
type ClientTLS struct {
	// Authority is the PEM file that the service's certificate is checked against;
	// empty means plain text.
	Authority string `yaml:"authority,omitempty"`
	// Certificate and Key are the client's, for a service that requires them.
	Certificate string `yaml:"certificate,omitempty"`
	Key         string `yaml:"key,omitempty"`
	// ServerName is the name that the service's certificate must hold; empty means
	// the host of its address.
	ServerName string `yaml:"server_name,omitempty"`
}

// Pair names the PEM files of a certificate and its key.
type Pair struct {
	Certificate string `yaml:"certificate,omitempty"`
	Key         string `yaml:"key,omitempty"`
}
