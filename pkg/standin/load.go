package standin

import "github.com/lilacweir/lilacweir/pkg/yamlfile"

// Load reads a settings file; its error names every fault with file, line and key.
func Load(file string) (Settings, error) {
	var settings Settings
	err := yamlfile.Load(file, &settings)
	return settings, err
}
