package gateway

import (
	"time"

	"poplarpin.dev/core/place"
)

// Dump is the state of a gateway, for operators.
type Dump struct {
	VM             string               `json:"vm"`
	FailureDomain  string               `json:"failureDomain"`
	ConfigVersion  int64                `json:"version"` // of the configuration in force; 0 for none
	Routes         int                  `json:"routes"`
	Ready          bool                 `json:"ready"`
	Stopping       bool                 `json:"stopping"`
	Isolated       bool                 `json:"stranded"` // cut off from servers that its clients need
	WatchingStore  bool                 `json:"watching"` // it watches the store itself
	UpdateSource   string               `json:"source"`   // the VM that it learns from; empty for none
	StoreAddress   string               `json:"store"`    // address of the platform's store
	Seeds          []string             `json:"seeds"`
	ActiveRequests int64                `json:"active"`
	Connections    int                  `json:"connections"`
	Endpoints      []place.EndpointView `json:"servers"`
}

// Dump returns the gateway's state.
func (gateway *Gateway) Dump() Dump {
	dump := Dump{VM: gateway.settings.VM, FailureDomain: gateway.settings.FailureDomain, Ready: gateway.Ready(),
		Stopping: gateway.stopping.Load(), Isolated: gateway.stranded.Load(), ActiveRequests: gateway.ActiveRequests(),
		StoreAddress: gateway.storeAddress(), Seeds: gateway.seeds()}
	if table := gateway.table.Load(); table != nil {
		dump.ConfigVersion, dump.Routes = table.Version, table.RouteCount()
	}
	_, dump.Connections = gateway.pool.Counts()
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	dump.WatchingStore, dump.UpdateSource = gateway.plan.WatchStore, gateway.plan.Source
	dump.Endpoints = gateway.fleet.Views(time.Now())
	return dump
}

// Endpoint returns what is known of a server, nothing for one that is not known.
func (dump Dump) Endpoint(id string) place.EndpointView {
	for _, server := range dump.Endpoints {
		if server.ID == id {
			return server
		}
	}
	return place.EndpointView{}
}
