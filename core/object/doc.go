// Package object defines the wire types of the platform's object store API and VM list.
package object
