package settings

import (
	"bytes"
	"fmt"
	"os"

	"go.yaml.in/yaml/v3"

	"poplarpin.dev/core/config"
	"poplarpin.dev/core/object"
)

// Target describes one simulated target.
type Target struct {
	config.Target  `yaml:",inline"`
	ConnectionCost config.Duration `yaml:"connectionCost"` // delay before the first read from a new connection
	Median         config.Duration `yaml:"median"`         // median service time
	Sigma          float64         `yaml:"sigma"`          // standard deviation of the logarithm of the service time, which is log-normal
}

// Settings describes what one process simulates; without a Platform address or without Targets, that part is left out.
type Settings struct {
	Admin    string      `yaml:"admin"`    // listen address of the admin interface
	Platform string      `yaml:"platform"` // listen address of the platform API; empty: no platform
	VMs      []object.VM `yaml:"vms"`      // initial VM list of the platform
	Targets  []Target    `yaml:"targets"`
	Seed     uint64      `yaml:"seed"` // of the random service times and random faults
}

// Load reads settings from a file and validates the targets.
func Load(path string) (Settings, error) {
	var settings Settings
	data, err := os.ReadFile(path)
	if err != nil {
		return settings, err
	}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(&settings); err != nil {
		return settings, fmt.Errorf("%s: %w", path, err)
	}
	for _, target := range settings.Targets {
		if err := target.Validate(); err != nil {
			return settings, fmt.Errorf("%s: %w", path, err)
		}
	}
	return settings, nil
}
