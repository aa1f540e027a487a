package yamlfile

import (
	"encoding"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

var (
	durationType = reflect.TypeFor[time.Duration]()
	textType     = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// decode walks the nodes and the target type in parallel, sets the values that
// match and records a fault for each that does not.
func (d *Document) decode(root *yaml.Node, into any) {
	d.lines[""] = root.Line
	d.value(root, "", reflect.ValueOf(into).Elem())
}

func (d *Document) value(node *yaml.Node, key string, target reflect.Value) {
	d.lines[key] = node.Line
	if node.Kind == yaml.AliasNode {
		d.fault(node, key, "alias *"+node.Value, "the value itself")
		return
	}
	if reflect.PointerTo(target.Type()).Implements(textType) {
		d.text(node, key, target)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.structure(node, key, target)
	case reflect.Slice:
		d.list(node, key, target)
	case reflect.Map:
		d.dictionary(node, key, target)
	case reflect.Pointer:
		target.Set(reflect.New(target.Type().Elem()))
		d.value(node, key, target.Elem())
	default:
		d.scalar(node, key, target)
	}
}

func (d *Document) structure(node *yaml.Node, key string, target reflect.Value) {
	if node.Kind != yaml.MappingNode {
		d.fault(node, key, "got "+describe(node), "a mapping")
		return
	}
	fields := fieldsOf(target.Type())
	seen := map[string]bool{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		name, child := node.Content[i], node.Content[i+1]
		path := join(key, name.Value)
		index, known := fields[name.Value]
		switch {
		case !known:
			d.unknown(name, path, fields)
		case seen[name.Value]:
			d.fault(name, path, "key stands twice", "each key once")
		default:
			seen[name.Value] = true
			d.value(child, path, target.Field(index))
			d.lines[path] = name.Line
		}
	}
}

func (d *Document) unknown(name *yaml.Node, path string, fields map[string]int) {
	names := sortedKeys(fields)
	d.faults = append(d.faults, Fault{
		File:     d.file,
		Line:     name.Line,
		Key:      path,
		Problem:  "unknown key",
		Expected: "one of " + strings.Join(names, ", "),
		Nearest:  Nearest(name.Value, names),
	})
}

func (d *Document) list(node *yaml.Node, key string, target reflect.Value) {
	if isNull(node) {
		return
	}
	if node.Kind != yaml.SequenceNode {
		d.fault(node, key, "got "+describe(node), "a list")
		return
	}
	list := reflect.MakeSlice(target.Type(), len(node.Content), len(node.Content))
	for i, child := range node.Content {
		d.value(child, fmt.Sprintf("%s[%d]", key, i), list.Index(i))
	}
	target.Set(list)
}

func (d *Document) dictionary(node *yaml.Node, key string, target reflect.Value) {
	if isNull(node) {
		return
	}
	if node.Kind != yaml.MappingNode {
		d.fault(node, key, "got "+describe(node), "a mapping")
		return
	}
	result := reflect.MakeMap(target.Type())
	for i := 0; i+1 < len(node.Content); i += 2 {
		name, child := node.Content[i], node.Content[i+1]
		path := key + "[" + name.Value + "]"
		entryKey := reflect.ValueOf(name.Value).Convert(target.Type().Key())
		if result.MapIndex(entryKey).IsValid() {
			d.fault(name, path, "key stands twice", "each key once")
			continue
		}
		entry := reflect.New(target.Type().Elem()).Elem()
		d.value(child, path, entry)
		d.lines[path] = name.Line
		result.SetMapIndex(entryKey, entry)
	}
	target.Set(result)
}

func (d *Document) text(node *yaml.Node, key string, target reflect.Value) {
	if node.Kind != yaml.ScalarNode {
		d.fault(node, key, "got "+describe(node), "text")
		return
	}
	unmarshaler := target.Addr().Interface().(encoding.TextUnmarshaler)
	if err := unmarshaler.UnmarshalText([]byte(node.Value)); err != nil {
		d.fault(node, key, err.Error(), "")
	}
}

func (d *Document) scalar(node *yaml.Node, key string, target reflect.Value) {
	expected, ok := setScalar(node, target)
	if !ok {
		d.fault(node, key, "got "+describe(node), expected)
	}
}

// setScalar sets the target, or returns false and a description of the expected
// value.
func setScalar(node *yaml.Node, target reflect.Value) (expected string, ok bool) {
	if node.Kind != yaml.ScalarNode || isNull(node) {
		return kindName(target), false
	}
	if target.Type() == durationType {
		parsed, err := time.ParseDuration(node.Value)
		target.SetInt(int64(parsed))
		return "a duration like 300ms or 15m", err == nil
	}
	switch target.Kind() {
	case reflect.String:
		target.SetString(node.Value)
		return kindName(target), node.Tag != "!!bool"
	case reflect.Bool:
		target.SetBool(node.Value == "true")
		return kindName(target), node.Tag == "!!bool"
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		parsed, err := strconv.ParseInt(node.Value, 10, target.Type().Bits())
		target.SetInt(parsed)
		return kindName(target), err == nil
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		parsed, err := strconv.ParseUint(node.Value, 10, target.Type().Bits())
		target.SetUint(parsed)
		return kindName(target), err == nil
	case reflect.Float32, reflect.Float64:
		parsed, err := strconv.ParseFloat(node.Value, target.Type().Bits())
		target.SetFloat(parsed)
		return kindName(target), err == nil
	default:
		return kindName(target), false
	}
}
