// Package settings loads and validates the YAML settings of an entry VM's process.
package settings
