package config_test

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/config"
)

func target(name string) config.Target {
	return config.Target{Name: name, Address: "127.0.0.1:80", FailureDomain: "sohar", Slots: 2, Connections: 25}
}

func service() config.Service {
	return config.Service{Name: "heat", Classes: []string{"alarm"}, Deadline: config.Duration(1e9), ExtraCallRatio: 0.05}
}

func index(shards ...config.Shard) config.Index {
	return config.Index{Service: "heat", Version: 1, Shards: shards}
}

func shard(name string, from, to int64, replicas ...string) config.Shard {
	return config.Shard{Name: name, Documents: to - from, From: from, To: to, Replicas: replicas}
}

func assertRefused(t *testing.T, err error, kind config.Kind, field string) {
	t.Helper()
	var refused *config.Error
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Equal(t, refused.Kind, kind)
	assert.Equal(t, refused.Field, field)
}

func TestValidate(t *testing.T) {
	cases := []struct {
		name   string
		object config.Object
		kind   config.Kind
		field  string
	}{
		{"name", config.Class{Name: "Alarm"}, config.BadName, "name"},
		{"share", config.Class{Name: "alarm", Share: 1.5}, config.OutOfRange, "share"},
		{"address", config.Target{Name: "a", FailureDomain: "d", Slots: 1, Connections: 1, Address: "host:1"}, config.OutOfRange, "address"},
		{"slots", config.Target{Name: "a", FailureDomain: "d", Connections: 1, Address: "127.0.0.1:1"}, config.OutOfRange, "slots"},
		{"extra load", config.Service{Name: "s", Classes: []string{"a"}, Deadline: 1e9, ExtraCallRatio: 0.06}, config.OutOfRange, "extraLoad"},
		{"class twice", config.Service{Name: "s", Classes: []string{"a", "a"}, Deadline: 1e9}, config.Duplicate, "classes"},
		{"shard twice", index(shard("s", 0, 1, "a"), shard("s", 1, 2, "a")), config.Overlap, "shards"},
		{"ranges overlap", index(shard("s", 0, 10, "a"), shard("u", 9, 20, "a")), config.Overlap, "shards.from"},
		{"empty range", index(shard("s", 5, 5, "a")), config.OutOfRange, "shards.from"},
		{"replica twice", index(shard("s", 0, 1, "a", "a")), config.Duplicate, "shards.replicas"},
		{"no replica", index(shard("s", 0, 1)), config.OutOfRange, "shards.replicas (count)"},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) { assertRefused(t, testCase.object.Validate(), testCase.kind, testCase.field) })
	}
}

func TestNew(t *testing.T) {
	class := config.Class{Name: "alarm"}
	t.Run("complete, newest index version first", func(t *testing.T) {
		second := index(shard("s", 0, 1, "a"))
		second.Version = 2
		configuration, err := config.New(3, []config.Object{class, target("a"), service(), index(shard("s", 0, 1, "a")), second})
		assert.NilError(t, err)
		assert.Equal(t, configuration.Indexes["heat"][0].Version, int64(2))
	})
	t.Run("missing class", func(t *testing.T) {
		_, err := config.New(1, []config.Object{service()})
		assertRefused(t, err, config.BadReference, "classes")
	})
	t.Run("missing target", func(t *testing.T) {
		_, err := config.New(1, []config.Object{class, service(), index(shard("s", 0, 1, "a"))})
		assertRefused(t, err, config.BadReference, "replicas")
	})
}
