package fleet

import (
	"fmt"
	"time"

	"poplarpin.dev/core/config"
	"poplarpin.dev/core/object"
	"poplarpin.dev/core/release"
	standin "poplarpin.dev/standin/settings"
)

// documentsPerShard is the number of documents in each shard of a first index version.
const documentsPerShard = 2000

// TargetGroup describes the targets and the index of one search service.
type TargetGroup struct {
	Service           string
	Classes           []string
	Shards            int
	Replicas          int
	Slots             int
	Connections       int
	ConnectionCost    time.Duration
	MedianServiceTime time.Duration
	ServiceTimeSigma  float64
	Deadline          time.Duration
	MinCoverage       float64
}

// Topology describes the failure domains, entry VMs, classes and targets of a fleet.
type Topology struct {
	FailureDomains      []string
	VMsPerFailureDomain int
	Classes             []config.Class
	Groups              []TargetGroup
}

// serviceTimeSigma is the usual spread of the stand-ins' service times: the standard deviation of their logarithm.
const serviceTimeSigma = 0.25

// Demo returns a small fleet: 4 entry VMs in 2 failure domains and 16 targets.
func Demo() Topology {
	return Topology{
		FailureDomains:      []string{"sohar", "nizwa"},
		VMsPerFailureDomain: 2,
		Classes:             []config.Class{{Name: "alarm", Priority: 0, Share: 0.5}, {Name: "billing", Priority: 5, Share: 0.1}},
		Groups: []TargetGroup{{Service: "heat", Classes: []string{"alarm", "billing"}, Shards: 8, Replicas: 2, Slots: 2,
			Connections: 25, ConnectionCost: 6 * time.Millisecond, MedianServiceTime: 4 * time.Millisecond, ServiceTimeSigma: serviceTimeSigma,
			Deadline: time.Second, MinCoverage: 0.9}},
	}
}

// Sahm returns a fleet of Sahm's current size.
func Sahm() Topology {
	replicated := TargetGroup{Replicas: 2, Slots: 2, Connections: 25, ConnectionCost: 6 * time.Millisecond, MedianServiceTime: 10 * time.Millisecond,
		ServiceTimeSigma: serviceTimeSigma, Deadline: 500 * time.Millisecond, MinCoverage: 0.9}
	unreplicated := TargetGroup{Shards: 3, Replicas: 1, Slots: 4, Connections: 45, ConnectionCost: time.Millisecond, MedianServiceTime: 4 * time.Millisecond,
		ServiceTimeSigma: serviceTimeSigma, Deadline: time.Second, MinCoverage: 0.5}
	return Topology{
		FailureDomains:      []string{"sohar", "salalah", "nizwa"},
		VMsPerFailureDomain: 2,
		Classes: []config.Class{{Name: "alarm", Priority: 0, Share: 0.5}, {Name: "schedule", Priority: 3, Share: 0.2},
			{Name: "dispatch", Priority: 1, Share: 0.2}, {Name: "billing", Priority: 8, Share: 0.1}},
		Groups: []TargetGroup{
			replicated.forService("heat", 20, "alarm", "billing"),
			replicated.forService("fans", 30, "schedule", "alarm"),
			unreplicated.forService("billing", 3, "billing"),
			unreplicated.forService("crews", 3, "dispatch"),
		},
	}
}

