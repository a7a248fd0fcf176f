// Package platform stands in for the platform: an object API with versions, conditional updates and watches, and a VM list.
package platform
