package order

import (
	"github.com/lilacweir/lilacweir/pkg/config"
)

// State is an engine's order state.
type State struct {
	// Version is the loaded version; Loading the one being loaded, or empty.
	Version, Loading string
	// Fence is the highest fencing number that the engine has seen.
	Fence int64
}

// Load is an order to load a version of a model.
type Load struct {
	// ID is the order's ID.
	ID string
	// Upstream is the engine.
	Upstream config.Upstream
	Model    string
	Version  string
	Fence    int64
}

// declaredEngines returns the engines of a failure domain with a declared version.
func declaredEngines(declaration *config.Declaration, domain string) []config.Upstream {
	var engines []config.Upstream
	for _, upstream := range declaration.Upstreams {
		if upstream.Kind == config.KindEngine && upstream.Domain == domain && upstream.Version != "" {
			engines = append(engines, upstream)
		}
	}
	return engines
}

// plan returns the engines that should load their declared version now, in the order
// of the declaration. At most loads engines load concurrently; an unverified engine,
// with an order that got no reply, counts as loading. Engines without a state are
// skipped.
func plan(engines []config.Upstream, states map[string]State, unverified map[string]bool, loads int) []config.Upstream {
	var next []config.Upstream
	spare := max(loads, 1)
	for _, engine := range engines {
		state, known := states[engine.Name]
		if state.Loading != "" || (!known && unverified[engine.Name]) {
			spare--
		}
	}
	for _, engine := range engines {
		state, known := states[engine.Name]
		switch {
		case !known, state.Loading == engine.Version:
		case state.Loading != "":
			// It loads the wrong version; the new order replaces that load.
			next = append(next, engine)
		case state.Version != engine.Version && spare > 0:
			next = append(next, engine)
			spare--
		}
	}
	return next
}
