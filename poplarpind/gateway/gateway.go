package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"

	"poplarpin.dev/core/admit"
	"poplarpin.dev/core/fanout"
	"poplarpin.dev/core/follow"
	"poplarpin.dev/core/pause"
	"poplarpin.dev/core/place"
	"poplarpin.dev/core/poison"
	"poplarpin.dev/core/route"
	"poplarpin.dev/core/rpc"
	"poplarpin.dev/core/stop"
	"poplarpin.dev/platform"
	"poplarpin.dev/poplarpind/http1"
	"poplarpin.dev/poplarpind/peer"
)

const (
	extraBudgetShare = 0.9              // VMs use this part of the extra calls that the platform allows; the rest covers changes in the number of VMs
	defaultTimeout   = 30 * time.Second // a request has this time if neither the route nor the client sets one
	defaultBodyBytes = 1 << 20          // limit on request bodies until a configuration sets one
	connectionShare  = 0.6              // one VM opens at most this part of the connections that a target accepts; targets refuse those beyond their limit
	minConnections   = 3                // one VM may open at least this many connections to a target
	bodiesShare      = 0.1              // bodies of targets' responses have this part of the VM's memory, and those of clients' requests the same again; growing and collecting buffers can take four times that
	assumedMemory    = 184 << 20        // bytes of a VM whose settings do not say, as in the smallest deployment
)

// Gateway serves client requests on one VM.
type Gateway struct {
	settings            platform.Settings
	log                 *zap.Logger
	hello               rpc.Hello // of this VM
	pool                *http1.Pool
	mesh                *peer.Mesh
	era                 *platform.Era // of the store
	table               atomic.Pointer[route.Table]
	currentStoreAddress atomic.Pointer[string]
	storeProbe          singleflight.Group // pings a store that does not answer
	currentSeeds        atomic.Pointer[[]string]
	stop                atomic.Pointer[stop.Stop] // the planned stop; nil before it
	stopBegan           chan struct{}             // closed once stop is set
	refusesRelays       atomic.Bool               // the stop awaits the last results for peers
	isolated            atomic.Bool               // cut off from targets that most recent requests need; other VMs may still reach them
	cutOffTargets       atomic.Int64              // failure domains whose targets this VM does not reach
	isolatedChanged     atomic.Pointer[time.Time] // nil until the first change
	activeRequests      atomic.Int64              // client requests in flight
	hasSuspects         atomic.Bool               // suspects is not empty
	quotas              *quotas
	pauses              *pause.Detector
	guards              guards
	deliveries          deliveries

	oddRevision         int64         // of another writer's entry in the place of this VM's; 0 for none. Only maintainPeers uses it
	peersReadAt         time.Time     // when the list of entry VMs was last read from the store; zero before
	entryMissing        chan struct{} // signals that a peer's list of entry VMs lacks this VM
	peersRead           chan struct{} // closed after the first attempt to read the list of entry VMs
	observationsReady   chan struct{} // signals that observations are ready to be sent
	mu                  sync.Mutex    // guards the fields below and the state machine of every job
	random              *rand.Rand
	fleet               *place.Fleet
	budgets             *fanout.Budgets
	storeCache          *follow.StoreCache
	evacuations         *follow.Evacuations
	eraChanges          int       // handled changes of the store's era
	eraChanged          time.Time // time of the last one; zero for none
	follower            *follow.Follower
	plan                follow.Plan
	storeAnswered       time.Time                     // time of the store's last answer to this VM
	view                follow.View                   // how recent the known configuration is
	reads               map[string]context.CancelFunc // ends the list or watch in flight, by kind
	peers               []platform.VM                 // the other entry VMs
	greetings           map[string]rpc.Hello          // the last ones of other entry VMs, by name
	subscribers         map[string]*subscriber        // VMs that get store updates from this one, by name
	pendingObservations []reportedObservation         // not yet sent to other VMs
	pendingHints        []reportedHint                // not yet sent to other VMs
	pendingSuspects     []reportedSuspect             // not yet sent to other VMs
	suspects            *poison.Tracker               // requests that may crash targets
	lastQueryID         int64                         // of the queries that this VM sends to relays
	relayedCalls        map[string]relayedCall        // outgoing: calls of this VM that peers relay, by query ID
	relayJobs           map[string]*job               // incoming: requests that this VM relays for peers, by peer and query ID
	forwardLimit        *fanout.ForwardLimit          // on calls that this VM makes to targets that peers do not reach
	suspectsWatched     bool                          // a look at failure domains with unanswered calls is due
	targetsKnown        bool                          // a complete list of targets was received
	limiters            map[string]*admit.Limiter     // limits on concurrent requests, by first shard; routes that share it share a limiter
	responseDelay       time.Duration                 // largest recent delay of responses past their planned time, decaying
	routeRequests       map[string]float64            // recent requests by route, decaying

	retryPacers map[string]*admit.RetryPacer // of routes without a limiter, by route
}

