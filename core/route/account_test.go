package route_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/route"
)

// newAccounts returns a table with accounts and its problems as text, and checks that no problem names a key.
func newAccounts(t *testing.T, accounts ...route.Account) (*route.Table, string) {
	t.Helper()
	table, errs := route.New(route.Config{Version: 1, Accounts: accounts})
	var text []string
	for _, err := range errs {
		assert.Assert(t, !strings.Contains(err.Error(), "key-"), err.Error())
		text = append(text, err.Error())
	}
	return table, strings.Join(text, "\n")
}

func assertKeyOf(t *testing.T, table *route.Table, key, name string) {
	t.Helper()
	account := table.AccountByKey(key)
	assert.Equal(t, account != nil, name != "")
	if account != nil {
		assert.Equal(t, account.Name, name)
	}
}

// TestAccounts guards against a mistake in one account that costs others their keys, or that lets everybody in.
func TestAccounts(t *testing.T) {
	t.Run("the first of two holders of a key keeps it", func(t *testing.T) {
		table, problems := newAccounts(t, route.Account{Name: "x", Keys: []string{"key-1", "key-1"}}, route.Account{Name: "y", Keys: []string{"key-2", "key-1"}})
		assert.Equal(t, problems, "table: invalid: account \"x\": key 2 is listed twice\ntable: invalid: account \"y\": key 2 belongs to account \"x\" already")
		assertKeyOf(t, table, "key-1", "x")
		assertKeyOf(t, table, "key-2", "y")
	})
	t.Run("the first of two accounts with one name is kept", func(t *testing.T) {
		table, problems := newAccounts(t, route.Account{Name: "x", Keys: []string{"key-1"}}, route.Account{Name: "x", Keys: []string{"key-2"}})
		assert.Equal(t, problems, `table: invalid: account "x": the name is used twice`)
		assertKeyOf(t, table, "key-1", "x")
		assertKeyOf(t, table, "key-2", "")
	})
	t.Run("an account without a usable name is left out, but keys stay required", func(t *testing.T) {
		table, problems := newAccounts(t, route.Account{Keys: []string{"key-1"}}, route.Account{Name: "x\r\ny", Keys: []string{"key-2"}})
		assert.Equal(t, problems, "table: invalid: account \"#1\": the name is empty\ntable: invalid: account \"x\\r\\ny\": the name cannot be sent in a header")
		assertKeyOf(t, table, "key-1", "")
		assert.Assert(t, table.HasAccounts())
	})
	t.Run("an account with a negative quota keeps its keys", func(t *testing.T) {
		table, problems := newAccounts(t, route.Account{Name: "x", Keys: []string{"key-1"}, RequestsPerSecond: -1})
		assert.Equal(t, problems, `table: invalid: account "x": the quota is negative and is ignored`)
		assertKeyOf(t, table, "key-1", "x")
		assert.Equal(t, table.Accounts()[0].RequestsPerSecond, 0.0)
	})
	t.Run("an empty key opens nothing", func(t *testing.T) {
		table, problems := newAccounts(t, route.Account{Name: "x", Keys: []string{"", " "}})
		assert.Equal(t, strings.Count(problems, "is empty or cannot be sent"), 2)
		assertKeyOf(t, table, "", "")
	})
	t.Run("without accounts no keys are needed", func(t *testing.T) {
		table, _ := newAccounts(t)
		assert.Assert(t, !table.HasAccounts())
	})
}

func TestAllowedRegions(t *testing.T) {
	for name, test := range map[string]struct {
		ofRoute, ofAccount []string
		allowed            string
	}{
		"none":     {nil, nil, "n s w"},
		"route":    {[]string{"n"}, nil, "n"},
		"account":  {nil, []string{"s", "w"}, "s w"},
		"both":     {[]string{"n", "s"}, []string{"s", "w"}, "s"},
		"disjoint": {[]string{"n"}, []string{"s"}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			allowed := (&route.Route{HomeRegions: test.ofRoute}).AllowedRegions(&route.Account{HomeRegions: test.ofAccount})
			var regions []string
			for _, region := range []string{"n", "s", "w"} {
				if allowed.Allows(region) {
					regions = append(regions, region)
				}
			}
			assert.Equal(t, strings.Join(regions, " "), test.allowed)
			assert.Equal(t, allowed.Allows(""), name == "none", "a failure domain without a known region")
		})
	}
}
