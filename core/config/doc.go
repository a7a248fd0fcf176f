// Package config defines the objects that operators declare and the validated, immutable configuration built from them.
package config
