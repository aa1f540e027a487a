package yamlfile

import (
	"maps"
	"reflect"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"
)

// fieldsOf maps the YAML keys of a struct type to its field indices.
func fieldsOf(of reflect.Type) map[string]int {
	fields := make(map[string]int, of.NumField())
	for i := range of.NumField() {
		if name := yamlName(of.Field(i)); name != "" {
			fields[name] = i
		}
	}
	return fields
}

// yamlName returns a field's YAML key, or "" when it has none.
func yamlName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	switch {
	case name == "-" || !field.IsExported():
		return ""
	case name == "":
		return strings.ToLower(field.Name)
	default:
		return name
	}
}

func sortedKeys(fields map[string]int) []string {
	return slices.Sorted(maps.Keys(fields))
}

func join(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}

func isNull(node *yaml.Node) bool {
	return node.Kind == yaml.ScalarNode && node.Tag == "!!null"
}

// maxQuoted is the length limit, in bytes, of a value that a fault quotes.
const maxQuoted = 40

// describe returns a readable description of a node's value.
func describe(node *yaml.Node) string {
	switch {
	case node.Kind == yaml.MappingNode:
		return "a mapping"
	case node.Kind == yaml.SequenceNode:
		return "a list"
	case isNull(node):
		return "nothing"
	default:
		return quote(node.Value)
	}
}

func quote(value string) string {
	if len(value) > maxQuoted {
		value = value[:maxQuoted] + "…"
	}
	return `"` + value + `"`
}

// kindName returns a readable name of the values that a target accepts.
func kindName(target reflect.Value) string {
	switch target.Kind() {
	case reflect.String:
		return "text"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Struct, reflect.Map:
		return "a mapping"
	case reflect.Slice:
		return "a list"
	default:
		return "a whole number"
	}
}