// New returns a gateway without a configuration; build is the version of the program.
func New(settings platform.Settings, build string, log *zap.Logger) *Gateway {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	bounds := settings.Bounds
	gateway := &Gateway{
		settings:          settings,
		log:               log,
		hello:             rpc.Hello{VM: settings.VM, Incarnation: time.Now().UnixMicro(), Build: build, Capabilities: rpc.OwnCapabilities()},
		greetings:         map[string]rpc.Hello{},
		random:            random,
		fleet:             place.New(settings.FailureDomain, settings.Cores, random),
		era:               platform.NewEra(func(event string) { storeEras.Add(event, 1) }),
		stopBegan:         make(chan struct{}),
		peersRead:         make(chan struct{}),
		reads:             map[string]context.CancelFunc{},
		entryMissing:      make(chan struct{}, 1),
		observationsReady: make(chan struct{}, 1),
		storeCache:        follow.NewStoreCache(platform.Contents{}),
		evacuations:       follow.NewEvacuations(),
		suspects:          poison.New(),
		follower:          follow.New(follow.Peer{Name: settings.VM, FailureDomain: settings.FailureDomain, Cores: settings.Cores}),
		subscribers:       map[string]*subscriber{},
		relayedCalls:      map[string]relayedCall{},
		relayJobs:         map[string]*job{},
		forwardLimit:      fanout.NewForwardLimit(settings.Cores),
		limiters:          map[string]*admit.Limiter{},
		retryPacers:       map[string]*admit.RetryPacer{},
		routeRequests:     map[string]float64{},
		budgets:           fanout.NewBudgets(bounds.RetryBudgetRatio*extraBudgetShare, bounds.RetryBudgetSlack*extraBudgetShare, time.Now()),
	}
	gateway.fleet.SetRegions(settings.Regions)
	gateway.fleet.SetMaxDrainDelay(bounds.MaxDrainDelay)
	gateway.fleet.LimitCold(settings.VM, place.ColdBounds{Overshoot: bounds.ColdOvershoot, Slack: bounds.ColdSlack})
	gateway.quotas = newQuotas(gateway)
	gateway.pauses = pause.New(syncInterval)
	gateway.pool = http1.New(gateway.maxConnections, memoryBudget(settings.MemoryBytes))
	gateway.fleet.SetConnected(func(target string) bool { return gateway.pool.Idle(target) > 0 })
	gateway.guards = newGuards(gateway)
	gateway.mesh = peer.New(gateway.hello, gateway, nil)
	gateway.currentStoreAddress.Store(&settings.StoreAddress)
	gateway.currentSeeds.Store(&settings.Seeds)
	return gateway
}

// memoryBudget returns the bytes that the bodies of targets' responses, or those of clients' requests, may hold on a VM with this memory, 0
// for an unknown one.
func memoryBudget(memoryBytes int64) int64 {
	if memoryBytes <= 0 {
		memoryBytes = assumedMemory
	}
	return int64(float64(memoryBytes) * bodiesShare)
}

// run starts the background loops and blocks until the context ends.
func (gateway *Gateway) run(ctx context.Context) {
	go gateway.pool.Run(ctx)
	go gateway.syncStore(ctx)
	go gateway.shareObservations(ctx)
	go gateway.expireLapsed(ctx)
	go gateway.saveQuarantines(ctx)
	go gateway.probe(ctx)
	go gateway.quotas.run(ctx)
	go gateway.maintainPeers(ctx)
	go gateway.bootstrap(ctx)
	<-ctx.Done()
}

func (gateway *Gateway) seeds() []string { return *gateway.currentSeeds.Load() }

func (gateway *Gateway) storeAddress() string { return *gateway.currentStoreAddress.Load() }

// maxConnections returns the limit on this VM's connections to a target.
func (gateway *Gateway) maxConnections(id string) int {
	gateway.mu.Lock()
	service := gateway.fleet.ServiceOf(id)
	gateway.mu.Unlock()
	limit := 0
	if table := gateway.table.Load(); table != nil {
		limit = table.Service(service).MaxTargetConnections
	}
	return max(int(float64(limit)*connectionShare), minConnections)
}

// Ready reports whether the load balancer may send new connections to this VM.
func (gateway *Gateway) Ready() bool {
	if gateway.stop.Load() != nil || gateway.table.Load() == nil || gateway.isolated.Load() {
		return false
	}
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	return gateway.targetsKnown
}

// Draining reports whether clients should move to other VMs, because this one is stopping or isolated.
func (gateway *Gateway) Draining() bool { return gateway.stop.Load() != nil || gateway.isolated.Load() }

// BodyLimit returns the limit on a request body in bytes.
func (gateway *Gateway) BodyLimit() int64 {
	if table := gateway.table.Load(); table != nil && table.Limits.MaxBodyBytes > 0 {
		return table.Limits.MaxBodyBytes
	}
	return defaultBodyBytes
}

// RequestRejected counts and logs a request that cannot be read or decoded.
func (gateway *Gateway) RequestRejected(id string, status int, reason string) {
	requestCounts.Add("rejected", 1)
	gateway.log.Info("request rejected", zap.String("request", truncate(id)), zap.Int("status", status), zap.String("reason", reason))
}

// Drain begins a planned stop: it takes the VM out of the load balancer's rotation while requests are still served that end in time. It must be
// called once.
func (gateway *Gateway) Drain() *stop.Stop {
	began := stop.New(time.Now(), gateway.settings.Bounds.GracePeriod)
	gateway.stop.Store(began)
	close(gateway.stopBegan)
	gateway.log.Info("entry VM draining", zap.Int64("active", gateway.activeRequests.Load()))
	return began
}

// ActiveRequests returns the number of client requests in flight.
func (gateway *Gateway) ActiveRequests() int64 { return gateway.activeRequests.Load() }

const maxLoggedID = 64 // bytes of a client-supplied string in a log line

func truncate(id string) string { return id[:min(len(id), maxLoggedID)] }
