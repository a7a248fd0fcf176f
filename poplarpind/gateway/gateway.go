package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"poplarpin.dev/core/admit"
	"poplarpin.dev/core/fanout"
	"poplarpin.dev/core/follow"
	"poplarpin.dev/core/place"
	"poplarpin.dev/core/route"
	"poplarpin.dev/core/rpc"
	"poplarpin.dev/platform"
	"poplarpin.dev/poplarpind/http1"
	"poplarpin.dev/poplarpind/peer"
)

const (
	budgetShare    = 0.9                  // of the extra calls that the platform allows; the rest is for VMs that come and go
	clientMargin   = 9 * time.Millisecond // between an answer and its arrival at the client: the network
	defaultTimeout = 30 * time.Second     // where neither client nor route says how long a request may take
	defaultBody    = 1 << 20              // bytes of a request, until a configuration says so
	connectionPart = 0.6                  // of the connections that a server accepts, which one VM may use; servers turn away what is too much
	leastPerServer = 3                    // connections of one VM to one server, at the least
)

// Gateway serves the requests of clients on one VM.
type Gateway struct {
	settings   platform.Settings
	log        *zap.Logger
	pool       *http1.Pool
	mesh       *peer.Mesh
	table      atomic.Pointer[route.Table]
	address    atomic.Pointer[string] // of the store
	seedList   atomic.Pointer[[]string]
	stopping   atomic.Bool
	stranded   atomic.Bool               // this VM is cut off from servers that it needs, which VMs elsewhere may reach
	strandedAt atomic.Pointer[time.Time] // when that last changed; nil for never
	active     atomic.Int64              // requests of clients under way

	met           chan struct{} // closed once the list of entry VMs was asked for
	toTell        chan struct{} // filled when there are findings to tell
	mu            sync.Mutex    // guards what follows, and every run
	random        *rand.Rand
	fleet         *place.Fleet
	budgets       *fanout.Budgets
	book          *follow.StoreCache // what is known of the store
	follower      *follow.Follower
	plan          follow.Plan
	storeAnswered time.Time                 // when the store last answered this VM
	peers         []platform.VM             // the other entry VMs
	readers       map[string]*reader        // by name, VMs that ask for news
	rumours       []rumour                  // what readers have told and is not passed on yet
	queries       int64                     // that were asked of VMs elsewhere
	relayed       map[string]asked          // by query, calls that VMs elsewhere relay
	serving       map[string]*job           // by VM and query, what this VM relays
	listed        bool                      // the servers are known
	limits        map[string]*admit.Limiter // of requests under way, by the set of shards that they go to
	lag           time.Duration             // by which answers have gone out later than planned, of which old ones count less
	asked         map[string]float64        // requests of each route, of which old ones count less
}

// New returns a gateway that knows no configuration yet.
func New(settings platform.Settings, log *zap.Logger) *Gateway {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	bounds := settings.Bounds
	gateway := &Gateway{
		settings: settings,
		log:      log,
		random:   random,
		fleet:    place.New(settings.FailureDomain, settings.Cores, random),
		met:      make(chan struct{}),
		toTell:   make(chan struct{}, 1),
		book:     follow.NewStoreCache(),
		follower: follow.New(follow.Peer{Name: settings.VM, FailureDomain: settings.FailureDomain, Cores: settings.Cores}),
		readers:  map[string]*reader{},
		relayed:  map[string]asked{},
		serving:  map[string]*job{},
		limits:   map[string]*admit.Limiter{},
		asked:    map[string]float64{},
		budgets:  fanout.NewBudgets(bounds.RetryBudgetRatio*budgetShare, bounds.RetryBudgetSlack*budgetShare, time.Now()),
	}
	gateway.pool = http1.New(gateway.connections)
	gateway.mesh = peer.New(rpc.Hello{VM: settings.VM, Incarnation: time.Now().UnixMicro()}, gateway, nil)
	gateway.address.Store(&settings.StoreAddress)
	gateway.seedList.Store(&settings.Seeds)
	return gateway
}

// run keeps connections, configuration and servers until the context ends.
func (gateway *Gateway) run(ctx context.Context) {
	go gateway.pool.Run(ctx)
	go gateway.learn(ctx)
	go gateway.share(ctx)
	go gateway.expire(ctx)
	go gateway.probe(ctx)
	go gateway.keepPeers(ctx)
	go gateway.seed(ctx)
	<-ctx.Done()
}

func (gateway *Gateway) seeds() []string { return *gateway.seedList.Load() }

func (gateway *Gateway) storeAddress() string { return *gateway.address.Load() }

// connections returns how many connections this VM may have to a server.
func (gateway *Gateway) connections(id string) int {
	gateway.mu.Lock()
	service := gateway.fleet.ServiceOf(id)
	gateway.mu.Unlock()
	limit := 0
	if table := gateway.table.Load(); table != nil {
		limit = table.Service(service).MaxTargetConnections
	}
	return max(int(float64(limit)*connectionPart), leastPerServer)
}

// Ready reports whether the balancer may send new connections.
func (gateway *Gateway) Ready() bool {
	if gateway.stopping.Load() || gateway.table.Load() == nil || gateway.stranded.Load() {
		return false
	}
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	return gateway.listed
}

// Draining reports whether clients are to use other VMs from now on.
func (gateway *Gateway) Draining() bool { return gateway.stopping.Load() || gateway.stranded.Load() }

// BodyLimit returns the largest body in bytes that a client may send.
func (gateway *Gateway) BodyLimit() int64 {
	if table := gateway.table.Load(); table != nil && table.Limits.MaxBodyBytes > 0 {
		return table.Limits.MaxBodyBytes
	}
	return defaultBody
}

// RequestRejected logs a request that is no proper one.
func (gateway *Gateway) RequestRejected(id string, status int, reason string) {
	requests.Add("rejected", 1)
	gateway.log.Info("request rejected", zap.String("request", clip(id)), zap.Int("status", status), zap.String("reason", reason))
}

// Drain takes the VM out of the balancer's rotation; requests are served on.
func (gateway *Gateway) Drain() {
	gateway.stopping.Store(true)
	gateway.log.Info("stopping", zap.Int64("active", gateway.active.Load()))
}

// ActiveRequests returns the number of clients' requests under way.
func (gateway *Gateway) ActiveRequests() int64 { return gateway.active.Load() }

const maxLoggedID = 64 // bytes of an id in a log line

func clip(id string) string { return id[:min(len(id), maxLoggedID)] }
