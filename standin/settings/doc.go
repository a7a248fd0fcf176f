// Package settings reads the stand-ins' YAML settings.
package settings
