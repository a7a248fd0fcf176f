package fleet

import (
	"fmt"
	"time"

	"poplarpin.dev/core/config"
	"poplarpin.dev/core/object"
	"poplarpin.dev/core/release"
	standin "poplarpin.dev/standin/settings"
)

// documentsPerShard is the size of each shard of the stand-ins' indexes.
const documentsPerShard = 2000

// Group describes the targets of one search service.
type Group struct {
	Service        string
	Classes        []string
	Shards         int
	Replicas       int
	Slots          int
	Connections    int
	ConnectionCost time.Duration
	Median         time.Duration // of the service time
	Sigma          float64
	Deadline       time.Duration
	LeastCoverage  float64
}

// Topology describes a whole fleet.
type Topology struct {
	Domains      []string
	VMsPerDomain int
	Classes      []config.Class
	Groups       []Group
}

// serviceTime is the stand-ins' usual spread of service times.
const serviceSigma = 0.25

// Demo is a small fleet of 4 entry VMs in 2 failure domains.
func Demo() Topology {
	return Topology{
		Domains:      []string{"sohar", "nizwa"},
		VMsPerDomain: 2,
		Classes:      []config.Class{{Name: "alarm", Priority: 0, Share: 0.5}, {Name: "billing", Priority: 5, Share: 0.1}},
		Groups: []Group{{Service: "heat", Classes: []string{"alarm", "billing"}, Shards: 8, Replicas: 2, Slots: 2,
			Connections: 25, ConnectionCost: 6 * time.Millisecond, Median: 4 * time.Millisecond, Sigma: serviceSigma,
			Deadline: time.Second, LeastCoverage: 0.9}},
	}
}

// Sahm is the fleet of Sahm's sizes of today.
func Sahm() Topology {
	pair := Group{Replicas: 2, Slots: 2, Connections: 25, ConnectionCost: 6 * time.Millisecond, Median: 10 * time.Millisecond,
		Sigma: serviceSigma, Deadline: 500 * time.Millisecond, LeastCoverage: 0.9}
	desk := Group{Shards: 3, Replicas: 1, Slots: 4, Connections: 45, ConnectionCost: time.Millisecond, Median: 4 * time.Millisecond,
		Sigma: serviceSigma, Deadline: time.Second, LeastCoverage: 0.5}
	return Topology{
		Domains:      []string{"sohar", "salalah", "nizwa"},
		VMsPerDomain: 2,
		Classes: []config.Class{{Name: "alarm", Priority: 0, Share: 0.5}, {Name: "schedule", Priority: 3, Share: 0.2},
			{Name: "dispatch", Priority: 1, Share: 0.2}, {Name: "billing", Priority: 8, Share: 0.1}},
		Groups: []Group{
			pair.with("heat", 20, "alarm", "billing"),
			pair.with("fans", 30, "schedule", "alarm"),
			desk.with("billing", 3, "billing"),
			desk.with("crews", 3, "dispatch"),
		},
	}
}

// Association is the fleet of the meter testers' association's sizes of today.
func Association() Topology {
	pair := Group{Replicas: 2, Slots: 2, Connections: 25, ConnectionCost: 6 * time.Millisecond, Median: 10 * time.Millisecond,
		Sigma: serviceSigma, Deadline: time.Second, LeastCoverage: 1}
	wide := Group{Replicas: 2, Slots: 2, Connections: 100, ConnectionCost: time.Millisecond, Median: 4 * time.Millisecond,
		Sigma: serviceSigma, Deadline: time.Second, LeastCoverage: 0.9}
	return Topology{
		Domains:      []string{"shah-alam", "kota-kinabalu", "kuching"},
		VMsPerDomain: 2,
		Classes: []config.Class{{Name: "evidence", Priority: 0, Share: 0.5}, {Name: "intake", Priority: 2, Share: 0.2},
			{Name: "records", Priority: 4, Share: 0.2}, {Name: "report", Priority: 8, Share: 0.1}},
		Groups: []Group{
			pair.with("tribunal", 20, "evidence", "report"),
			pair.with("intake", 30, "intake"),
			wide.with("portal", 10, "records"),
			wide.with("audit", 5, "report"),
		},
	}
}

func (group Group) with(service string, shards int, classes ...string) Group {
	group.Service, group.Shards, group.Classes = service, shards, classes
	return group
}

// TargetName returns the name of a stand-in target.
func TargetName(service string, shard, replica int) string {
	return fmt.Sprintf("%s-%02d-%c", service, shard, 'a'+replica)
}

// Note returns the release note that puts the whole topology in force.
func (topology Topology) Note(id string, targets []config.Target) release.Note {
	note := release.Note{ID: id, Add: release.Objects{Classes: topology.Classes, Targets: targets}}
	for _, group := range topology.Groups {
		note.Add.Services = append(note.Add.Services, config.Service{Name: group.Service, Classes: group.Classes,
			Deadline: config.Duration(group.Deadline), MinCoverage: group.LeastCoverage, ExtraCallRatio: 0.05})
		note.Add.Indexes = append(note.Add.Indexes, group.Index(1, group.Shards))
	}
	return note
}

// Index returns an index version in which the group's documents are cut into a number of shards.
func (group Group) Index(version int64, shards int) config.Index {
	index := config.Index{Service: group.Service, Version: version}
	total := int64(group.Shards * documentsPerShard)
	for i := range shards {
		shard := config.Shard{Name: fmt.Sprintf("v%d-s%02d", version, i)}
		shard.From, shard.To = total*int64(i)/int64(shards), total*int64(i+1)/int64(shards)
		shard.Documents = shard.To - shard.From
		home := (i + int(version) - 1) % group.Shards
		for replica := range group.Replicas {
			shard.Replicas = append(shard.Replicas, TargetName(group.Service, home, replica))
		}
		index.Shards = append(index.Shards, shard)
	}
	return index
}

// targets lays the targets out over the failure domains, replicas of a shard in different ones.
func (topology Topology) targets(ports *ports) []standin.Target {
	var targets []standin.Target
	for _, group := range topology.Groups {
		for shard := range group.Shards {
			for replica := range group.Replicas {
				targets = append(targets, standin.Target{
					Target: config.Target{Name: TargetName(group.Service, shard, replica), Address: ports.next(),
						FailureDomain: topology.Domains[(shard+replica)%len(topology.Domains)],
						Slots:         group.Slots, Connections: group.Connections},
					ConnectionCost: config.Duration(group.ConnectionCost),
					Median:         config.Duration(group.Median),
					Sigma:          group.Sigma,
				})
			}
		}
	}
	return targets
}

// vmList returns the platform's list of a fleet.
func vmList(vms []*VM, targets []standin.Target) []object.VM {
	var list []object.VM
	for _, vm := range vms {
		list = append(list, object.VM{Name: vm.Name, Role: object.EntryRole, Address: vm.Peer, FailureDomain: vm.Domain})
	}
	for _, target := range targets {
		list = append(list, object.VM{Name: target.Name, Role: object.TargetRole, Address: target.Address, FailureDomain: target.FailureDomain})
	}
	return list
}
