package config

import (
	"cmp"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"path"
	"slices"
	"strings"
)

// hashPrefix is the prefix of every stored key hash.
const hashPrefix = "sha256:"

// HashKey returns the stored form of a key, "sha256:" and the hexadecimal hash.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hashPrefix + hex.EncodeToString(sum[:])
}

// Index holds lookup tables of one declaration. It is immutable and safe for
// concurrent use; its entries must not be modified.
type Index struct {
	callersByHash map[string]*Caller
	callers       map[string]*Caller
	upstreams     map[string]*Upstream
	pools         map[string][]*Upstream
	models        map[string]*Model
	services      map[string]*Service
	// prefixes is sorted by length, the longest first.
	prefixes []*Service
	routes   map[string][]*Route
	regions  map[string]string
}

// NewIndex returns the lookup tables of a declaration.
func NewIndex(decl *Declaration) *Index {
	x := &Index{
		callersByHash: map[string]*Caller{},
		callers:       map[string]*Caller{},
		upstreams:     map[string]*Upstream{},
		pools:         map[string][]*Upstream{},
		models:        map[string]*Model{},
		services:      map[string]*Service{},
		routes:        map[string][]*Route{},
		regions:       map[string]string{},
	}
	x.addCallers(decl.Callers)
	x.addUpstreams(decl.Upstreams)
	x.addServices(decl.Services)
	for i := range decl.Models {
		x.models[decl.Models[i].Name] = &decl.Models[i]
	}
	for i := range decl.Regions {
		for _, domain := range decl.Regions[i].Domains {
			x.regions[domain] = decl.Regions[i].Name
		}
	}
	return x
}

func (x *Index) addCallers(callers []Caller) {
	for i := range callers {
		x.callers[callers[i].Name] = &callers[i]
		x.callersByHash[callers[i].KeyHash] = &callers[i]
	}
}

func (x *Index) addUpstreams(upstreams []Upstream) {
	for i := range upstreams {
		upstream := &upstreams[i]
		x.upstreams[upstream.Name] = upstream
		x.pools[upstream.Serves] = append(x.pools[upstream.Serves], upstream)
	}
}

func (x *Index) addServices(services []Service) {
	for i := range services {
		service := &services[i]
		x.services[service.Name] = service
		x.prefixes = append(x.prefixes, service)
		x.routes[service.Name] = sortedRoutes(service.Routes)
	}
	slices.SortFunc(x.prefixes, func(a, b *Service) int {
		return cmp.Compare(len(b.Prefix), len(a.Prefix))
	})
}

// sortedRoutes orders routes from the most to the least specific, so that their
// order in the file does not matter.
func sortedRoutes(routes []Route) []*Route {
	sorted := make([]*Route, 0, len(routes))
	for i := range routes {
		sorted = append(sorted, &routes[i])
	}
	slices.SortStableFunc(sorted, func(a, b *Route) int {
		return cmp.Compare(specificity(b), specificity(a))
	})
	return sorted
}

// specificity returns twice the length of the fixed part, plus one without a
// wildcard.
func specificity(route *Route) int {
	fixed, wild := strings.CutSuffix(route.Path, "*")
	if wild {
		return 2 * len(fixed)
	}
	return 2*len(fixed) + 1
}

// CallerByKey returns the caller with the key. The key is hashed first, so that
// neither the lookup nor the constant-time comparison reveals anything about it.
func (x *Index) CallerByKey(key string) (*Caller, bool) {
	hash := HashKey(key)
	caller, ok := x.callersByHash[hash]
	if !ok || subtle.ConstantTimeCompare([]byte(caller.KeyHash), []byte(hash)) != 1 {
		return nil, false
	}
	return caller, true
}

// Caller returns a caller by name.
func (x *Index) Caller(name string) (*Caller, bool) {
	caller, ok := x.callers[name]
	return caller, ok
}

// Upstream returns an upstream by name.
func (x *Index) Upstream(name string) (*Upstream, bool) {
	upstream, ok := x.upstreams[name]
	return upstream, ok
}

// Pool returns the upstreams of a model or service in all domains, sorted by name.
func (x *Index) Pool(serves string) []*Upstream { return x.pools[serves] }

// Model returns a model by name.
func (x *Index) Model(name string) (*Model, bool) {
	model, ok := x.models[name]
	return model, ok
}

// Service returns a service by name.
func (x *Index) Service(name string) (*Service, bool) {
	service, ok := x.services[name]
	return service, ok
}

// Region returns the region of a failure domain, or "" when it is unknown.
func (x *Index) Region(domain string) string { return x.regions[domain] }

// Match returns the service of a path and its route. The route is nil when the
// service declares no such call, and both are nil when no prefix matches. A path
// that is not in its shortest form (.. or //) matches nothing.
func (x *Index) Match(method, urlPath string) (*Service, *Route) {
	if !isClean(urlPath) {
		return nil, nil
	}
	for _, service := range x.prefixes {
		rest, ok := strings.CutPrefix(urlPath, service.Prefix)
		if ok {
			return service, matchRoute(x.routes[service.Name], method, rest)
		}
	}
	return nil, nil
}

func isClean(urlPath string) bool {
	if urlPath == "" || urlPath[0] != '/' {
		return false
	}
	cleaned := path.Clean(urlPath)
	return urlPath == cleaned || urlPath == cleaned+"/"
}

func matchRoute(routes []*Route, method, rest string) *Route {
	for _, route := range routes {
		if route.Method == method && matches(route.Path, rest) {
			return route
		}
	}
	return nil
}

func matches(pattern, rest string) bool {
	fixed, wild := strings.CutSuffix(pattern, "*")
	if wild {
		return strings.HasPrefix(rest, fixed)
	}
	return rest == fixed
}

// unknownOperator is compared when there is no such operator, so that an unknown
// name takes as long as a wrong key.
var unknownOperator = HashKey("")

// Authenticate reports whether the key is the named operator's, in constant time.
func Authenticate(decl *Declaration, operator, key string) bool {
	found, ok := find(decl, operatorKind, operator)
	stored := unknownOperator
	if ok {
		stored = found.KeyHash
	}
	equal := subtle.ConstantTimeCompare([]byte(stored), []byte(HashKey(key))) == 1
	return ok && equal
}
