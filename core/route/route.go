package route

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind classifies an Error.
type Kind string

// Error kinds.
const (
	Invalid Kind = "invalid"
)

// Error reports why a route or an account was rejected.
type Error struct {
	Op      string
	Kind    Kind
	Route   string // empty for an account
	Account string // empty for a route
	Detail  string
}

// Error implements error.
func (err *Error) Error() string {
	if err.Account != "" {
		return fmt.Sprintf("%s: %s: account %q: %s", err.Op, err.Kind, err.Account, err.Detail)
	}
	return fmt.Sprintf("%s: %s: route %q: %s", err.Op, err.Kind, err.Route, err.Detail)
}

// Destination is where a route's requests go: Single, Split or Gather.
type Destination interface{ destination() }

// Single sends each request to one target of a service.
type Single struct{ Service string }

// WeightedService is a service of a Split with its weight.
type WeightedService struct {
	Service string
	Weight  float64
}

// Split distributes requests over services in proportion to their weights.
type Split struct{ Services []WeightedService }

// Gather sends each request to one target of every shard and merges the answers.
type Gather struct {
	Shards       []string
	ShardsDigest uint64  // hash of Shards, by which VMs check that they mean the same list
	TopK         int     // number of records in the merged answer
	MinCoverage  float64 // share of the shards required for a successful answer
}

func (Single) destination() {}
func (Split) destination()  {}
func (Gather) destination() {}

// Route is an entry of the routing table.
type Route struct {
	Name        string
	Host        string
	PathPrefix  string // begins and ends with a slash
	Idempotent  bool
	Timeout     time.Duration // maximum time until the caller gets a response; 0 for no limit
	Objective   time.Duration // an answer within this time is on time; 0 for no objective
	MaxAttempts int           // targets that may process a request, per shard
	Priority    int           // 0 is the highest priority
	Public      bool          // requests need no key
	HomeRegions []string      // regions that may get its requests; empty for all
	Destination Destination
}

// Services returns the services that requests of the route may go to.
func (route *Route) Services() []string {
	switch destination := route.Destination.(type) {
	case Single:
		return []string{destination.Service}
	case Gather:
		return destination.Shards
	case Split:
		names := make([]string, len(destination.Services))
		for i, weighted := range destination.Services {
			names[i] = weighted.Service
		}
		return names
	}
	return nil
}

// Pick returns a service at random in proportion to the weights.
func (split Split) Pick(random *rand.Rand) string {
	totalWeight := 0.0
	for _, weighted := range split.Services {
		totalWeight += weighted.Weight
	}
	remaining := random.Float64() * totalWeight
	for _, weighted := range split.Services {
		if remaining -= weighted.Weight; remaining < 0 {
			return weighted.Service
		}
	}
	return split.Services[len(split.Services)-1].Service
}

// Limits limits the requests that callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Service holds the settings of a service.
type Service struct {
	Name                 string
	MaxTargetConnections int           // connections that a target accepts from all VMs together; 0 if unknown
	WarmUp               time.Duration // for which a target stays cold after its start; 0 if unknown
	ColdCallsPerSecond   float64       // calls that a cold target tolerates from all VMs together; 0 for no limit
}

// Config holds the parts of a configuration version that a Table is made of.
type Config struct {
	Version  int64
	Limits   Limits
	Routes   []Route
	Services []Service
	Accounts []Account
}

// Table is the routing table of a configuration version.
type Table struct {
	Version      int64
	Limits       Limits
	services     map[string]Service
	routesByHost map[string][]*Route
	routesByName map[string]*Route
	accounts     []Account
	accountByKey map[string]*Account
	needsKeys    bool            // the configuration lists accounts
	gathered     map[string]bool // services that are shards of a route
}

// New returns a table of the valid routes and accounts, and an error for each invalid one.
func New(config Config) (*Table, []error) {
	table := &Table{Version: config.Version, Limits: config.Limits, services: map[string]Service{}, routesByHost: map[string][]*Route{},
		routesByName: map[string]*Route{}, gathered: map[string]bool{}}
	errs := table.addAccounts(config.Accounts)
	for _, service := range config.Services {
		table.services[service.Name] = service
	}
	for i := range config.Routes {
		route := &config.Routes[i]
		if err := route.validate(); err != nil {
			errs = append(errs, err)
			continue
		}
		if gather, ok := route.Destination.(Gather); ok {
			gather.ShardsDigest = xxhash.Sum64String(strings.Join(gather.Shards, " "))
			route.Destination = gather
			for _, shard := range gather.Shards {
				table.gathered[shard] = true
			}
		}
		host := strings.ToLower(route.Host)
		table.routesByHost[host] = append(table.routesByHost[host], route)
		table.routesByName[route.Name] = route
	}
	return table, errs
}

func (route *Route) validate() error {
	detail := ""
	switch destination := route.Destination.(type) {
	case nil:
		detail = "no destination service"
	case Split:
		totalWeight := 0.0
		for _, weighted := range destination.Services {
			totalWeight += max(weighted.Weight, 0)
		}
		if totalWeight <= 0 {
			detail = "the split has no positive weight"
		}
	case Gather:
		if len(destination.Shards) == 0 || destination.TopK < 0 {
			detail = "no shards, or a negative number of records to return"
		}
	}
	if !strings.HasPrefix(route.PathPrefix, "/") {
		detail = "the path prefix does not begin with a slash"
	}
	if detail == "" {
		return nil
	}
	return &Error{Op: "table", Kind: Invalid, Route: route.Name, Detail: detail}
}

// Match returns the route of a host with the longest prefix of the path, or nil if none matches.
func (table *Table) Match(host, path string) *Route {
	var longest *Route
	for _, route := range table.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.PathPrefix) && (longest == nil || len(route.PathPrefix) > len(longest.PathPrefix)) {
			longest = route
		}
	}
	return longest
}

// Service returns the settings of a service, or the zero value if it is unknown.
func (table *Table) Service(name string) Service { return table.services[name] }

// Gathered reports whether a service is a shard of a route, so that calls of it can be relayed.
func (table *Table) Gathered(service string) bool { return table.gathered[service] }

// RouteCount returns the number of routes.
func (table *Table) RouteCount() int { return len(table.routesByName) }

// ServiceCount returns the number of services with settings.
func (table *Table) ServiceCount() int { return len(table.services) }

// ByName returns the route with the given name, or nil if there is none.
func (table *Table) ByName(name string) *Route { return table.routesByName[name] }
