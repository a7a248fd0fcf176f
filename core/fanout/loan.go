package fanout

import (
	"time"

	"poplarpin.dev/core/place"
)

// maxLoans is how many VMs are asked at most to make an extra call of a part on their own budgets.
const maxLoans = 2

// pay spends the budget for an extra call of a part and reports whether this VM may make the call. If its budget is spent, another VM is asked
// to make the call; if there is none, the part is suppressed for want of a budget.
func (run *Run) pay(now time.Time, part *partState, cause string) bool {
	if run.shared.Budgets.ForService(now, part.service).Spend(now, 1) {
		return true
	}
	if !run.borrow(now, part, cause) {
		part.suppressed = NoBudget
	}
	return false
}

// borrow has another VM next to the best target of a part make its hedge or retry, and reports whether there is one that may. That VM spends
// its own budget or declines, so that all VMs together stay within the budget that they share, while one that is short of it uses what others
// have left.
func (run *Run) borrow(now time.Time, part *partState, cause string) bool {
	if !run.spec.Idempotent || part.loans >= maxLoans {
		return false
	}
	target, ok := run.chooseUntried(now, part)
	if !ok {
		return false
	}
	relay, ok := run.chooseRelay(now, part, target.target.FailureDomain)
	if !ok || run.shared.Fleet.Stuck(now, relay.ID) {
		return false
	}
	if !run.forward(now, part, chosen{target.target, relay, place.Relayed}, BudgetSpent, cause) {
		return false
	}
	part.loans++
	part.suppressed = ""
	run.extraCalls++
	return true
}

// chargedOutcome returns the outcome of a part of a relayed call as it counts for a retry: one that nobody has paid for has to be paid for,
// even though nothing was sent.
func (call *call) chargedOutcome(outcome Outcome) Outcome {
	if call.reason == BudgetSpent && outcome.concernsPath() {
		return Unpaid
	}
	return outcome
}
