package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/settings"
	"github.com/lilacweir/lilacweir/pkg/yamlfile"
)

const valid = `instance: kal-1
domain: kalamaria-hall
region: makedonia
gateway:
  callers: 127.0.0.1:8080
  peers: 127.0.0.1:8081
  control: 127.0.0.1:8082
agent:
  mesh: 127.0.0.1:8090
  operators: 127.0.0.1:8091
platform:
  key_value: [127.0.0.1:2379]
  prefix: test/
seeds: [{domain: larisa-hall, mesh: 127.0.0.2:8090}]
dial_via: {127.0.0.2:8090: 127.0.0.3:8090}
security:
  plaintext_loopback: true
`

func TestSecurityOfAddresses(t *testing.T) {
	tests := []struct {
		name, old, new string
		want           []string
	}{
		{"listens elsewhere", "peers: 127.0.0.1:8081", "peers: 10.0.0.1:8081", []string{
			`s.yaml:6: gateway.peers: got "10.0.0.1:8081", expected a loopback address, since plaintext_loopback is set`}},
		{"any address", "mesh: 127.0.0.1:8090", "mesh: 0.0.0.0:8090", []string{
			`s.yaml:9: agent.mesh: got "0.0.0.0:8090", expected a loopback address, since plaintext_loopback is set`}},
		{"seed elsewhere", "mesh: 127.0.0.2:8090", "mesh: 10.0.0.2:8090", []string{
			`s.yaml:14: seeds[0].mesh: got "10.0.0.2:8090", expected a loopback address, since plaintext_loopback is set`}},
		{"dials elsewhere", ": 127.0.0.3:8090", ": 10.0.0.3:8090", []string{
			`s.yaml:15: dial_via[127.0.0.2:8090]: got "10.0.0.3:8090", expected a loopback address, since plaintext_loopback is set`}},
		{"neither", "  plaintext_loopback: true", "  certificate: c.pem", []string{
			"s.yaml:4: gateway.callers_tls.certificate: missing, expected a PEM file, since plaintext_loopback is not set",
			"s.yaml:4: gateway.callers_tls.key: missing, expected a PEM file, since plaintext_loopback is not set",
			"s.yaml:8: agent.operators_tls.certificate: missing, expected a PEM file, since plaintext_loopback is not set",
			"s.yaml:8: agent.operators_tls.key: missing, expected a PEM file, since plaintext_loopback is not set",
			"s.yaml:11: platform.access.key_value.tls.authority: missing, expected a PEM file, since plaintext_loopback is not set",
			"s.yaml:16: security.key: missing, expected a PEM file, since plaintext_loopback is not set",
			"s.yaml:16: security.authority: missing, expected a PEM file, since plaintext_loopback is not set"}},
		{"half a pair", "  operators:", "  operators_tls: {key: k.pem}\n  operators:", []string{
			"s.yaml:10: agent.operators_tls.certificate: missing, expected a PEM file, since another key of this block is set"}},
		{"no password", "  prefix:", "  access: {key_value: {user: me, tls: {server_name: kv}}}\n  prefix:", []string{
			"s.yaml:13: platform.access.key_value.tls.authority: missing, expected a PEM file, since another key of this block is set",
			"s.yaml:13: platform.access.key_value.password_file: missing, expected a file, since user is set"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			_, err := settings.Parse("s.yaml", []byte(strings.Replace(valid, test.old, test.new, 1)))
			var faults *yamlfile.Error
			is.True(errors.As(err, &faults))
			is.Equal(err.Error(), strings.Join(test.want, "\n"))
		})
	}
}

func TestLoadDeployedSettings(t *testing.T) {
	files, err := filepath.Glob("../../deploy/*/*-[0-9].yaml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no settings: %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			is := is.New(t)
			loaded, err := settings.Load(file)
			is.NoErr(err)
			is.Equal(loaded.Instance+".yaml", filepath.Base(file))
		})
	}
	_, err = settings.Load("absent.yaml")
	if !errors.Is(err, os.ErrNotExist) {
		t.Fatalf("absent file: %v", err)
	}
}
