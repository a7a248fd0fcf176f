package fanout

import (
	"time"

	"poplarpin.dev/core/budget"
)

// Budgets holds one budget of extra calls (hedges and retries) per service.
type Budgets struct {
	fraction    float64
	slack       float64 // extra calls per window for all VMs together
	vms         int
	fullShareAt time.Time // when this VM may use its full share of the slack
	services    map[string]*budget.Budget
}

// NewBudgets returns budgets that limit extra calls to a fraction of a service's requests plus, in each budget.Window, a slack that all
// VMs share. For one window after its start a VM uses only a quarter of its share, since it may replace a VM that has already spent it.
func NewBudgets(fraction, slack float64, now time.Time) *Budgets {
	return &Budgets{fraction: fraction, slack: slack, vms: assumedVMs, fullShareAt: now.Add(budget.Window),
		services: map[string]*budget.Budget{}}
}

// SetVMs sets the number of VMs that share the slack. Existing budgets get the full share only by a call after the first budget.Window.
func (budgets *Budgets) SetVMs(now time.Time, vms int) {
	budgets.vms = max(vms, 1)
	for _, budget := range budgets.services {
		budget.SetSlack(budgets.slackShare(now))
	}
}

// slackShare returns this VM's share of the slack.
func (budgets *Budgets) slackShare(now time.Time) float64 {
	share := budgets.slack / float64(budgets.vms)
	if now.Before(budgets.fullShareAt) {
		return share / startupDivisor
	}
	return share
}

// ForService returns the budget of a service and creates it if necessary.
func (budgets *Budgets) ForService(now time.Time, service string) *budget.Budget {
	found, ok := budgets.services[service]
	if !ok {
		found = budget.New(budgets.fraction)
		found.SetSlack(budgets.slackShare(now))
		budgets.services[service] = found
	}
	return found
}

// Retain removes the budgets of services for which keep returns false.
func (budgets *Budgets) Retain(keep func(string) bool) {
	for name := range budgets.services {
		if !keep(name) {
			delete(budgets.services, name)
		}
	}
}
