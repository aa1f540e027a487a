package standin

import "github.com/lilacweir/lilacweir/pkg/yamlfile"

// Load reads a settings file. Its error lists every problem with file, line and key.
func Load(file string) (Settings, error) {
	var settings Settings
	err := yamlfile.Load(file, &settings)
	return settings, err
}
