package api_test

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/api"
)

// FuzzRequest guards against requests that decode without an error but are not valid.
func FuzzRequest(f *testing.F) {
	f.Add([]byte(`{"id":"a","service":"heat","deadline":"1s","top":5}`))
	f.Add([]byte(`{"id":"a","service":"heat","nonIdempotent":true,"shard":"s"}`))
	f.Add([]byte(`{"id":"a","service":"heat","deadline":"-1s","leastCoverage":1e308}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var request api.Request
		if json.Unmarshal(data, &request) == nil {
			assert.NilError(t, request.Validate())
			assert.Assert(t, request.RecordLimit() > 0)
		}
	})
}
