package settings

import "github.com/lilacweir/lilacweir/pkg/yamlfile"

// Expected values in faults, with the reason why they are required.
const (
	expectSecure   = "a PEM file, since plaintext_loopback is not set"
	expectTogether = "a PEM file, since another key of this block is set"
	expectSecret   = "a file, since user is set"
	expectUser     = "a name, since password_file is set"
)

// checkSecurity requires loopback addresses where plain text is permitted,
// certificates everywhere else, and complete groups of related keys.
func (s *Instance) checkSecurity(doc *yamlfile.Document) {
	if s.Security.PlaintextLoopback {
		s.checkLoopback(doc)
	}
	secure := !s.Security.PlaintextLoopback
	links := s.Security
	requireAll(doc, "security", secure, setting{"certificate", links.Certificate}, setting{"key", links.Key}, setting{"authority", links.Authority})
	checkPair(doc, "gateway.callers_tls", secure, s.Gateway.CallersTLS)
	checkPair(doc, "agent.operators_tls", secure, s.Agent.OperatorsTLS)
	for _, service := range s.Platform.services() {
		service.check(doc, secure && service.used)
	}
	keyValue := s.Platform.Access.KeyValue
	if keyValue.User != "" && keyValue.PasswordFile == "" {
		doc.Add("platform.access.key_value.password_file", "missing", expectSecret)
	}
	if keyValue.User == "" && keyValue.PasswordFile != "" {
		doc.Add("platform.access.key_value.user", "missing", expectUser)
	}
}

// setting is a key of a block with its value.
type setting struct{ key, value string }

// requireAll requires all values when required is true or one of them is set.
func requireAll(doc *yamlfile.Document, block string, required bool, values ...setting) {
	expected := expectSecure
	if !required {
		expected = expectTogether
		for _, one := range values {
			required = required || one.value != ""
		}
	}
	for _, one := range values {
		if required && one.value == "" {
			doc.Add(block+"."+one.key, "missing", expected)
		}
	}
}

func checkPair(doc *yamlfile.Document, block string, required bool, pair Pair) {
	requireAll(doc, block, required, setting{"certificate", pair.Certificate}, setting{"key", pair.Key})
}

// serviceAccess holds the TLS settings and credentials for one service of the platform.
type serviceAccess struct {
	// block is the path of the service's keys.
	block string
	// used is true when the settings name an address of the service.
	used bool
	tls  ClientTLS
	// secretKey is the last part of the key that names the secret's file.
	secretKey, secret string
}

func (p *Platform) services() []serviceAccess {
	a := p.Access
	return []serviceAccess{
		{"platform.access.key_value", true, a.KeyValue.TLS, "password_file", a.KeyValue.PasswordFile},
		{"platform.access.directory", p.Directory != "", a.Directory.TLS, "token_file", a.Directory.TokenFile},
		{"platform.access.instance_list", p.InstanceList != "", a.InstanceList.TLS, "token_file", a.InstanceList.TokenFile},
		{"platform.access.weight_store", p.WeightStore != "", a.WeightStore.TLS, "token_file", a.WeightStore.TokenFile},
	}
}

// check requires an authority where plain text is not permitted, or where another
// key of the block has no effect without one.
func (a serviceAccess) check(doc *yamlfile.Document, required bool) {
	block := a.block + ".tls"
	checkPair(doc, block, false, Pair{Certificate: a.tls.Certificate, Key: a.tls.Key})
	if a.tls.Authority != "" {
		return
	}
	if required {
		doc.Add(block+".authority", "missing", expectSecure)
	} else if a.tls != (ClientTLS{}) {
		doc.Add(block+".authority", "missing", expectTogether)
	}
}
