package api

import "poplarpin.dev/core/config"

// VMStatus is what one entry VM reports of itself.
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
	InForce       int      `json:"inForce"` // VMs that have the newest known release in force
	Behind        []string `json:"behind,omitempty"`
	Unreachable   []string `json:"unreachable,omitempty"`
}

// Status is the fleet as one entry VM sees it.
type Status struct {
	VM            string         `json:"vm"`
	Release       int64          `json:"release"` // in force on this VM
	NewestRelease int64          `json:"newest"`  // newest known
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

// Change is one line of a difference between a release and a note.
type Change struct {
	Key    config.Key `json:"key"`
	Action string     `json:"action"` // add, change or withdraw
	Before string     `json:"before,omitempty"`
	After  string     `json:"after,omitempty"`
}
