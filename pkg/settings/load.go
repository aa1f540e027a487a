package settings

import (
	"fmt"
	"net/netip"

	"github.com/lilacweir/lilacweir/pkg/yamlfile"
)

// Load reads and checks the settings of one instance. The error is a
// *yamlfile.ReadError or a *yamlfile.Error with all faults.
func Load(file string) (*Instance, error) {
	data, err := yamlfile.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, data)
}

// Parse checks settings that have been read; file is used in faults alone.
func Parse(file string, data []byte) (*Instance, error) {
	instance := new(Instance)
	doc := yamlfile.Read(file, data, instance)
	instance.checkSecurity(doc)
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return instance, nil
}

// checkSecurity requires loopback addresses where plain text is permitted, and
// certificates everywhere else.
func (s *Instance) checkSecurity(doc *yamlfile.Document) {
	if s.Security.PlaintextLoopback {
		s.checkLoopback(doc)
		return
	}
	const expected = "a PEM file, since plaintext_loopback is not set"
	requireFile(doc, "security.certificate", s.Security.Certificate, expected)
	requireFile(doc, "security.key", s.Security.Key, expected)
	requireFile(doc, "security.authority", s.Security.Authority, expected)
}

func requireFile(doc *yamlfile.Document, key, value, expected string) {
	if value == "" {
		doc.Add(key, "missing", expected)
	}
}

func (s *Instance) checkLoopback(doc *yamlfile.Document) {
	checkLoopback(doc, "gateway.callers", s.Gateway.Callers)
	checkLoopback(doc, "gateway.peers", s.Gateway.Peers)
	checkLoopback(doc, "gateway.control", s.Gateway.Control)
	checkLoopback(doc, "agent.mesh", s.Agent.Mesh)
	checkLoopback(doc, "agent.operators", s.Agent.Operators)
	for i, endpoint := range s.Platform.KeyValue {
		checkLoopback(doc, fmt.Sprintf("platform.key_value[%d]", i), endpoint)
	}
	checkLoopback(doc, "platform.directory", s.Platform.Directory)
	checkLoopback(doc, "platform.instance_list", s.Platform.InstanceList)
	checkLoopback(doc, "platform.weight_store", s.Platform.WeightStore)
	for i, seed := range s.Seeds {
		checkLoopback(doc, fmt.Sprintf("seeds[%d].mesh", i), seed.Mesh)
	}
	for from, to := range s.DialVia {
		checkLoopback(doc, "dial_via["+from+"]", from)
		checkLoopback(doc, "dial_via["+from+"]", to)
	}
}

// checkLoopback adds a fault for an address that is not loopback. Text that is
// no address has its own fault already.
func checkLoopback(doc *yamlfile.Document, key, address string) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Addr().IsLoopback() {
		return
	}
	doc.Add(key, `got "`+address+`"`, "a loopback address, since plaintext_loopback is set")
}
