// Package config holds the objects that operators declare and the checked, immutable configuration made of them.
package config
