// Package release turns release notes into numbered releases of the whole configuration and lets a VM adopt them.
package release
