package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Key identifies an object as kind/name.
type Key string

// Kind returns the object's kind: the part of the key before the first slash.
func (key Key) Kind() string {
	kind, _, _ := strings.Cut(string(key), "/")
	return kind
}

// Object is a declared object: a Class, a Target, a Service or an Index.
type Object interface {
	Key() Key
	Validate() error
	object()
}

// Configuration holds all objects of one release, indexed by name.
type Configuration struct {
	Release  int64
	Classes  map[string]Class
	Targets  map[string]Target
	Services map[string]Service
	Indexes  map[string][]Index // by service, newest version first
}

// New validates the objects, builds a configuration of them and checks the references between them.
func New(release int64, objects []Object) (*Configuration, error) {
	for _, object := range objects {
		if err := object.Validate(); err != nil {
			return nil, err
		}
	}
	return NewValidated(release, objects)
}

// NewValidated builds a configuration of objects that have been validated already, as Decode does, and checks the references between them.
func NewValidated(release int64, objects []Object) (*Configuration, error) {
	configuration := &Configuration{
		Release:  release,
		Classes:  map[string]Class{},
		Targets:  map[string]Target{},
		Services: map[string]Service{},
		Indexes:  map[string][]Index{},
	}
	for _, object := range objects {
		configuration.add(object)
	}
	for service := range configuration.Indexes {
		slices.SortFunc(configuration.Indexes[service], func(a, b Index) int { return int(b.Version - a.Version) })
	}
	return configuration, configuration.check()
}

func (configuration *Configuration) add(object Object) {
	switch object := object.(type) {
	case Class:
		configuration.Classes[object.Name] = object
	case Target:
		configuration.Targets[object.Name] = object
	case Service:
		configuration.Services[object.Name] = object
	case Index:
		configuration.Indexes[object.Service] = append(configuration.Indexes[object.Service], object)
	}
}

// check verifies that every object referred to exists.
func (configuration *Configuration) check() error {
	for _, name := range slices.Sorted(maps.Keys(configuration.Services)) {
		service := configuration.Services[name]
		for _, class := range service.Classes {
			if _, ok := configuration.Classes[class]; !ok {
				return newReferenceError(service.Key(), "classes", ClassKey(class))
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(configuration.Indexes)) {
		for _, index := range configuration.Indexes[name] {
			if err := configuration.checkIndex(index); err != nil {
				return err
			}
		}
	}
	return nil
}

func (configuration *Configuration) checkIndex(index Index) error {
	if _, ok := configuration.Services[index.Service]; !ok {
		return newReferenceError(index.Key(), "service", ServiceKey(index.Service))
	}
	for _, shard := range index.Shards {
		for _, replica := range shard.Replicas {
			if _, ok := configuration.Targets[replica]; !ok {
				return newReferenceError(index.Key(), "replicas", TargetKey(replica))
			}
		}
	}
	return nil
}

func newReferenceError(key Key, field string, missing Key) error {
	return &Error{Op: "check", Kind: BadReference, Key: key, Field: field,
		Detail: fmt.Sprintf("%s does not exist in the configuration", missing)}
}
