// Package inspect checks configurations of the platform and summarizes the dumps of entry VMs that run on it.
package inspect
