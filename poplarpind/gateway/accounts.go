package gateway

import (
	"time"

	"go.uber.org/zap"

	"poplarpin.dev/core/route"
	"poplarpin.dev/platform"
)

const unknownKeyRetry = 100 * time.Millisecond // retry delay for a key that this VM may not know yet; another VM may know it

// authenticate returns the client account of a request, nil for a request that needs none, or the answer that rejects it.
func (gateway *Gateway) authenticate(request *platform.Request, matched *route.Route, table *route.Table) (*route.Account, platform.Answer) {
	if !table.HasAccounts() {
		return nil, nil
	}
	if matched.Public {
		request.SetAccount("")
		return nil, nil
	}
	if account := table.AccountByKey(request.Key); account != nil {
		request.SetAccount(account.Name)
		return account, nil
	}
	viewAge, outdated := gateway.viewOutdated(time.Now())
	outcome := "unauthorized"
	if outdated = outdated && request.Key != ""; outdated { // a request without a key gets a 401 everywhere
		outcome = "keyUnknown"
	}
	requestCounts.Add(outcome, 1)
	countUnauthorized(outdated)
	gateway.log.Info("request without a known key", zap.String("request", truncate(request.ID)), zap.String("route", matched.Name),
		zap.Int64("version", table.Version), zap.Bool("keyGiven", request.Key != ""), zap.Duration("viewAge", viewAge), zap.String("outcome", outcome))
	if outdated { // a configuration with this key may be in force elsewhere; clients do not retry a 401
		return nil, platform.Refusal{RetryAfter: unknownKeyRetry, Reason: "the key is unknown and this VM's configuration may be outdated"}
	}
	return nil, platform.Unauthorized{}
}
