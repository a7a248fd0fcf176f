package gateway

import (
	"time"

	"poplarpin.dev/core/place"
	"poplarpin.dev/core/quota"
)

// Dump is a snapshot of a gateway's state for operators.
type Dump struct {
	VM             string               `json:"vm"`
	FailureDomain  string               `json:"failureDomain"`
	ConfigVersion  int64                `json:"version"` // 0 for no configuration
	Routes         int                  `json:"routes"`
	Ready          bool                 `json:"ready"`
	Stopping       bool                 `json:"stopping"`
	Isolated       bool                 `json:"stranded"` // cut off from targets that most recent requests need
	WatchingStore  bool                 `json:"watching"` // false where it relies on another VM's updates
	UpdateSource   string               `json:"source"`   // VM that sends it store updates; empty for none
	StoreAddress   string               `json:"store"`
	Seeds          []string             `json:"seeds"`
	ActiveRequests int64                `json:"active"`
	Connections    int                  `json:"connections"`
	Endpoints      []place.EndpointView `json:"servers"`
	Quotas         *quota.View          `json:"quotas,omitempty"` // nil without quotas
}

// Dump returns a snapshot of the gateway's state.
func (gateway *Gateway) Dump() Dump {
	dump := Dump{VM: gateway.settings.VM, FailureDomain: gateway.settings.FailureDomain, Ready: gateway.Ready(),
		Stopping: gateway.stopping.Load(), Isolated: gateway.isolated.Load(), ActiveRequests: gateway.ActiveRequests(),
		StoreAddress: gateway.storeAddress(), Seeds: gateway.seeds()}
	if table := gateway.table.Load(); table != nil {
		dump.ConfigVersion, dump.Routes = table.Version, table.RouteCount()
	}
	_, dump.Connections = gateway.pool.Counts()
	dump.Quotas = gateway.quotas.view()
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	dump.WatchingStore, dump.UpdateSource = gateway.plan.WatchStore, gateway.plan.Source
	dump.Endpoints = gateway.fleet.Views(time.Now())
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
