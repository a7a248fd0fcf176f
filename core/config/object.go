package config

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
)

// Upper limits of declared values.
const (
	MaxSlots       = 4096
	MaxConnections = 65536
	MaxShards      = 65536
	MaxReplicas    = 16
	MaxVersion     = 1 << 53
	MaxPriority    = 100
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// The kinds of keys.
const (
	classKind   = "classes"
	targetKind  = "targets"
	serviceKind = "services"
	indexKind   = "indexes"
)

// Class is a class of requests with a common priority.
type Class struct {
	Name     string  `json:"name" yaml:"name"`
	Priority int     `json:"priority" yaml:"priority"` // 0 is the highest
	Share    float64 `json:"share" yaml:"share"`       // guaranteed fraction of each target's slots
}

// Target is a server that holds shards and is called with requests.
type Target struct {
	Name          string `json:"name" yaml:"name"`
	Address       string `json:"address" yaml:"address"`
	FailureDomain string `json:"failureDomain" yaml:"failureDomain"`
	Slots         int    `json:"slots" yaml:"slots"`
	Connections   int    `json:"connections" yaml:"connections"`
	Group         string `json:"group,omitempty" yaml:"group,omitempty"` // targets with the same group have the same owner
}

// OwnerKey returns the name from which the target's owner is determined: its group, or else its own name.
func (target Target) OwnerKey() string {
	if target.Group != "" {
		return target.Group
	}
	return target.Name
}

// Service is a search service; a request names the service that it addresses.
type Service struct {
	Name           string   `json:"name" yaml:"name"`
	Classes        []string `json:"classes" yaml:"classes"` // the first is the default class
	Deadline       Duration `json:"deadline" yaml:"deadline"`
	MinCoverage    float64  `json:"leastCoverage" yaml:"leastCoverage"`
	ExtraCallRatio float64  `json:"extraLoad" yaml:"extraLoad"` // limit on hedges and retries, as a fraction of calls
}

// Index is one version of a service's index: its shards and their replicas.
type Index struct {
	Service string  `json:"service" yaml:"service"`
	Version int64   `json:"version" yaml:"version"`
	Shards  []Shard `json:"shards" yaml:"shards"`
}

// Shard is one shard of an index version and the targets that hold a replica of it.
type Shard struct {
	Name      string   `json:"name" yaml:"name"`
	Documents int64    `json:"documents" yaml:"documents"`
	From      int64    `json:"from,omitempty" yaml:"from,omitempty"` // first key of the shard's key range
	To        int64    `json:"to,omitempty" yaml:"to,omitempty"`     // first key after the range; 0 if no range is declared
	Replicas  []string `json:"replicas" yaml:"replicas"`
}

// ClassKey returns the key of a class.
func ClassKey(name string) Key { return Key(classKind + "/" + name) }

// TargetKey returns the key of a target.
func TargetKey(name string) Key { return Key(targetKind + "/" + name) }

// ServiceKey returns the key of a service.
func ServiceKey(name string) Key { return Key(serviceKind + "/" + name) }

// IndexKey returns the key of an index version.
func IndexKey(service string, version int64) Key {
	return Key(indexKind + "/" + service + "@" + strconv.FormatInt(version, 10))
}

// Key implements Object.
func (class Class) Key() Key { return ClassKey(class.Name) }

// Key implements Object.
func (target Target) Key() Key { return TargetKey(target.Name) }

// Key implements Object.
func (service Service) Key() Key { return ServiceKey(service.Name) }

// Key implements Object.
func (index Index) Key() Key { return IndexKey(index.Service, index.Version) }

func (class Class) object()     {}
func (target Target) object()   {}
func (service Service) object() {}
func (index Index) object()     {}

// Documents returns the total number of documents in all shards.
func (index Index) Documents() int64 {
	var sum int64
	for _, shard := range index.Shards {
		sum += shard.Documents
	}
	return sum
}

// Validate implements Object.
func (class Class) Validate() error {
	checker := checker{key: class.Key()}
	checker.name("name", class.Name)
	checker.inRange("priority", float64(class.Priority), 0, MaxPriority)
	checker.inRange("share", class.Share, 0, 1)
	return checker.err
}

// Validate implements Object.
func (target Target) Validate() error {
	checker := checker{key: target.Key()}
	checker.name("name", target.Name)
	checker.name("failureDomain", target.FailureDomain)
	checker.inRange("slots", float64(target.Slots), 1, MaxSlots)
	checker.inRange("connections", float64(target.Connections), 1, MaxConnections)
	if _, err := netip.ParseAddrPort(target.Address); err != nil {
		checker.report("address", OutOfRange, fmt.Sprintf("%q is not an IP address with a port", target.Address))
	}
	return checker.err
}

// Validate implements Object.
func (service Service) Validate() error {
	checker := checker{key: service.Key()}
	checker.name("name", service.Name)
	checker.inRange("deadline (seconds)", service.Deadline.Std().Seconds(), 0.001, MaxDeadline.Seconds())
	checker.inRange("leastCoverage", service.MinCoverage, 0, 1)
	checker.inRange("extraLoad", service.ExtraCallRatio, 0, 0.05)
	checker.inRange("classes (count)", float64(len(service.Classes)), 1, 32)
	seen := map[string]bool{}
	for _, class := range service.Classes {
		if seen[class] {
			checker.report("classes", Duplicate, class+" is listed twice")
		}
		seen[class] = true
	}
	return checker.err
}

// Validate implements Object.
func (index Index) Validate() error {
	checker := checker{key: index.Key()}
	checker.name("service", index.Service)
	checker.inRange("version", float64(index.Version), 1, MaxVersion)
	checker.inRange("shards (count)", float64(len(index.Shards)), 1, MaxShards)
	seen := map[string]bool{}
	for _, shard := range index.Shards {
		if seen[shard.Name] {
			checker.report("shards", Overlap, "shard "+shard.Name+" is listed twice")
		}
		seen[shard.Name] = true
		shard.validate(&checker)
	}
	index.checkRanges(&checker)
	return checker.err
}

// checkRanges rejects key ranges that start below 0, are empty or overlap; shards without a range are ignored.
func (index Index) checkRanges(checker *checker) {
	ranged := slices.DeleteFunc(slices.Clone(index.Shards), func(shard Shard) bool { return shard.To == 0 })
	slices.SortFunc(ranged, func(a, b Shard) int { return cmp.Compare(a.From, b.From) })
	for i, shard := range ranged {
		if shard.From < 0 || shard.From >= shard.To {
			checker.report("shards.from", OutOfRange, fmt.Sprintf("shard %s has the invalid range [%d, %d)", shard.Name, shard.From, shard.To))
		}
		if i > 0 && shard.From < ranged[i-1].To {
			checker.report("shards.from", Overlap, fmt.Sprintf("the ranges of shards %s and %s overlap", ranged[i-1].Name, shard.Name))
		}
	}
}

func (shard Shard) validate(checker *checker) {
	checker.name("shards.name", shard.Name)
	checker.inRange("shards.documents", float64(shard.Documents), 0, MaxVersion)
	checker.inRange("shards.replicas (count)", float64(len(shard.Replicas)), 1, MaxReplicas)
	seen := map[string]bool{}
	for _, replica := range shard.Replicas {
		if seen[replica] {
			checker.report("shards.replicas", Duplicate, "target "+replica+" is listed twice for shard "+shard.Name)
		}
		seen[replica] = true
	}
}

// checker validates the fields of one object and keeps the first error.
type checker struct {
	key Key
	err error
}

func (checker *checker) report(field string, kind Kind, detail string) {
	if checker.err == nil {
		checker.err = &Error{Op: "check", Kind: kind, Key: checker.key, Field: field, Detail: detail}
	}
}

func (checker *checker) name(field, value string) {
	if !namePattern.MatchString(value) {
		checker.report(field, BadName, fmt.Sprintf("%.80q must match %s", value, namePattern))
	}
}

func (checker *checker) inRange(field string, value, low, high float64) {
	if !(value >= low && value <= high) {
		checker.report(field, OutOfRange, fmt.Sprintf("%v is not in [%v, %v]", value, low, high))
	}
}

// Decode decodes and validates the JSON of the object with the given key.
func Decode(key Key, data []byte) (Object, error) {
	switch key.Kind() {
	case classKind:
		return decode[Class](data)
	case targetKind:
		return decode[Target](data)
	case serviceKind:
		return decode[Service](data)
	case indexKind:
		return decode[Index](data)
	}
	return nil, &Error{Op: "decode", Kind: BadName, Key: key, Field: "key", Detail: "unknown kind of object"}
}

func decode[T Object](data []byte) (Object, error) {
	var object T
	if err := json.Unmarshal(data, &object); err != nil {
		return nil, err
	}
	return object, object.Validate()
}
