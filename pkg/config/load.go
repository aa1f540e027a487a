package config

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/lilacweir/lilacweir/pkg/yamlfile"
)

// Load reads and checks a declaration from YAML. The file's name is only used in
// faults. The error is a *yamlfile.Error with all faults.
func Load(file string, data []byte) (*Declaration, error) {
	decl := new(Declaration)
	doc := yamlfile.Read(file, data, decl)
	for _, problem := range references(decl) {
		doc.Add(problem.Key, problem.Found, problem.Expected)
	}
	for i := range decl.Callers {
		requireRegions(doc, fmt.Sprintf("callers[%d].regions", i))
	}
	if err := doc.Err(); err != nil {
		return nil, err
	}
	normalise(decl)
	return decl, nil
}

// requireRegions requires a file to state where a caller's data may be processed.
// An empty list is intentional, but a missing one may be an oversight.
func requireRegions(doc *yamlfile.Document, key string) {
	if !doc.Has(key) {
		doc.Add(key, "missing", "a list of regions; [] for none")
	}
}

// normalise sorts every list by name, so that equal declarations are equal
// values and encode to equal bytes. Routes keep their order.
func normalise(decl *Declaration) {
	sortBy(decl.Regions, func(r Region) string { return r.Name })
	sortBy(decl.Models, func(m Model) string { return m.Name })
	sortBy(decl.Services, func(s Service) string { return s.Name })
	sortBy(decl.Upstreams, func(u Upstream) string { return u.Name })
	sortBy(decl.Callers, func(c Caller) string { return c.Name })
	sortBy(decl.Operators, func(o Operator) string { return o.Name })
	sortBy(decl.Spill, Spill.Name)
	decl.Regions = orNil(decl.Regions)
	decl.Models = orNil(decl.Models)
	decl.Services = orNil(decl.Services)
	decl.Upstreams = orNil(decl.Upstreams)
	decl.Callers = orNil(decl.Callers)
	decl.Operators = orNil(decl.Operators)
	decl.Spill = orNil(decl.Spill)
	for i := range decl.Regions {
		slices.Sort(decl.Regions[i].Domains)
	}
	for i := range decl.Models {
		slices.Sort(decl.Models[i].Regions)
		sortBy(decl.Models[i].Versions, func(v ModelVersion) string { return v.Name })
	}
	for i := range decl.Services {
		slices.Sort(decl.Services[i].Regions)
	}
	for i := range decl.Callers {
		caller := &decl.Callers[i]
		caller.Regions = orNil(caller.Regions)
		caller.Models = orNil(caller.Models)
		slices.Sort(caller.Regions)
		slices.Sort(caller.Models)
	}
}

func sortBy[T any](list []T, name func(T) string) {
	slices.SortStableFunc(list, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
}

// orNil returns nil for an empty list.
func orNil[T any](list []T) []T {
	if len(list) == 0 {
		return nil
	}
	return list
}

// Name returns the name of the rule in operations and commands, "FROM>TO".
func (s Spill) Name() string { return s.From + ">" + s.To }
