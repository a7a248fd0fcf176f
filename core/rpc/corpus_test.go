package rpc_test

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/api"
	"poplarpin.dev/core/corpustest"
	"poplarpin.dev/core/member"
	"poplarpin.dev/core/rpc"
)

// newMessages returns an empty message of each kind.
func newMessages() map[string]any {
	return map[string]any{
		rpc.MethodHello: &rpc.Hello{}, rpc.MethodGather: &rpc.Gather{}, rpc.MethodGatherResult: &rpc.GatherResult{}, rpc.MethodGatherCancel: &rpc.GatherCancel{},
		rpc.MethodSubscribe: &rpc.StoreRevisions{}, rpc.MethodStoreUpdate: &rpc.StoreUpdate{}, rpc.MethodObservations: &rpc.Observations{},
		rpc.MethodQuotaLoan: &rpc.QuotaLoan{}, rpc.MethodQuotaAsk: &rpc.QuotaAsk{}, rpc.MethodQuotaGrant: &rpc.QuotaGrant{},
		rpc.MethodBatch: &rpc.Batch{}, rpc.MethodBatchCancel: &rpc.BatchCancel{}, rpc.MethodBatchResults: &rpc.BatchResults{},
		rpc.MethodPull: &rpc.Pull{}, rpc.MethodPull + " answer": &rpc.PullResponse{}, rpc.MethodLeavingTargets: &rpc.LeavingTargets{},
		rpc.MethodMembership: &member.Message{}, rpc.MethodStatusReport: &api.VMStatus{},
	}
}

// decodeMessages returns the recorded messages of a build by their kind.
func decodeMessages(t testing.TB, recording []byte) map[string]json.RawMessage {
	t.Helper()
	var messages map[string]json.RawMessage
	assert.NilError(t, json.Unmarshal(recording, &messages))
	return messages
}

// validate checks a message that knows how.
func validate(message any) error {
	if checked, ok := message.(interface{ Validate() error }); ok {
		return checked.Validate()
	}
	return nil
}

// TestMessagesOfLandedBuilds guards against a field of a VM of an earlier build that this one does not read, or reads with another meaning.
func TestMessagesOfLandedBuilds(t *testing.T) {
	corpustest.Run(t, func(t *testing.T, _ string, recording []byte) {
		messages := decodeMessages(t, recording)
		for kind, message := range newMessages() {
			t.Run(kind, func(t *testing.T) {
				assert.Assert(t, messages[kind] != nil, "no such message was recorded")
				assert.NilError(t, json.Unmarshal(messages[kind], message))
				assert.NilError(t, validate(message))
				assertKept(t, messages[kind], encode(t, message))
			})
		}
	})
}

// TestMessagesOfLaterBuilds guards against a message that is rejected because a later build has added a field to it.
func TestMessagesOfLaterBuilds(t *testing.T) {
	corpustest.Run(t, func(t *testing.T, _ string, recording []byte) {
		messages := decodeMessages(t, recording)
		for kind, message := range newMessages() {
			t.Run(kind, func(t *testing.T) {
				var fields map[string]any
				assert.NilError(t, json.Unmarshal(messages[kind], &fields))
				fields["laterField"] = []int{1}
				assert.NilError(t, json.Unmarshal(encode(t, fields), message))
				assert.NilError(t, validate(message))
			})
		}
	})
}

func encode(t *testing.T, value any) []byte {
	t.Helper()
	data, err := json.Marshal(value)
	assert.NilError(t, err)
	return data
}

// assertKept asserts that all values of a message are the same after it has been decoded and encoded.
func assertKept(t *testing.T, before, after []byte) {
	t.Helper()
	var values [2]map[string]any
	for i, data := range [][]byte{before, after} {
		assert.NilError(t, json.Unmarshal(data, &values[i]))
	}
	for field, value := range values[0] {
		assert.DeepEqual(t, values[1][field], value)
	}
}

// FuzzMessages guards against a message that passes its check and is another one after it has been passed on.
func FuzzMessages(f *testing.F) {
	for _, recording := range corpustest.Builds(f) {
		for kind, message := range decodeMessages(f, recording) {
			f.Add(kind, []byte(message))
		}
	}
	f.Fuzz(func(t *testing.T, kind string, data []byte) {
		first, second := newMessages()[kind], newMessages()[kind]
		if first == nil || json.Unmarshal(data, first) != nil || validate(first) != nil {
			return
		}
		passedOn := encode(t, first)
		assert.NilError(t, json.Unmarshal(passedOn, second))
		assert.NilError(t, validate(second))
		assert.Equal(t, string(encode(t, second)), string(passedOn))
	})
}

// TestNeeds guards against a message to a VM of an earlier build that ignores the targets, calls them more than once, or drops records that the
// asking VM needs.
func TestNeeds(t *testing.T) {
	assert.Equal(t, len(rpc.Gather{}.Needs()), 0)
	assert.DeepEqual(t, rpc.Gather{Targets: []string{"i-1"}}.Needs(), []rpc.Capability{rpc.NamedTargets})
	assert.DeepEqual(t, rpc.Gather{Once: true}.Needs(), []rpc.Capability{rpc.NamedTargets})
	assert.DeepEqual(t, rpc.Gather{Targets: []string{"i-1"}, Pays: true}.Needs(), []rpc.Capability{rpc.NamedTargets, rpc.LendsBudget})
	assert.DeepEqual(t, rpc.Gather{ShardsDigest: 7}.Needs(), []rpc.Capability{rpc.RecordLimit})
	assert.DeepEqual(t, rpc.Gather{ShardsDigest: 7, Targets: []string{"i-1"}, Pays: true}.Needs(), rpc.OwnCapabilities())
}
