package route

import (
	"fmt"
	"slices"
)

// Account is a client account: the holder of keys, with a quota for all its requests.
type Account struct {
	Name              string
	Keys              []string
	Priority          *int     // replaces the priority of routes; nil if they keep theirs
	RequestsPerSecond float64  // quota over all VMs; 0 for none
	Burst             float64  // requests beyond RequestsPerSecond at once
	HomeRegions       []string // regions that may get its requests; empty for all
}

// addAccounts adds the accounts of a configuration and returns an error for each duplicate or invalid one. Of two accounts with the same
// name or key the first is kept. Errors name no key.
func (table *Table) addAccounts(accounts []Account) []error {
	var errs []error
	table.accountByKey = map[string]*Account{}
	names := map[string]bool{}
	table.accounts = make([]Account, 0, len(accounts)) // never grows beyond it, so that pointers into it stay valid
	for _, account := range accounts {
		if account.Name == "" || names[account.Name] || !(account.RequestsPerSecond >= 0) || !(account.Burst >= 0) {
			errs = append(errs, &Error{Op: "table", Kind: Invalid, Account: account.Name, Detail: "the name is empty or used twice, or the quota is negative"})
			continue
		}
		names[account.Name] = true
		table.accounts = append(table.accounts, account)
		kept := &table.accounts[len(table.accounts)-1]
		for i, key := range account.Keys {
			if other := table.accountByKey[key]; key == "" || other != nil {
				errs = append(errs, &Error{Op: "table", Kind: Invalid, Account: account.Name, Detail: fmt.Sprintf("key %d is empty or used twice", i+1)})
				continue
			}
			table.accountByKey[key] = kept
		}
	}
	return errs
}

// HasAccounts reports whether requests need a key, unless their route is public.
func (table *Table) HasAccounts() bool { return len(table.accounts) > 0 }

// Accounts returns the accounts of the configuration, which must not be changed.
func (table *Table) Accounts() []Account { return table.accounts }

// AccountByKey returns the account that holds a key, or nil if there is none.
func (table *Table) AccountByKey(key string) *Account { return table.accountByKey[key] }

// EffectivePriority returns the priority of an account's requests on the route; account is nil for requests without one.
func (route *Route) EffectivePriority(account *Account) int {
	if account != nil && account.Priority != nil {
		return *account.Priority
	}
	return route.Priority
}

// AllowedRegions restricts targets and relays to some regions.
type AllowedRegions struct {
	restricted bool
	regions    []string
}

// AllowedRegions returns the regions that may get an account's requests on the route; account is nil for requests without one. Where both
// have home regions, only those in both count.
func (route *Route) AllowedRegions(account *Account) AllowedRegions {
	allowed := AllowedRegions{restricted: len(route.HomeRegions) > 0, regions: route.HomeRegions}
	if account == nil || len(account.HomeRegions) == 0 {
		return allowed
	}
	if !allowed.restricted {
		return AllowedRegions{restricted: true, regions: account.HomeRegions}
	}
	var both []string
	for _, region := range route.HomeRegions {
		if slices.Contains(account.HomeRegions, region) {
			both = append(both, region)
		}
	}
	return AllowedRegions{restricted: true, regions: both}
}

// Allows reports whether a region may get the request.
func (allowed AllowedRegions) Allows(region string) bool {
	return !allowed.restricted || slices.Contains(allowed.regions, region)
}
