package order

import (
	"github.com/lilacweir/lilacweir/pkg/config"
)

// State is what an engine says of the orders that it took.
type State struct {
	// Version is loaded; Loading is being loaded, or empty.
	Version, Loading string
	// Fence is the highest fencing number that it has seen.
	Fence int64
}

// Load tells an engine to load a version of a model.
type Load struct {
	// ID names the order.
	ID string
	// Upstream is the engine.
	Upstream config.Upstream
	Model    string
	Version  string
	Fence    int64
}

// wanted returns the engines of a failure domain whose version is declared.
func declaredEngines(declaration *config.Declaration, domain string) []config.Upstream {
	var engines []config.Upstream
	for _, upstream := range declaration.Upstreams {
		if upstream.Kind == config.KindEngine && upstream.Domain == domain && upstream.Version != "" {
			engines = append(engines, upstream)
		}
	}
	return engines
}

// plan returns the engines that are to load their declared version now, in the
// order of the declaration. At most loads engines load at the same time; one
// that is in doubt, since an order to it had no answer, counts as loading.
// Engines without a state are left alone.
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
			// It loads the wrong version; the new order takes that one's place.
			next = append(next, engine)
		case state.Version != engine.Version && spare > 0:
			next = append(next, engine)
			spare--
		}
	}
	return next
}
