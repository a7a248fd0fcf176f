// Package settings reads the YAML settings of the simulation.
package settings
