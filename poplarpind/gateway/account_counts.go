package gateway

import (
	"expvar"
	"net/http"
	"sync"

	"poplarpin.dev/core/route"
	"poplarpin.dev/core/tally"
	"poplarpin.dev/platform"
)

const (
	shownAccounts   = 10   // at most this many accounts are named in /debug/vars; the others are shown together
	trackedAccounts = 1000 // bounds the memory for accounts that were removed from the configuration

	overloadedReason = "servers are overloaded"
)

// The outcomes by which requests of accounts are counted.
const (
	servedOutcome     = "served"
	overQuotaOutcome  = "overQuota"
	overloadedOutcome = "overloaded"
	refusedOutcome    = "refused" // 503 for another reason, such as no target within reach or a quota that is not known
	failedOutcome     = "failed"  // an error of a target, no answer, or the client has left
)

// accountRequests counts requests by account, and those without a known key.
var accountRequests = struct {
	sync.Mutex
	counts       *tally.Tally
	unauthorized int64 // 401
	keyUnknown   int64 // 503 from an outdated view
}{counts: tally.New(shownAccounts, trackedAccounts)}

func init() {
	expvar.Publish("accountRequests", expvar.Func(func() any {
		accountRequests.Lock()
		defer accountRequests.Unlock()
		return struct {
			tally.View
			Unauthorized int64 `json:"unauthorized"`
			KeyUnknown   int64 `json:"keyUnknown"`
		}{accountRequests.counts.View(), accountRequests.unauthorized, accountRequests.keyUnknown}
	}))
}

// countUnauthorized counts a request without a known key.
func countUnauthorized(viewOutdated bool) {
	accountRequests.Lock()
	defer accountRequests.Unlock()
	if viewOutdated {
		accountRequests.keyUnknown++
	} else {
		accountRequests.unauthorized++
	}
}

// countAnswer counts the answer to an account's request; account is nil for requests without one, which are not counted.
func countAnswer(account *route.Account, answer platform.Answer) {
	if account == nil {
		return
	}
	accountRequests.Lock()
	defer accountRequests.Unlock()
	accountRequests.counts.Add(account.Name, outcomeOfAnswer(answer))
}

func outcomeOfAnswer(answer platform.Answer) string {
	switch answer := answer.(type) {
	case platform.Merged:
		return servedOutcome
	case platform.Relayed:
		if answer.Reply.Status < http.StatusInternalServerError {
			return servedOutcome
		}
	case platform.OverQuota:
		return overQuotaOutcome
	case platform.Refusal:
		if answer.Reason == overloadedReason {
			return overloadedOutcome
		}
		return refusedOutcome
	}
	return failedOutcome
}
