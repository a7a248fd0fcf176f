// Package object holds the wire types of the platform's object API and VM list.
package object
