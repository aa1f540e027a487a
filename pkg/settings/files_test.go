package settings_test

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/settings"
	"github.com/lilacweir/lilacweir/pkg/standin/certificate"
)

// TestCheckOpensEveryFile checks faulty files at each kind of key.
func TestCheckOpensEveryFile(t *testing.T) {
	directory := t.TempDir()
	good := issue(t, directory, "kal-1")
	other := issue(t, directory, "kal-2")
	file := func(name, text string) string {
		path := filepath.Join(directory, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	nonsense, empty, lines := file("nonsense", "secret words"), file("empty", " \n"), file("lines", "one\ntwo\n")
	absent, password := filepath.Join(directory, "absent"), file("password", "word\n")
	const year = 365 * 24 * time.Hour
	now := time.Now()
	tests := []struct {
		name, block string // %s stands for the file under test
		file        string
		at          time.Time
		want        string // what follows the file's name; empty for no fault
	}{
		{"links", "security: {certificate: " + good.Certificate + ", key: " + good.Key + ", authority: %s}", good.Authority, now, ""},
		{"links' authority", "security: {certificate: " + good.Certificate + ", key: " + good.Key + ", authority: %s}", nonsense, now, "security.authority: F: holds no certificate"},
		{"another's key", "security: {certificate: " + good.Certificate + ", key: %s, authority: " + good.Authority + "}", other.Key, now,
			"security.key: F: no key of " + good.Certificate + ": tls: private key does not match public key"},
		{"no key", "gateway: {callers_tls: {certificate: " + good.Certificate + ", key: %s}}", nonsense, now,
			"gateway.callers_tls.key: F: no key of " + good.Certificate + ": tls: failed to find any PEM data in key input"},
		{"key absent", "agent: {operators_tls: {certificate: " + good.Certificate + ", key: %s}}", absent, now, "agent.operators_tls.key: F: no such file or directory"},
		{"expired", "agent: {operators_tls: {certificate: %s, key: " + good.Key + "}}", good.Certificate, now.Add(year), "agent.operators_tls.certificate: F: expired "},
		{"not yet valid", "agent: {operators_tls: {certificate: %s, key: " + good.Key + "}}", good.Certificate, now.Add(-year), "agent.operators_tls.certificate: F: not valid before "},
		{"expired authority", "platform: {access: {directory: {tls: {authority: %s}}}}", good.Authority, now.Add(year), "platform.access.directory.tls.authority: F: expired "},
		{"own certificate", "platform: {access: {key_value: {tls: {authority: " + good.Authority + ", certificate: %s, key: " + good.Key + "}}}}", directory, now,
			"platform.access.key_value.tls.certificate: F: is a directory"},
		{"password", "platform: {access: {key_value: {user: me, password_file: %s}}}", password, now, ""},
		{"no password", "platform: {access: {key_value: {user: me, password_file: %s}}}", empty, now, "platform.access.key_value.password_file: F: is empty"},
		{"token of lines", "platform: {access: {weight_store: {token_file: %s}}}", lines, now, "platform.access.weight_store.token_file: F: holds more than one line"},
		{"token absent", "platform: {access: {instance_list: {token_file: %s}}}", absent, now, "platform.access.instance_list.token_file: F: no such file or directory"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			data := with(valid, fmt.Sprintf(test.block, test.file))
			_, err := settings.CheckData("s.yaml", []byte(data), test.at)
			if test.want == "" {
				is.NoErr(err)
				return
			}
			is.True(err != nil)
			line := fmt.Sprintf("s.yaml:%d: ", lineOf(data, test.file))
			is.True(strings.HasPrefix(err.Error(), line+strings.Replace(test.want, "F:", test.file+":", 1)))
			is.Equal(strings.Count(err.Error(), "\n"), 0) // no other fault
			is.True(!strings.Contains(err.Error(), "secret words"))
		})
	}
	client := fmt.Sprintf("servers: [127.0.0.1:8091]\noperator: eleni\nauthority: %s\n", nonsense)
	if err := settings.CheckClient("o.yaml", []byte(client), now); err == nil || err.Error() != "o.yaml:3: authority: "+nonsense+": holds no certificate" {
		t.Fatal(err)
	}
}

// with inserts keys, written on one line, into their block of the settings.
func with(base, block string) string {
	name, keys, _ := strings.Cut(block, ": ")
	keys = strings.TrimSuffix(strings.TrimPrefix(keys, "{"), "}")
	var lines []string
	depth := 0
	for i, start := 0, 0; i <= len(keys); i++ {
		switch {
		case i == len(keys) || keys[i] == ',' && depth == 0:
			lines = append(lines, "  "+strings.TrimSpace(keys[start:i]))
			start = i + 1
		case keys[i] == '{':
			depth++
		case keys[i] == '}':
			depth--
		}
	}
	return strings.Replace(base, name+":\n", name+":\n"+strings.Join(lines, "\n")+"\n", 1)
}

func lineOf(data, text string) int {
	before, _, _ := strings.Cut(data, text)
	return strings.Count(before, "\n") + 1
}

func issue(t *testing.T, directory, name string) settings.Security {
	t.Helper()
	authority, err := certificate.Open(directory)
	if err != nil {
		t.Fatal(err)
	}
	security, err := authority.Issue(name, net.IPv4(127, 0, 0, 1))
	if err != nil {
		t.Fatal(err)
	}
	return security
}
