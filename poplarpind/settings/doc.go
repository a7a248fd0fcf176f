// Package settings reads and checks the YAML settings of an entry VM's process.
package settings
