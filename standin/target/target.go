package target

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"poplarpin.dev/core/api"
	"poplarpin.dev/core/config"
	"poplarpin.dev/core/search"
	"poplarpin.dev/standin/settings"
)

const (
	queueLimit = 256              // calls that wait for a slot before the target sheds
	recordStep = 200              // of the keys of a shard, one in so many is found
	shedRetry  = time.Millisecond // a target's advice when it sheds
	scoreRange = 1000
)

// Faults are what can be made to go wrong while the target runs.
type Faults struct {
	Down         bool         `json:"down"`         // refuses connections and cuts the open ones
	Slow         float64      `json:"slow"`         // factor on every service time, 0 for none
	SlowPart     float64      `json:"slowPart"`     // part of the calls that SlowFactor applies to
	SlowFactor   float64      `json:"slowFactor"`   // factor on the service time of that part
	Silent       float64      `json:"silent"`       // part of the open connections that go silent now
	Hung         bool         `json:"hung"`         // takes connections and calls and never answers
	Shed         float64      `json:"shed"`         // part of the calls that are refused
	Draining     bool         `json:"draining"`     // refuses new calls, finishes the others
	HealthSays   search.State `json:"healthSays"`   // what the health endpoint claims, if not the truth
	OldestHeld   int64        `json:"oldestHeld"`   // index versions below are not held
	NewestHeld   int64        `json:"newestHeld"`   // index versions above are not held, 0 for no bound
	CutAfterWork float64      `json:"cutAfterWork"` // part of the calls that run and whose answer is lost
}

// Counters are what the target has seen so far.
type Counters struct {
	Calls         int64         `json:"calls"`     // that were run or begun
	Cancelled     int64         `json:"cancelled"` // of these, before they ended
	Refused       int64         `json:"refused"`
	PeakInFlight  int           `json:"peakInFlight"`  // calls at the target at once, waiting ones included
	PeakOpen      int           `json:"peakOpen"`      // connections at once
	Opened        int64         `json:"opened"`        // connections in all
	OverLimit     int64         `json:"overLimit"`     // connections refused
	LastCallAfter time.Duration `json:"lastCallAfter"` // from the start of draining to the last call that arrived
}

// Target stands in for one server.
type Target struct {
	settings settings.Target
	listener *listener
	server   *http.Server
	slots    chan struct{}
	mu       sync.Mutex
	faults   Faults
	drained  time.Time
	counters Counters
	inFlight int
	runs     map[string]int // non-idempotent requests, by id
	random   *rand.Rand
}

// New returns a target that is not listening yet.
func New(settings settings.Target, seed uint64) *Target {
	target := &Target{
		settings: settings,
		slots:    make(chan struct{}, settings.Slots),
		runs:     map[string]int{},
		random:   rand.New(rand.NewPCG(seed, xxhash.Sum64String(settings.Name))),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+search.SearchPath, target.search)
	mux.HandleFunc("GET "+search.HealthPath, target.health)
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	target.server = &http.Server{Handler: mux, Protocols: protocols}
	return target
}

// Listen starts serving.
func (target *Target) Listen() error {
	inner, err := net.Listen("tcp", target.settings.Address)
	if err != nil {
		return err
	}
	listener := newListener(inner, target.settings.Connections, target.settings.ConnectionCost.Std())
	target.mu.Lock()
	target.listener = listener
	target.mu.Unlock()
	go func() { _ = target.server.Serve(listener) }()
	return nil
}

// SetFaults replaces the faults.
func (target *Target) SetFaults(faults Faults) error {
	target.mu.Lock()
	before := target.faults
	target.faults = faults
	if faults.Draining && !before.Draining {
		target.drained = time.Now()
	}
	listener := target.listener
	target.mu.Unlock()
	if faults.Silent > 0 {
		listener.silence(faults.Silent)
	}
	if faults.Down && !before.Down {
		_ = listener.Listener.Close()
		listener.cut()
	}
	if before.Down && !faults.Down {
		return target.Listen()
	}
	return nil
}

// Counters returns what the target has seen so far.
func (target *Target) Counters() Counters {
	target.mu.Lock()
	defer target.mu.Unlock()
	counters := target.counters
	counters.PeakOpen, counters.Opened, counters.OverLimit = target.listener.counts()
	return counters
}

// Runs returns how often each non-idempotent request was run.
func (target *Target) Runs() map[string]int {
	target.mu.Lock()
	defer target.mu.Unlock()
	runs := make(map[string]int, len(target.runs))
	for id, count := range target.runs {
		runs[id] = count
	}
	return runs
}

