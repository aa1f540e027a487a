package config_test

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.yaml.in/yaml/v3"

	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/yamlfile"
)

// sampleYAML returns the sample as YAML.
func sampleYAML(t testing.TB) string {
	data, err := yaml.Marshal(sample())
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func TestLoadReadsWhatItWrote(t *testing.T) {
	is := is.New(t)
	loaded, err := config.Load("sample.yaml", []byte(sampleYAML(t)))
	is.NoErr(err)
	is.True(reflect.DeepEqual(loaded, sample()))
}

func TestDeployedDeclarationsLoad(t *testing.T) {
	files, err := filepath.Glob("../../deploy/*/declaration.yaml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no declarations: %v", err)
	}
	for _, file := range files {
		t.Run(file, func(t *testing.T) {
			is := is.New(t)
			data, err := os.ReadFile(file)
			is.NoErr(err)
			_, err = config.Load(file, data)
			is.NoErr(err)
		})
	}
}

func TestLoadFaults(t *testing.T) {
	tests := []struct {
		name, old, new, want string
	}{
		{"domain", "domain: larisa-hall", "domain: larisa", `upstreams[3].domain: got "larisa", expected the name of a declared failure domain`},
		{"serves", "serves: sleeplog-api", "serves: sleeplog", `upstreams[0].serves: got "sleeplog", expected the name of a declared service`},
		{"version", "version: v2", "version: v9", `upstreams[3].version: got "v9", expected a version of lilac-nurse`},
		{"percents", "percent: 90", "percent: 80", `models[0].versions: percents add up to 90, expected 100`},
		{"home", "home: makedonia", "home: thesaly", `callers[1].home: got "thesaly", expected the name of a declared region`},
		{"twice", "name: nurse-2", "name: nurse-1", `upstreams[2].name: "nurse-1" stands twice, expected each name once`},
		{"own path", "prefix: /sleeplog/", "prefix: /v1/", `services[0].prefix: got "/v1/", expected a prefix that the gateway does not use itself`},
		{"unknown key", "cost_weight", "cost_wait", `policy.cost_wait: unknown key, expected one of cost_weight, key_ttl, spill_margin, weight_loads (did you mean cost_weight?)`},
		{"spill", "from: thessalia", "from: attiki", `spill[0].from: got "attiki", expected the name of a declared region`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			whole := sampleYAML(t)
			text := strings.Replace(whole, test.old, test.new, 1)
			_, err := config.Load("d.yaml", []byte(text))
			var faults *yamlfile.Error
			is.True(errors.As(err, &faults))
			is.True(strings.Contains(err.Error(), test.want)) // names what was expected
			line := 1 + strings.Count(whole[:strings.Index(whole, test.old)], "\n")
			is.True(faults.Faults[0].Line > 0 && faults.Faults[0].Line <= line) // at the key or above it
		})
	}
}

// FuzzLoad checks that any input gives a declaration that can be applied and
// encoded, or a typed error.
func FuzzLoad(f *testing.F) {
	f.Add([]byte(sampleYAML(f)))
	f.Add([]byte("regions: []\n"))
	f.Add([]byte("policy: {cost_weight: .nan, spill_margin: 5}\n"))
	f.Add([]byte("a: &a [*a]\n---\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		decl, err := config.Load("fuzz.yaml", data)
		var faults *yamlfile.Error
		if err != nil {
			if !errors.As(err, &faults) {
				t.Fatalf("untyped %T", err)
			}
			return
		}
		if err := config.Validate(decl); err != nil {
			t.Fatalf("loaded, but invalid: %v", err)
		}
		reached, _, err := config.Apply(&config.Declaration{}, config.Diff(&config.Declaration{}, decl))
		if err != nil || !reflect.DeepEqual(reached, decl) {
			t.Fatalf("differs after applying: %v", err)
		}
		encoded, err := config.EncodeHead(&config.Head{Revision: 1, Declaration: decl})
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := config.DecodeHead(encoded)
		if err != nil || !reflect.DeepEqual(decoded.Declaration, decl) {
			t.Fatalf("differs after encoding: %v", err)
		}
	})
}
