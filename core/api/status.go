package api

import "poplarpin.dev/core/config"

// VMStatus is the status that one entry VM reports.
type VMStatus struct {
	VM            string `json:"vm"`
	FailureDomain string `json:"failureDomain"`
	Release       int64  `json:"release"`
	State         string `json:"state"`
}

// DomainStatus counts the entry VMs of one failure domain.
type DomainStatus struct {
	FailureDomain string   `json:"failureDomain"`
	VMs           int      `json:"vms"`
	InForce       int      `json:"inForce"` // number of VMs that have the newest known release in force
	Behind        []string `json:"behind,omitempty"`
	Unreachable   []string `json:"unreachable,omitempty"`
}

// Status is the state of the fleet as known to one entry VM.
type Status struct {
	VM            string         `json:"vm"`
	Release       int64          `json:"release"` // in force on this VM
	NewestRelease int64          `json:"newest"`  // newest release known to this VM
	Platform      string         `json:"platform"`
	Domains       []DomainStatus `json:"domains"`
	VMs           []VMStatus     `json:"vms"`
}

// Release is the answer to an accepted release note.
type Release struct {
	Note    string `json:"note"`
	Release int64  `json:"release"`
	Author  string `json:"author,omitempty"`
}

// Change describes how a release note changes one object of a release.
type Change struct {
	Key    config.Key `json:"key"`
	Action string     `json:"action"` // add, change or withdraw
	Before string     `json:"before,omitempty"`
	After  string     `json:"after,omitempty"`
}
