// Package platform simulates the platform: an object store with versions, conditional writes and watches, and a list of VMs.
package platform
