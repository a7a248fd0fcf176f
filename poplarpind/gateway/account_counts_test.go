package gateway

import (
	"expvar"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/route"
	"poplarpin.dev/platform"
)

// TestAccountMetrics guards against an answer that is counted for the wrong cause, and against names of requests without an account.
func TestAccountMetrics(t *testing.T) {
	for want, answer := range map[string]platform.Answer{
		"served": platform.Merged{}, "overQuota": platform.OverQuota{}, "overloaded": platform.Refusal{Reason: overloadedReason},
		"refused": platform.Refusal{Reason: "no server answered"}, "failed": platform.Failure{},
	} {
		assert.Equal(t, outcomeOfAnswer(answer), want)
	}
	assert.Equal(t, outcomeOfAnswer(nil), "failed", "the client has left")
	assert.Equal(t, outcomeOfAnswer(platform.Relayed{Reply: platform.Reply{Status: 404}}), "served")
	assert.Equal(t, outcomeOfAnswer(platform.Relayed{Reply: platform.Reply{Status: 500}}), "failed")
	countAnswer(&route.Account{Name: "metered"}, platform.Merged{})
	countAnswer(nil, platform.Merged{})
	shown := expvar.Get("accountRequests").String()
	assert.Assert(t, strings.Contains(shown, `"metered":{"served":1}`), shown)
	assert.Assert(t, !strings.Contains(shown, `"":`), shown)
}
