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

// The kinds of errors.
const (
	Invalid Kind = "invalid"
)

// Error reports why a table was not accepted.
type Error struct {
	Op     string
	Kind   Kind
	Route  string
	Detail string
}

// Error implements error.
func (err *Error) Error() string {
	return fmt.Sprintf("%s: %s: route %q: %s", err.Op, err.Kind, err.Route, err.Detail)
}

// Destination says where a route's requests go: Single, Split or Gather.
type Destination interface{ destination() }

// Single sends every request to one server of a service.
type Single struct{ Service string }

// WeightedService is one service of a Split.
type WeightedService struct {
	Service string
	Weight  float64
}

// Split spreads requests over services in the proportion of their weights.
type Split struct{ Services []WeightedService }

// Gather sends every request to one server of each shard and merges the answers.
type Gather struct {
	Shards       []string
	ShardsDigest uint64  // of the shards
	TopK         int     // records in the merged answer
	MinCoverage  float64 // share of the shards below which the answer is no success
}

func (Single) destination() {}
func (Split) destination()  {}
func (Gather) destination() {}

// Route is one entry of the table.
type Route struct {
	Name        string
	Host        string
	PathPrefix  string // of the path; begins and ends with a slash
	Idempotent  bool
	Timeout     time.Duration // after which the caller is answered at the latest; 0 for none
	Objective   time.Duration // within which an answer is on time; 0 for none
	MaxAttempts int           // servers that may run one request, for each shard
	Priority    int           // 0 is the highest
	Destination Destination
}

// Services returns the services that a route's requests may go to.
func (route *Route) Services() []string {
	switch destination := route.Destination.(type) {
	case Single:
		return []string{destination.Service}
	case Gather:
		return destination.Shards
	case Split:
		names := make([]string, len(destination.Services))
		for i, part := range destination.Services {
			names[i] = part.Service
		}
		return names
	}
	return nil
}

// Pick returns the service of a split for one request.
func (split Split) Pick(random *rand.Rand) string {
	total := 0.0
	for _, part := range split.Services {
		total += part.Weight
	}
	at := random.Float64() * total
	for _, part := range split.Services {
		if at -= part.Weight; at < 0 {
			return part.Service
		}
	}
	return split.Services[len(split.Services)-1].Service
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Service is what the configuration says of a service.
type Service struct {
	Name                 string
	MaxTargetConnections int // that one server accepts from all VMs together; 0 for unknown
}

// Table is the routing table of one configuration version.
type Table struct {
	Version  int64
	Limits   Limits
	services map[string]Service
	hosts    map[string][]*Route
	names    map[string]*Route
}

// New builds a table; routes that are not usable are left out and reported.
func New(version int64, limits Limits, routes []Route, services []Service) (*Table, []error) {
	table := &Table{Version: version, Limits: limits, services: map[string]Service{}, hosts: map[string][]*Route{},
		names: map[string]*Route{}}
	var errs []error
	for _, service := range services {
		table.services[service.Name] = service
	}
	for i := range routes {
		route := &routes[i]
		if err := route.check(); err != nil {
			errs = append(errs, err)
			continue
		}
		if gather, ok := route.Destination.(Gather); ok {
			gather.ShardsDigest = xxhash.Sum64String(strings.Join(gather.Shards, " "))
			route.Destination = gather
		}
		host := strings.ToLower(route.Host)
		table.hosts[host] = append(table.hosts[host], route)
		table.names[route.Name] = route
	}
	return table, errs
}

func (route *Route) check() error {
	detail := ""
	switch destination := route.Destination.(type) {
	case nil:
		detail = "it names no service"
	case Split:
		total := 0.0
		for _, part := range destination.Services {
			total += max(part.Weight, 0)
		}
		if total <= 0 {
			detail = "the weights of its split add up to nothing"
		}
	case Gather:
		if len(destination.Shards) == 0 || destination.TopK < 0 {
			detail = "it names no shards"
		}
	}
	if !strings.HasPrefix(route.PathPrefix, "/") {
		detail = "its path prefix does not begin with a slash"
	}
	if detail == "" {
		return nil
	}
	return &Error{Op: "table", Kind: Invalid, Route: route.Name, Detail: detail}
}

// Match returns the route of a host and path with the longest prefix, nil for none.
func (table *Table) Match(host, path string) *Route {
	var best *Route
	for _, route := range table.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.PathPrefix) && (best == nil || len(route.PathPrefix) > len(best.PathPrefix)) {
			best = route
		}
	}
	return best
}

// Service returns what the configuration says of a service.
func (table *Table) Service(name string) Service { return table.services[name] }

// RouteCount returns the number of routes.
func (table *Table) RouteCount() int { return len(table.names) }

// ByName returns a route by its name, nil for none.
func (table *Table) ByName(name string) *Route { return table.names[name] }
