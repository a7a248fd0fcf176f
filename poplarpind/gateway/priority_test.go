package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/route"
)

// TestAccountPriority guards against admission by the route's priority where the account has one of its own.
func TestAccountPriority(t *testing.T) {
	high, low := 0, 9
	gateway, matched := newTestGateway(), gatherRoute(0)
	matched.Priority = 5
	admitted := func(account *route.Account) bool {
		_, ok, _ := gateway.admit(matched, account)
		return ok
	}
	for admitted(nil) {
	}
	assert.Assert(t, !admitted(&route.Account{Name: "without"}))
	assert.Assert(t, !admitted(&route.Account{Name: "low", Priority: &low}))
	assert.Assert(t, admitted(&route.Account{Name: "high", Priority: &high}))
}
