// Package platform is a client of the platform's object store and VM list over HTTP.
package platform
