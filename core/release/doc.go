// Package release decides how release notes become releases of the whole configuration and how a VM adopts them.
package release
