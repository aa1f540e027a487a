package load

import (
	"fmt"
	"path/filepath"

	"go.yaml.in/yaml/v3"

	"github.com/lilacweir/lilacweir/pkg/settings"
	"github.com/lilacweir/lilacweir/pkg/yamlfile"
)

// ReadInstances reads the settings of every instance in a deployment's
// directory, by instance name. It ignores other files.
func ReadInstances(directory string) (map[string]*settings.Instance, error) {
	files, err := filepath.Glob(filepath.Join(directory, "*.yaml"))
	if err != nil {
		return nil, fmt.Errorf("instances of %s: %w", directory, err)
	}
	instances := make(map[string]*settings.Instance)
	for _, file := range files {
		data, err := yamlfile.ReadFile(file)
		if err != nil {
			return nil, fmt.Errorf("instances of %s: %w", directory, err)
		}
		var keys struct {
			Instance string `yaml:"instance"`
		}
		if yaml.Unmarshal(data, &keys) != nil || keys.Instance == "" {
			continue
		}
		if instances[keys.Instance], err = settings.Parse(file, data); err != nil {
			return nil, fmt.Errorf("instances of %s: %w", directory, err)
		}
	}
	return instances, nil
}

// SeedsByDomain returns the addresses on which gateways listen for callers, by
// failure domain.
func SeedsByDomain(instances map[string]*settings.Instance) map[string][]string {
	seeds := make(map[string][]string)
	for _, instance := range instances {
		seeds[instance.Domain] = append(seeds[instance.Domain], instance.Gateway.Callers)
	}
	return seeds
}

// RegionByDomain returns the region of each failure domain.
func RegionByDomain(instances map[string]*settings.Instance) map[string]string {
	regions := make(map[string]string)
	for _, instance := range instances {
		regions[instance.Domain] = instance.Region
	}
	return regions
}