// Association returns a fleet of the current size of the meter testers' association.
func Association() Topology {
	replicated := TargetGroup{Replicas: 2, Slots: 2, Connections: 25, ConnectionCost: 6 * time.Millisecond, MedianServiceTime: 10 * time.Millisecond,
		ServiceTimeSigma: serviceTimeSigma, Deadline: time.Second, MinCoverage: 1}
	manyConnections := TargetGroup{Replicas: 2, Slots: 2, Connections: 100, ConnectionCost: time.Millisecond, MedianServiceTime: 4 * time.Millisecond,
		ServiceTimeSigma: serviceTimeSigma, Deadline: time.Second, MinCoverage: 0.9}
	return Topology{
		FailureDomains:      []string{"shah-alam", "kota-kinabalu", "kuching"},
		VMsPerFailureDomain: 2,
		Classes: []config.Class{{Name: "evidence", Priority: 0, Share: 0.5}, {Name: "intake", Priority: 2, Share: 0.2},
			{Name: "records", Priority: 4, Share: 0.2}, {Name: "report", Priority: 8, Share: 0.1}},
		Groups: []TargetGroup{
			replicated.forService("tribunal", 20, "evidence", "report"),
			replicated.forService("intake", 30, "intake"),
			manyConnections.forService("portal", 10, "records"),
			manyConnections.forService("audit", 5, "report"),
		},
	}
}

func (group TargetGroup) forService(service string, shards int, classes ...string) TargetGroup {
	group.Service, group.Shards, group.Classes = service, shards, classes
	return group
}

// TargetName returns the name of the stand-in target that holds a replica of a shard.
func TargetName(service string, shard, replica int) string {
	return fmt.Sprintf("%s-%02d-%c", service, shard, 'a'+replica)
}

// SetupNote returns the release note that declares the classes, services, indexes and targets of the topology.
func (topology Topology) SetupNote(id string, targets []config.Target) release.Note {
	note := release.Note{ID: id, Add: release.Objects{Classes: topology.Classes, Targets: targets}}
	for _, group := range topology.Groups {
		note.Add.Services = append(note.Add.Services, config.Service{Name: group.Service, Classes: group.Classes,
			Deadline: config.Duration(group.Deadline), MinCoverage: group.MinCoverage, ExtraCallRatio: 0.05})
		note.Add.Indexes = append(note.Add.Indexes, group.Index(1, group.Shards))
	}
	return note
}

// Index returns an index version that divides the group's documents into the given number of shards. In each version the
// shards are placed one position further along the targets than in the version before.
func (group TargetGroup) Index(version int64, shards int) config.Index {
	index := config.Index{Service: group.Service, Version: version}
	total := int64(group.Shards * documentsPerShard)
	for i := range shards {
		shard := config.Shard{Name: fmt.Sprintf("v%d-s%02d", version, i)}
		shard.From, shard.To = total*int64(i)/int64(shards), total*int64(i+1)/int64(shards)
		shard.Documents = shard.To - shard.From
		targetShard := (i + int(version) - 1) % group.Shards
		for replica := range group.Replicas {
			shard.Replicas = append(shard.Replicas, TargetName(group.Service, targetShard, replica))
		}
		index.Shards = append(index.Shards, shard)
	}
	return index
}

// targets spreads the targets over the failure domains; the replicas of a shard are in different ones.
func (topology Topology) targets(addresses *addressPool) []standin.Target {
	var targets []standin.Target
	for _, group := range topology.Groups {
		for shard := range group.Shards {
			for replica := range group.Replicas {
				targets = append(targets, standin.Target{
					Target: config.Target{Name: TargetName(group.Service, shard, replica), Address: addresses.next(),
						FailureDomain: topology.FailureDomains[(shard+replica)%len(topology.FailureDomains)],
						Slots:         group.Slots, Connections: group.Connections},
					ConnectionCost: config.Duration(group.ConnectionCost),
					Median:         config.Duration(group.MedianServiceTime),
					Sigma:          group.ServiceTimeSigma,
				})
			}
		}
	}
	return targets
}

// vmList returns the entry VMs and targets of a fleet as the platform lists them.
func vmList(vms []*VM, targets []standin.Target) []object.VM {
	var list []object.VM
	for _, vm := range vms {
		list = append(list, object.VM{Name: vm.Name, Role: object.EntryRole, Address: vm.PeerAddress, FailureDomain: vm.FailureDomain})
	}
	for _, target := range targets {
		list = append(list, object.VM{Name: target.Name, Role: object.TargetRole, Address: target.Address, FailureDomain: target.FailureDomain})
	}
	return list
}
