package route_test

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/route"
)

func newTable(t *testing.T, routes ...route.Route) *route.Table {
	t.Helper()
	table, problems := route.New(route.Config{Version: 7, Routes: routes})
	assert.Equal(t, len(problems), 0)
	return table
}

func singleRoute(name, host, prefix string) route.Route {
	return route.Route{Name: name, Host: host, PathPrefix: prefix, Destination: route.Single{Service: name}}
}

func TestMatch(t *testing.T) {
	table := newTable(t, singleRoute("root", "a.example", "/"), singleRoute("deep", "a.example", "/x/y/"),
		singleRoute("mid", "a.example", "/x/"))
	for path, want := range map[string]string{"/": "root", "/x/": "mid", "/x/y/z": "deep", "/x/y": "mid", "/xy/": "root"} {
		t.Run(path, func(t *testing.T) { assert.Equal(t, table.Match("A.example", path).Name, want) })
	}
	t.Run("another host", func(t *testing.T) { assert.Assert(t, table.Match("b.example", "/x/") == nil) })
}

func TestUnusableRoutes(t *testing.T) {
	bad := map[string]route.Route{
		"no service": {Name: "r", PathPrefix: "/"},
		"no weight":  {Name: "r", PathPrefix: "/", Destination: route.Split{Services: []route.WeightedService{{Service: "s"}}}},
		"no shards":  {Name: "r", PathPrefix: "/", Destination: route.Gather{}},
		"no slash":   {Name: "r", PathPrefix: "x/", Destination: route.Single{Service: "s"}},
	}
	for name, broken := range bad {
		t.Run(name, func(t *testing.T) {
			table, problems := route.New(route.Config{Version: 1, Routes: []route.Route{broken, singleRoute("good", "h", "/")}})
			assert.Equal(t, len(problems), 1)
			assert.Equal(t, table.RouteCount(), 1)
		})
	}
}

func TestSplitShares(t *testing.T) {
	split := route.Split{Services: []route.WeightedService{{Service: "a", Weight: 3}, {Service: "b", Weight: 1}, {Service: "c"}}}
	random := rand.New(rand.NewPCG(1, 1))
	counts := map[string]int{}
	for range 4000 {
		counts[split.Pick(random)]++
	}
	assert.Assert(t, counts["a"] > 2900 && counts["a"] < 3100, "%v", counts)
	assert.Equal(t, counts["c"], 0)
}
