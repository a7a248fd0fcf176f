package follow_test

import (
	"encoding/json"

	"poplarpin.dev/core/follow"
)

// testContents decodes the specs of these tests.
type testContents struct{}

func (testContents) Entry(spec json.RawMessage) follow.Entry {
	var entry struct {
		State string
		Born  int64
		Seq   int64
	}
	if json.Unmarshal(spec, &entry) != nil {
		return follow.Entry{}
	}
	return follow.Entry{Draining: entry.State == "draining", StartedUnixMilli: entry.Born, Sequence: entry.Seq}
}

func (testContents) ConfigVersion(spec json.RawMessage) int64 {
	var config struct{ Version int64 }
	if json.Unmarshal(spec, &config) != nil {
		return 0
	}
	return config.Version
}
