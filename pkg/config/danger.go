package config

import (
	"fmt"
	"strings"
)

// Danger is an effect of a change that removes the last of something.
type Danger struct {
	// Pool and Domain are set when a failure domain loses the last upstream of a
	// model or service.
	Pool, Domain string
	// Caller is set when a caller is left without a region.
	Caller string
	// Model and Version are set when a version with a share of requests is left
	// without an upstream.
	Model, Version string
}

// String describes the effect, briefly enough for a phone.
func (d Danger) String() string {
	switch {
	case d.Pool != "":
		return fmt.Sprintf("leaves %s no %s", d.Domain, d.Pool)
	case d.Caller != "":
		return fmt.Sprintf("leaves %s no region", d.Caller)
	default:
		return fmt.Sprintf("leaves %s %s no upstream", d.Model, d.Version)
	}
}

// DangerError refuses a dangerous change that the operator did not force.
type DangerError struct {
	Dangers []Danger
}

// Error implements error.
func (e *DangerError) Error() string {
	texts := make([]string, 0, len(e.Dangers))
	for _, danger := range e.Dangers {
		texts = append(texts, danger.String())
	}
	return strings.Join(texts, "\n")
}

// Dangers returns the dangerous effects of a change, in the order of the
// declaration's lists.
func Dangers(before, after *Declaration) []Danger {
	dangers := emptiedPools(before, after)
	dangers = append(dangers, callersWithoutRegion(before, after)...)
	return append(dangers, unservedVersions(before, after)...)
}

// poolKey identifies the upstreams of one model or service in one domain.
type poolKey struct{ serves, domain string }

func emptiedPools(before, after *Declaration) []Danger {
	left := map[poolKey]int{}
	for i := range after.Upstreams {
		upstream := &after.Upstreams[i]
		if !upstream.Drained {
			left[poolKey{upstream.Serves, upstream.Domain}]++
		}
	}
	var dangers []Danger
	reported := map[poolKey]bool{}
	for i := range before.Upstreams {
		upstream := &before.Upstreams[i]
		pool := poolKey{upstream.Serves, upstream.Domain}
		if upstream.Drained || left[pool] > 0 || reported[pool] {
			continue
		}
		reported[pool] = true
		dangers = append(dangers, Danger{Pool: pool.serves, Domain: pool.domain})
	}
	return dangers
}

func callersWithoutRegion(before, after *Declaration) []Danger {
	var dangers []Danger
	for i := range after.Callers {
		caller := &after.Callers[i]
		old, had := find(before, callerKind, caller.Name)
		if had && len(old.Regions) > 0 && len(caller.Regions) == 0 {
			dangers = append(dangers, Danger{Caller: caller.Name})
		}
	}
	return dangers
}

// versionKey identifies a version of a model.
type versionKey struct{ model, version string }

func unservedVersions(before, after *Declaration) []Danger {
	had := unservedVersionSet(before)
	var dangers []Danger
	for _, version := range unservedVersionList(after) {
		if !had[version] {
			dangers = append(dangers, Danger{Model: version.model, Version: version.version})
		}
	}
	return dangers
}

func unservedVersionSet(decl *Declaration) map[versionKey]bool {
	set := map[versionKey]bool{}
	for _, version := range unservedVersionList(decl) {
		set[version] = true
	}
	return set
}

// unservedVersionList returns the versions with a share of requests but no
// upstream in service.
func unservedVersionList(decl *Declaration) []versionKey {
	served := map[versionKey]bool{}
	for i := range decl.Upstreams {
		upstream := &decl.Upstreams[i]
		if !upstream.Drained {
			served[versionKey{upstream.Serves, upstream.Version}] = true
		}
	}
	var list []versionKey
	for _, model := range decl.Models {
		for _, version := range model.Versions {
			key := versionKey{model.Name, version.Name}
			if version.Percent > 0 && !served[key] {
				list = append(list, key)
			}
		}
	}
	return list
}
