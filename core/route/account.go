package route

import (
	"fmt"
	"slices"
	"strings"
	"unicode"
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
	table.accountByKey, table.needsKeys = map[string]*Account{}, len(accounts) > 0
	names := map[string]bool{}
	table.accounts = make([]Account, 0, len(accounts)) // never grows beyond it, so that pointers into it stay valid
	for i, account := range accounts {
		report := func(format string, args ...any) {
			errs = append(errs, &Error{Op: "table", Kind: Invalid, Account: account.label(i), Detail: fmt.Sprintf(format, args...)})
		}
		if detail := account.unusable(names); detail != "" {
			report("%s", detail)
			continue
		}
		if !(account.RequestsPerSecond >= 0) || !(account.Burst >= 0) {
			report("the quota is negative and is ignored")
			account.RequestsPerSecond, account.Burst = 0, 0
		}
		names[account.Name] = true
		table.accounts = append(table.accounts, account)
		table.addKeys(&table.accounts[len(table.accounts)-1], report)
	}
	return errs
}

// label names an account in errors; index is its position in the configuration.
func (account *Account) label(index int) string {
	if account.Name == "" {
		return fmt.Sprintf("#%d", index+1)
	}
	return account.Name
}

// unusable says why an account cannot be used, given the names of the earlier ones; it returns "" for a usable account.
func (account *Account) unusable(names map[string]bool) string {
	switch {
	case account.Name == "":
		return "the name is empty"
	case names[account.Name]:
		return "the name is used twice"
	case strings.ContainsFunc(account.Name, unicode.IsControl) || strings.TrimSpace(account.Name) != account.Name:
		return "the name cannot be sent in a header"
	}
	return ""
}

// addKeys adds the keys of an account, except those that no request can carry or that belong to an earlier account. It reports them by
// their position.
func (table *Table) addKeys(account *Account, report func(format string, args ...any)) {
	for i, key := range account.Keys {
		switch other := table.accountByKey[key]; {
		case key == "" || strings.TrimSpace(key) != key || strings.ContainsFunc(key, unicode.IsControl):
			report("key %d is empty or cannot be sent in a header", i+1)
		case other == account:
			report("key %d is listed twice", i+1)
		case other != nil:
			report("key %d belongs to account %q already", i+1, other.Name)
		default:
			table.accountByKey[key] = account
		}
	}
}

// HasAccounts reports whether requests need a key, unless their route is public. A configuration whose accounts are all unusable needs
// keys too: it does not open its routes to everybody.
func (table *Table) HasAccounts() bool { return table.needsKeys }

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

// AllowedRegions restricts targets and relays to some regions; the zero value allows all.
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

// Restricted reports whether there are regions that may not get the request.
func (allowed AllowedRegions) Restricted() bool { return allowed.restricted }

// Allows reports whether a region may get the request.
func (allowed AllowedRegions) Allows(region string) bool {
	return !allowed.restricted || slices.Contains(allowed.regions, region)
}
