package command

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/yamlfile"
)

// NameError reports a name that is unknown or not unique.
type NameError struct {
	// Column counts characters from 1.
	Column int
	// Kind is the expected kind of entry, Given the operator's text.
	Kind, Given string
	// Matches are the names with that prefix; none when the name is unknown.
	Matches []string
	// Nearest is the most similar name; empty for none.
	Nearest string
}

// maxMatches is the largest number of names that an ambiguity lists.
const maxMatches = 6

// Error implements error, with the nearest name on a second line.
func (e *NameError) Error() string {
	if len(e.Matches) > 0 {
		shown := e.Matches[:min(len(e.Matches), maxMatches)]
		text := fmt.Sprintf("col %d: %s may be %s", e.Column, clip(e.Given), strings.Join(shown, ", "))
		if over := len(e.Matches) - len(shown); over > 0 {
			text += fmt.Sprintf(" or %d more", over)
		}
		return text
	}
	text := fmt.Sprintf("col %d: no %s %s", e.Column, e.Kind, clip(e.Given))
	if e.Nearest != "" {
		text += "\nnearest: " + e.Nearest
	}
	return text
}

// resolve returns the candidate equal to the name, or the only one with it as
// prefix.
func resolve(kind string, name Name, candidates []string) (string, error) {
	given := strings.ToLower(name.Text)
	var matches []string
	for _, candidate := range candidates {
		if candidate == given {
			return candidate, nil
		}
		if strings.HasPrefix(candidate, given) {
			matches = append(matches, candidate)
		}
	}
	if len(matches) == 1 {
		return matches[0], nil
	}
	failure := &NameError{Column: name.Pos.Column, Kind: kind, Given: name.Text, Matches: matches}
	if len(matches) == 0 {
		failure.Nearest = yamlfile.Nearest(given, candidates)
	}
	return "", failure
}

// names resolves the names in a line against one declaration.
type names struct {
	decl *config.Declaration
}

func (n names) upstream(name Name) (string, error) {
	return resolve("upstream", name, upstreamNames(n.decl))
}

func (n names) caller(name Name) (string, error) {
	return resolve("caller", name, callerNames(n.decl))
}

func (n names) region(name Name) (string, error) {
	return resolve("region", name, regionNames(n.decl))
}

func (n names) domain(name Name) (string, error) {
	return resolve("domain", name, slices.Sorted(maps.Keys(domains(n.decl))))
}

func (n names) model(name Name) (config.Model, error) {
	var candidates []string
	for _, model := range n.decl.Models {
		candidates = append(candidates, model.Name)
	}
	found, err := resolve("model", name, candidates)
	if err != nil {
		return config.Model{}, err
	}
	return n.decl.Models[slices.Index(candidates, found)], nil
}

func (n names) version(model config.Model, name Name) (string, error) {
	var candidates []string
	for _, version := range model.Versions {
		candidates = append(candidates, version.Name)
	}
	return resolve("version", name, candidates)
}

// spillRegion resolves a region of a spill rule, which may be given by one of its
// failure domains.
func (n names) spillRegion(name Name) (string, error) {
	regionOf := domains(n.decl)
	for _, region := range n.decl.Regions {
		regionOf[region.Name] = region.Name
	}
	given := strings.ToLower(name.Text)
	if region, ok := regionOf[given]; ok {
		return region, nil
	}
	matched := map[string]bool{}
	for candidate, region := range regionOf {
		if strings.HasPrefix(candidate, given) {
			matched[region] = true
		}
	}
	regions := slices.Sorted(maps.Keys(matched))
	if len(regions) == 1 {
		return regions[0], nil
	}
	if len(regions) > 1 {
		return "", &NameError{Column: name.Pos.Column, Kind: "region", Given: name.Text, Matches: regions}
	}
	return resolve("region", name, slices.Sorted(maps.Keys(regionOf)))
}

func upstreamNames(decl *config.Declaration) []string {
	var list []string
	for _, upstream := range decl.Upstreams {
		list = append(list, upstream.Name)
	}
	return list
}

func callerNames(decl *config.Declaration) []string {
	var list []string
	for _, caller := range decl.Callers {
		list = append(list, caller.Name)
	}
	return list
}

func regionNames(decl *config.Declaration) []string {
	var list []string
	for _, region := range decl.Regions {
		list = append(list, region.Name)
	}
	return list
}

// poolNames returns the models and services, sorted.
func poolNames(decl *config.Declaration) []string {
	var list []string
	for _, model := range decl.Models {
		list = append(list, model.Name)
	}
	for _, service := range decl.Services {
		list = append(list, service.Name)
	}
	slices.Sort(list)
	return list
}

// domains maps each failure domain to its region.
func domains(decl *config.Declaration) map[string]string {
	regionOf := map[string]string{}
	for _, region := range decl.Regions {
		for _, domain := range region.Domains {
			regionOf[domain] = region.Name
		}
	}
	return regionOf
}