func (target *Target) health(writer http.ResponseWriter, request *http.Request) {
	target.mu.Lock()
	faults := target.faults
	target.mu.Unlock()
	if faults.Hung {
		<-request.Context().Done()
		return
	}
	state := search.Serving
	if faults.Draining {
		state = search.Draining
	}
	if faults.HealthSays != "" {
		state = faults.HealthSays
	}
	writeJSON(writer, http.StatusOK, search.Health{State: state, Load: float64(len(target.slots)) / float64(cap(target.slots))})
}

func (target *Target) search(writer http.ResponseWriter, request *http.Request) {
	var call search.Call
	if err := json.NewDecoder(request.Body).Decode(&call); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	faults, refusal, status := target.arrive(call)
	if status != 0 {
		writeJSON(writer, status, refusal)
		return
	}
	defer target.depart()
	ctx, cancel := context.WithTimeout(request.Context(), call.Timeout.Std())
	defer cancel()
	if faults.Hung {
		<-request.Context().Done()
		return
	}
	if !target.work(ctx, faults, call) {
		target.mu.Lock()
		target.counters.Cancelled++
		target.mu.Unlock()
		writeJSON(writer, http.StatusServiceUnavailable, search.Refusal{State: search.Shedding})
		return
	}
	if target.chance(faults.CutAfterWork) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(writer, http.StatusOK, target.reply(call))
}

// arrive counts a call and decides whether it is refused.
func (target *Target) arrive(call search.Call) (Faults, search.Refusal, int) {
	target.mu.Lock()
	defer target.mu.Unlock()
	faults := target.faults
	if faults.Draining {
		target.counters.LastCallAfter = time.Since(target.drained)
	}
	refusal := search.Refusal{State: search.Shedding, RetryAfter: config.Duration(shedRetry)}
	status := 0
	switch {
	case faults.Draining:
		refusal.State, status = search.Draining, http.StatusServiceUnavailable
	case call.Version < faults.OldestHeld, faults.NewestHeld > 0 && call.Version > faults.NewestHeld:
		refusal.State, status = search.Serving, http.StatusConflict
	case target.inFlight >= queueLimit, target.random.Float64() < faults.Shed:
		status = http.StatusServiceUnavailable
	}
	if status != 0 {
		target.counters.Refused++
		return faults, refusal, status
	}
	target.counters.Calls++
	target.inFlight++
	target.counters.PeakInFlight = max(target.counters.PeakInFlight, target.inFlight)
	return faults, refusal, 0
}

func (target *Target) depart() {
	target.mu.Lock()
	defer target.mu.Unlock()
	target.inFlight--
}

// work takes a slot for the service time; it reports whether the call ran to its end.
func (target *Target) work(ctx context.Context, faults Faults, call search.Call) bool {
	select {
	case target.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-target.slots }()
	if call.NonIdempotent {
		target.mu.Lock()
		target.runs[call.RequestID]++
		target.mu.Unlock()
	}
	timer := time.NewTimer(target.serviceTime(faults))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (target *Target) serviceTime(faults Faults) time.Duration {
	target.mu.Lock()
	normal, dice := target.random.NormFloat64(), target.random.Float64()
	target.mu.Unlock()
	factor := math.Exp(target.settings.Sigma * normal)
	if faults.Slow > 0 {
		factor *= faults.Slow
	}
	if dice < faults.SlowPart {
		factor *= faults.SlowFactor
	}
	return time.Duration(factor * float64(target.settings.Median))
}

func (target *Target) chance(part float64) bool {
	target.mu.Lock()
	defer target.mu.Unlock()
	return target.random.Float64() < part
}

// reply finds the same keys whatever the partitioning, so that a checker knows what a whole answer holds.
func (target *Target) reply(call search.Call) search.Reply {
	reply := search.Reply{RequestID: call.RequestID, Version: call.Version}
	offset := int64(xxhash.Sum64String(call.Query) % recordStep)
	for _, shard := range call.Shards {
		result := search.ShardResult{Name: shard.Name}
		first := (shard.From+recordStep-1-offset)/recordStep*recordStep + offset
		for key := first; key < shard.To; key += recordStep {
			result.Records = append(result.Records, target.record(call, shard.Name, key))
		}
		reply.Shards = append(reply.Shards, result)
	}
	return reply
}

func (target *Target) record(call search.Call, shard string, key int64) api.Record {
	return api.Record{
		ID:    strconv.FormatInt(key, 10),
		Score: float64(xxhash.Sum64String(strconv.FormatInt(key, 10)) % scoreRange),
		Data:  json.RawMessage(fmt.Sprintf(`{"request":%q,"version":%d,"shard":%q}`, call.RequestID, call.Version, shard)),
	}
}

func writeJSON(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value)
}
