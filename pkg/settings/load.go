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

// Parse checks settings that were read already; file is only used in faults. It
// does not open the files that the settings name (see Check).
func Parse(file string, data []byte) (*Instance, error) {
	instance, doc := parse(file, data)
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return instance, nil
}

func parse(file string, data []byte) (*Instance, *yamlfile.Document) {
	instance := new(Instance)
	doc := yamlfile.Read(file, data, instance)
	instance.checkSecurity(doc)
	return instance, doc
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

// checkLoopback adds a fault for an address that is not loopback. An invalid
// address has a fault already.
func checkLoopback(doc *yamlfile.Document, key, address string) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Addr().IsLoopback() {
		return
	}
	doc.Add(key, `got "`+address+`"`, "a loopback address, since plaintext_loopback is set")
}
