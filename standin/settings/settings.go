package settings

import (
	"bytes"
	"fmt"
	"os"

	"go.yaml.in/yaml/v3"

	"poplarpin.dev/core/config"
	"poplarpin.dev/core/object"
)

// Target describes one target that a process stands in for.
type Target struct {
	config.Target  `yaml:",inline"`
	ConnectionCost config.Duration `yaml:"connectionCost"` // before the first byte of a new connection is read
	Median         config.Duration `yaml:"median"`         // of the service time
	Sigma          float64         `yaml:"sigma"`          // of the service time's log-normal distribution
}

// Settings describes what one process stands in for; either part may be absent.
type Settings struct {
	Admin    string      `yaml:"admin"`    // address of the fault switches
	Platform string      `yaml:"platform"` // address of the platform's API
	VMs      []object.VM `yaml:"vms"`
	Targets  []Target    `yaml:"targets"`
	Seed     uint64      `yaml:"seed"`
}

// Load reads settings from a file.
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
