package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// Describe lists the effects of the operations, one a line: "+" for a new entry,
// "-" for a removed one, "~" for a key with its old and new value.
func Describe(before *Declaration, ops []Op) []string {
	var lines []string
	for i := range ops {
		lines = append(lines, describeOp(before, &ops[i])...)
	}
	return lines
}

func describeOp(before *Declaration, op *Op) []string {
	switch {
	case op.SetRegion != nil:
		return describeSet(before, regionKind, op.SetRegion)
	case op.SetModel != nil:
		return describeSet(before, modelKind, op.SetModel)
	case op.SetService != nil:
		return describeSet(before, serviceKind, op.SetService)
	case op.SetUpstream != nil:
		return describeSet(before, upstreamKind, op.SetUpstream)
	case op.SetCaller != nil:
		return describeSet(before, callerKind, op.SetCaller)
	case op.SetOperator != nil:
		return describeSet(before, operatorKind, op.SetOperator)
	case op.SetSpill != nil:
		return describeSet(before, spillKind, op.SetSpill)
	case op.SetPolicy != nil:
		return changedKeys("policy", before.Policy, *op.SetPolicy)
	default:
		return []string{op.String()}
	}
}

func describeSet[T any](before *Declaration, of kind[T], entry *T) []string {
	title := of.name + " " + of.key(entry)
	old, had := find(before, of, of.key(entry))
	if !had {
		return []string{"+ " + title}
	}
	return changedKeys(title, old, *entry)
}

// changedKeys compares two values by their JSON keys.
func changedKeys(title string, old, now any) []string {
	was, is := keysOf(old), keysOf(now)
	all := maps.Clone(was)
	maps.Copy(all, is)
	var lines []string
	for _, key := range slices.Sorted(maps.Keys(all)) {
		if reflect.DeepEqual(was[key], is[key]) {
			continue
		}
		lines = append(lines, fmt.Sprintf("~ %s %s: %s -> %s", title, key, shortJSON(was[key]), shortJSON(is[key])))
	}
	return lines
}

func keysOf(value any) map[string]any {
	keys := map[string]any{}
	data, err := json.Marshal(value)
	if err == nil {
		_ = json.Unmarshal(data, &keys)
	}
	return keys
}

// maxShown is the length limit, in bytes, of a value in a difference.
const maxShown = 60

func shortJSON(value any) string {
	if value == nil {
		return "none"
	}
	data, err := json.Marshal(value)
	text := strings.ReplaceAll(string(data), `"`, "")
	if err != nil || len(text) > maxShown {
		return "other"
	}
	return text
}
