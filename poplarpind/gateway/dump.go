package gateway

import (
	"maps"
	"slices"
	"time"

	"poplarpin.dev/core/config"
	"poplarpin.dev/core/place"
	"poplarpin.dev/core/poison"
	"poplarpin.dev/core/quota"
	"poplarpin.dev/core/rpc"
)

// Dump is a snapshot of a gateway's state for operators.
type Dump struct {
	VM             string               `json:"vm"`
	FailureDomain  string               `json:"failureDomain"`
	Build          string               `json:"build,omitempty"`
	Capabilities   []rpc.Capability     `json:"capabilities"`
	Peers          []rpc.Hello          `json:"peers,omitempty"` // the last greetings of other entry VMs, by name
	ConfigVersion  int64                `json:"version"`         // 0 for no configuration
	Routes         int                  `json:"routes"`
	Ready          bool                 `json:"ready"`
	Stopping       bool                 `json:"stopping"`
	Isolated       bool                 `json:"stranded"`          // cut off from targets that most recent requests need
	WatchingStore  bool                 `json:"watching"`          // false where it relies on another VM's updates
	UpdateSource   string               `json:"source"`            // VM that sends it store updates; empty for none
	ViewAge        config.Duration      `json:"viewAge,omitempty"` // time since the known configuration was surely the newest; omitted if it never was
	StoreAddress   string               `json:"store"`
	StoreEra       int64                `json:"storeEra,omitempty"`
	Seeds          []string             `json:"seeds"`
	ActiveRequests int64                `json:"active"`
	Connections    int                  `json:"connections"`
	Evacuated      []string             `json:"evacuations,omitempty"` // failure domains whose targets get no calls
	Endpoints      []place.EndpointView `json:"servers"`
	Quotas         *quota.View          `json:"quotas,omitempty"`   // nil without quotas
	Suspects       []poison.View        `json:"suspects,omitempty"` // requests that may crash targets
}

// Dump returns a snapshot of the gateway's state.
func (gateway *Gateway) Dump() Dump {
	dump := Dump{VM: gateway.settings.VM, FailureDomain: gateway.settings.FailureDomain, Build: gateway.hello.Build, Capabilities: gateway.hello.Capabilities, Ready: gateway.Ready(),
		Stopping: gateway.stop.Load() != nil, Isolated: gateway.isolated.Load(), ActiveRequests: gateway.ActiveRequests(),
		StoreAddress: gateway.storeAddress(), Seeds: gateway.seeds()}
	if table := gateway.table.Load(); table != nil {
		dump.ConfigVersion, dump.Routes = table.Version, table.RouteCount()
	}
	_, dump.Connections = gateway.pool.Counts()
	dump.Quotas = gateway.quotas.view()
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	dump.WatchingStore, dump.UpdateSource = gateway.plan.WatchStore, gateway.plan.Source
	now := time.Now()
	dump.ViewAge = gateway.dumpedViewAge(now)
	dump.StoreEra = gateway.era.Known()
	dump.Evacuated = gateway.fleet.Evacuated()
	dump.Endpoints = gateway.fleet.Views(now)
	dump.Suspects = gateway.suspects.Views(now)
	for _, name := range slices.Sorted(maps.Keys(gateway.greetings)) {
		dump.Peers = append(dump.Peers, gateway.greetings[name])
	}
	return dump
}

// Endpoint returns the view of an endpoint, the zero view for an unknown one.
func (dump Dump) Endpoint(id string) place.EndpointView {
	for _, endpoint := range dump.Endpoints {
		if endpoint.ID == id {
			return endpoint
		}
	}
	return place.EndpointView{}
}
