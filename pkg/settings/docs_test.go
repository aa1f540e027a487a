package settings_test

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/settings"
)

const settingsPage = "../../docs/SETTINGS.md"

// TestSettingsPage checks that the examples of the page load, and that it names
// every key of the settings and of the declaration.
func TestSettingsPage(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile(settingsPage)
	is.NoErr(err)
	page := string(data)

	_, err = settings.Parse("example", example(t, page, "# settings\n"))
	is.NoErr(err)
	_, err = config.Load("example", example(t, page, "# declaration\n"))
	is.NoErr(err)

	var keys []string
	keys = appendKeys(keys, "", reflect.TypeFor[settings.Instance]())
	keys = appendKeys(keys, "", reflect.TypeFor[settings.Client]())
	keys = appendKeys(keys, "", reflect.TypeFor[config.Declaration]())
	is.True(len(keys) > 60) // the walk found the keys
	for _, key := range keys {
		if !strings.Contains(page, "`"+key+"`") {
			t.Errorf("%s is not on the page", key)
		}
	}
}

// example returns the block of YAML that begins with the title.
func example(t *testing.T, page, title string) []byte {
	t.Helper()
	_, rest, found := strings.Cut(page, "```yaml\n"+title)
	if !found {
		t.Fatalf("no example %q", title)
	}
	block, _, _ := strings.Cut(rest, "```")
	return []byte(block)
}

// appendKeys appends the paths of all keys that hold a value.
func appendKeys(keys []string, path string, of reflect.Type) []string {
	for i := range of.NumField() {
		name, _, _ := strings.Cut(of.Field(i).Tag.Get("yaml"), ",")
		key := strings.TrimPrefix(path+"."+name, ".")
		kind := of.Field(i).Type
		switch {
		case kind.Kind() == reflect.Struct:
			keys = appendKeys(keys, key, kind)
		case kind.Kind() == reflect.Slice && kind.Elem().Kind() == reflect.Struct:
			keys = appendKeys(keys, key+"[]", kind.Elem())
		default:
			keys = append(keys, key)
		}
	}
	return keys
}
