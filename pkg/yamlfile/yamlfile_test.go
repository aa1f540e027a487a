package yamlfile_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/yamlfile"
)

type entry struct {
	Name    string        `yaml:"name" validate:"required,name"`
	Address string        `yaml:"address" validate:"required,hostport"`
	Weight  float64       `yaml:"weight,omitempty" validate:"gte=0,lte=1"`
	Wait    time.Duration `yaml:"wait,omitempty" validate:"gte=0"`
}

type file struct {
	Entries []entry           `yaml:"entries" validate:"required,min=1,dive"`
	Via     map[string]string `yaml:"via,omitempty" validate:"dive,keys,hostport,endkeys,hostport"`
	Limit   int               `yaml:"limit" validate:"gte=1"`
	On      bool              `yaml:"on"`
	Mode    string            `yaml:"mode" validate:"omitempty,oneof=fast safe"`
	Hash    string            `yaml:"hash" validate:"omitempty,keyhash"`
	Nested  *entry            `yaml:"nested,omitempty"`
}

func TestAllFaultsAtOnce(t *testing.T) {
	is := is.New(t)
	text := strings.Join([]string{
		"entries:",
		"  - name: Upper",
		"    address: localhost:80",
		"    wieght: 0.5",
		"  - address: 127.0.0.1:80",
		"    weight: 7",
		"    wait: soon",
		"limit: many",
		"on: 1",
		"mode: slow",
		"hash: sha256:12",
		"via:",
		"  127.0.0.1:1: there",
		"limit: 3",
		"nested: [1]",
	}, "\n")
	err := yamlfile.Decode("f.yaml", []byte(text), new(file))
	var faults *yamlfile.Error
	is.True(errors.As(err, &faults))
	want := []string{
		`f.yaml:2: entries[0].name: got "Upper", expected a name of lower-case letters, digits, - and . (at most 40)`,
		`f.yaml:3: entries[0].address: got "localhost:80", expected an IP number and a port, like 127.0.0.1:8080`,
		`f.yaml:4: entries[0].wieght: unknown key, expected one of address, name, wait, weight (did you mean weight?)`,
		`f.yaml:5: entries[1].name: missing, expected a value`,
		`f.yaml:6: entries[1].weight: got 7, expected at most 1`,
		`f.yaml:7: entries[1].wait: got "soon", expected a duration like 300ms or 15m`,
		`f.yaml:8: limit: got "many", expected a whole number`,
		`f.yaml:9: on: got "1", expected true or false`,
		`f.yaml:10: mode: got "slow", expected one of fast, safe`,
		`f.yaml:11: hash: not a hash, expected sha256: and 64 hexadecimal digits`,
		`f.yaml:13: via[127.0.0.1:1]: got "there", expected an IP number and a port, like 127.0.0.1:8080`,
		`f.yaml:14: limit: key stands twice, expected each key once`,
		`f.yaml:15: nested: got a list, expected a mapping`,
	}
	is.Equal(err.Error(), strings.Join(want, "\n"))
}

func TestWholeFileFaults(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"empty", "", "f.yaml: file is empty, expected a mapping"},
		{"comment", "# nothing\n", "f.yaml: file is empty, expected a mapping"},
		{"list", "- 1\n", "f.yaml:1: got a list, expected a mapping"},
		{"syntax", "limit: 1\n  on: [\n", "f.yaml:2: not YAML: mapping values are not allowed in this context"},
		{"two documents", "limit: 1\n---\nlimit: 2\n", "f.yaml:2: second document, expected one document a file"},
		{"alias", "limit: &a 1\nmode: *a\nentries: [{name: a, address: 127.0.0.1:1}]", "f.yaml:2: mode: alias *a, expected the value itself"},
		{"too large", strings.Repeat("#", yamlfile.MaxSize+1), "f.yaml: file is too large, expected at most 1048576 bytes"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			err := yamlfile.Decode("f.yaml", []byte(test.text), new(file))
			var faults *yamlfile.Error
			is.True(errors.As(err, &faults))
			is.Equal(err.Error(), test.want)
		})
	}
}

func TestLoadSetsValues(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "f.yaml")
	text := "entries: [{name: a.b-1, address: '[::1]:80', weight: 0.25, wait: 300ms}]\nlimit: 5\non: true\nvia: {127.0.0.1:1: 127.0.0.1:2}\nnested: {name: n, address: 127.0.0.1:9}\n"
	is.NoErr(os.WriteFile(path, []byte(text), 0o600))
	var loaded file
	is.NoErr(yamlfile.Load(path, &loaded))
	is.Equal(loaded.Entries, []entry{{Name: "a.b-1", Address: "[::1]:80", Weight: 0.25, Wait: 300 * time.Millisecond}})
	is.Equal(loaded.Via, map[string]string{"127.0.0.1:1": "127.0.0.1:2"})
	is.Equal(loaded.Nested.Name, "n")
	is.True(loaded.On)

	err := yamlfile.Load(path+".none", &loaded)
	var read *yamlfile.ReadError
	is.True(errors.As(err, &read))
	is.True(errors.Is(err, os.ErrNotExist))
}

func TestNearest(t *testing.T) {
	is := is.New(t)
	words := []string{"drain", "undrain", "spill"}
	is.Equal(yamlfile.Nearest("drian", words), "drain")
	is.Equal(yamlfile.Nearest("spil", words), "spill")
	is.Equal(yamlfile.Nearest("xyzzy", words), "")
}
