package gateway

import (
	"context"
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"poplarpin.dev/core/quota"
	"poplarpin.dev/core/route"
	"poplarpin.dev/core/tally"
	"poplarpin.dev/platform"
)

var quotaState atomic.Pointer[quota.View]

// quotaOutcomes counts requests of accounts with a quota by verdict.
var quotaOutcomes = struct {
	sync.Mutex
	counts *tally.Tally
}{counts: tally.New(shownAccounts, trackedAccounts)}

func init() {
	expvar.Publish("quotaState", expvar.Func(func() any { return quotaState.Load() }))
	expvar.Publish("quotaOutcomes", expvar.Func(func() any {
		quotaOutcomes.Lock()
		defer quotaOutcomes.Unlock()
		return quotaOutcomes.counts.View()
	}))
}

// recordQuotaOutcome counts the verdict on a request.
func recordQuotaOutcome(account string, verdict quota.Verdict) {
	outcome := ""
	switch verdict.(type) {
	case quota.Admitted:
		outcome = "admitted"
	case quota.Refused:
		outcome = "refused"
	case quota.Unknown:
		outcome = "unknown"
	}
	quotaOutcomes.Lock()
	defer quotaOutcomes.Unlock()
	quotaOutcomes.counts.Add(account, outcome)
}

// take takes a token for a request and waits for the verdict. It returns false if the request must not run, with the answer that rejects
// it, nil if the client has left.
func (quotas *quotas) take(ctx context.Context, request *platform.Request, matched *route.Route, account *route.Account, table *route.Table) (token, platform.Answer, bool) {
	if account == nil || !quotas.enabled() {
		return token{}, nil, true
	}
	quotas.applyTable(table)
	verdict, needed := quotas.verdict(ctx, matched, account)
	if !needed {
		return token{}, nil, true
	}
	if verdict == nil {
		requestCounts.Add("clientLeft", 1)
		quotas.log.Info("client left while its request waited for a token", zap.String("request", truncate(request.ID)), zap.String("account", account.Name))
		return token{}, nil, false
	}
	recordQuotaOutcome(account.Name, verdict)
	switch verdict := verdict.(type) {
	case quota.Refused:
		requestCounts.Add("overQuota", 1)
		quotas.logRefusal(request, matched, account, "quota used up", verdict.RetryAfter)
		return token{}, platform.OverQuota{RetryAfter: verdict.RetryAfter}, false
	case quota.Unknown:
		requestCounts.Add("quotaUnknown", 1)
		retryAfter := quotas.gateway.retryAfter(verdict.RetryAfter)
		quotas.logRefusal(request, matched, account, "no token is available here", retryAfter)
		return token{}, platform.Refusal{RetryAfter: retryAfter, Reason: "no token for the account's quota is available here"}, false
	case quota.Admitted:
		return token{account: account.Name, admitted: verdict}, nil, true
	}
	return token{}, nil, true
}

// verdict returns the verdict on a request of an account, nil if the client left before; it reports false if there are no quotas.
func (quotas *quotas) verdict(ctx context.Context, matched *route.Route, account *route.Account) (verdict quota.Verdict, needed bool) {
	if account.RequestsPerSecond <= 0 {
		return nil, false
	}
	waiter := make(chan quota.Verdict, 1)
	var id uint64
	quotas.step(func(now time.Duration, node *quota.Node) []quota.Action {
		needed = true
		quotas.lastRequest++
		id = quotas.lastRequest
		quotas.waiters[id] = waiter
		decided, actions := node.Admit(now, account.Name, id, matched.Objective)
		if _, waits := decided.(quota.Waiting); !waits {
			verdict = decided
			delete(quotas.waiters, id)
		}
		return actions
	})
	if !needed || verdict != nil {
		return verdict, needed
	}
	select {
	case verdict = <-waiter:
		return verdict, true
	case <-ctx.Done():
		quotas.cancel(account.Name, id, waiter)
		return nil, true
	}
}

// cancel ends the wait of a request whose client has left, and returns the token that it may have got meanwhile.
func (quotas *quotas) cancel(account string, id uint64, waiter chan quota.Verdict) {
	quotas.step(func(now time.Duration, node *quota.Node) []quota.Action {
		node.Cancel(id)
		delete(quotas.waiters, id)
		select {
		case verdict := <-waiter:
			if admitted, ok := verdict.(quota.Admitted); ok {
				node.Refund(now, account, admitted)
			}
		default:
		}
		return nil
	})
}

func (quotas *quotas) logRefusal(request *platform.Request, matched *route.Route, account *route.Account, reason string, retryAfter time.Duration) {
	quotas.mu.Lock()
	pool := quotas.pool
	quotas.mu.Unlock()
	quotas.log.Info("request refused", zap.String("request", truncate(request.ID)), zap.String("route", matched.Name), zap.String("account", account.Name),
		zap.String("reason", reason), zap.String("pool", pool), zap.Duration("retryAfter", retryAfter))
}

// refund returns the token of a request of which nothing was sent to a target or a relay.
func (quotas *quotas) refund(token token) {
	if token.account == "" {
		return
	}
	quotas.step(func(now time.Duration, node *quota.Node) []quota.Action {
		node.Refund(now, token.account, token.admitted)
		return nil
	})
}

// refundUnsent returns a job's token if nothing of the job was sent to a target or a relay.
func (gateway *Gateway) refundUnsent(job *job) {
	gateway.mu.Lock()
	unsent := len(job.exchanges) == 0 && len(job.relayQueries) == 0
	gateway.mu.Unlock()
	if unsent {
		gateway.quotas.refund(job.token)
	}
}

// view returns a snapshot for operators, nil without quotas.
func (quotas *quotas) view() *quota.View {
	quotas.mu.Lock()
	defer quotas.mu.Unlock()
	if quotas.node == nil {
		return nil
	}
	view := quotas.node.View(bootTime())
	return &view
}
