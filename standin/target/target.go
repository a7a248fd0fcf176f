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
	maxInFlight       = 256              // calls running or waiting for a slot, beyond which the target sheds load
	keyStride         = 200              // distance between the keys that a query matches; check.KeyStride is the same
	refusalRetryAfter = time.Millisecond // retry delay advised in a refusal
	scoreRange        = 1000             // scores are below it
)

// Faults holds the faults that can be injected while the target runs.
type Faults struct {
	Down         bool         `json:"down"`         // refuses new connections and closes the open ones
	Slow         float64      `json:"slow"`         // factor on every service time; 0 means 1
	SlowPart     float64      `json:"slowPart"`     // fraction of the calls that SlowFactor applies to
	SlowFactor   float64      `json:"slowFactor"`   // factor on the service time of these calls
	Silent       float64      `json:"silent"`       // fraction of the open connections that become silent when the faults are set
	Hung         bool         `json:"hung"`         // accepts connections and calls and never answers
	Shed         float64      `json:"shed"`         // fraction of the calls that are refused with Shedding
	Draining     bool         `json:"draining"`     // refuses new calls and finishes the running ones
	HealthSays   search.State `json:"healthSays"`   // state that the health endpoint reports; empty: the actual state
	OldestHeld   int64        `json:"oldestHeld"`   // calls for older index versions are refused
	NewestHeld   int64        `json:"newestHeld"`   // calls for newer index versions are refused; 0: no limit
	CutAfterWork float64      `json:"cutAfterWork"` // fraction of the calls that run but whose connection is closed without an answer
}

// Counters holds the counters of a target.
type Counters struct {
	Calls         int64         `json:"calls"`     // calls accepted
	Cancelled     int64         `json:"cancelled"` // accepted calls that were cancelled or timed out before they ended
	Refused       int64         `json:"refused"`
	PeakInFlight  int           `json:"peakInFlight"`  // most calls running or waiting at once
	PeakOpen      int           `json:"peakOpen"`      // most connections open at once
	Opened        int64         `json:"opened"`        // connections accepted in total
	OverLimit     int64         `json:"overLimit"`     // connections closed because of the limit
	LastCallAfter time.Duration `json:"lastCallAfter"` // time from the start of draining to the latest call that arrived
}

// Target simulates one target.
type Target struct {
	settings     settings.Target
	listener     *listener
	server       *http.Server
	slots        chan struct{}
	mu           sync.Mutex
	faults       Faults
	drainStarted time.Time
	counters     Counters
	inFlight     int
	runs         map[string]int // executions of non-idempotent requests, by request ID
	random       *rand.Rand
}

// New returns a target that does not listen yet; seed and name determine its random numbers.
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

// Listen opens the target's address and starts serving.
func (target *Target) Listen() error {
	inner, err := net.Listen("tcp", target.settings.Address)
	if err != nil {
		return err
	}
	listener := newListener(inner, target.settings.Connections, target.settings.ConnectionCost.Std())
	target.mu.Lock()
	if target.listener != nil {
		target.counters.addConnections(target.listener)
	}
	target.listener = listener
	target.mu.Unlock()
	go func() { _ = target.server.Serve(listener) }()
	return nil
}

// SetFaults replaces the faults. A target that is no longer Down listens again.
func (target *Target) SetFaults(faults Faults) error {
	target.mu.Lock()
	before := target.faults
	target.faults = faults
	if faults.Draining && !before.Draining {
		target.drainStarted = time.Now()
	}
	listener := target.listener
	target.mu.Unlock()
	if faults.Silent > 0 {
		listener.silenceConnections(faults.Silent)
	}
	if faults.Down && !before.Down {
		_ = listener.Listener.Close()
		listener.closeAll()
	}
	if before.Down && !faults.Down {
		return target.Listen()
	}
	return nil
}

// Counters returns the counters since the target was made, over all times that it listened.
func (target *Target) Counters() Counters {
	target.mu.Lock()
	defer target.mu.Unlock()
	counters := target.counters
	counters.addConnections(target.listener)
	return counters
}

// addConnections adds the counts of a listener.
func (counters *Counters) addConnections(listener *listener) {
	peakOpen, opened, overLimit := listener.counts()
	counters.PeakOpen = max(counters.PeakOpen, peakOpen)
	counters.Opened += opened
	counters.OverLimit += overLimit
}

// Runs returns how often each non-idempotent request was executed, by request ID.
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
	faults, refusal, status := target.admit(call)
	if status != 0 {
		writeJSON(writer, status, refusal)
		return
	}
	defer target.release()
	ctx, cancel := context.WithTimeout(request.Context(), call.Timeout.Std())
	defer cancel()
	if faults.Hung {
		<-request.Context().Done()
		return
	}
	if started, ended := target.run(ctx, faults, call); !ended {
		target.mu.Lock()
		target.counters.Cancelled++
		target.mu.Unlock()
		if started {
			panic(http.ErrAbortHandler) // the call can't be refused any more
		}
		writeJSON(writer, http.StatusServiceUnavailable, search.Refusal{State: search.Shedding})
		return
	}
	if target.occurs(faults.CutAfterWork) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(writer, http.StatusOK, target.reply(call))
}

// admit counts a call and decides whether to refuse it. It returns the faults in effect and, if the call is refused, the refusal and a
// status other than 0.
func (target *Target) admit(call search.Call) (Faults, search.Refusal, int) {
	target.mu.Lock()
	defer target.mu.Unlock()
	faults := target.faults
	if faults.Draining {
		target.counters.LastCallAfter = time.Since(target.drainStarted)
	}
	refusal := search.Refusal{State: search.Shedding, RetryAfter: config.Duration(refusalRetryAfter)}
	status := 0
	switch {
	case faults.Draining:
		refusal.State, status = search.Draining, http.StatusServiceUnavailable
	case call.Version < faults.OldestHeld, faults.NewestHeld > 0 && call.Version > faults.NewestHeld:
		refusal.State, status = search.Serving, http.StatusConflict
	case target.inFlight >= maxInFlight, target.random.Float64() < faults.Shed:
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

// release ends a call that admit accepted.
func (target *Target) release() {
	target.mu.Lock()
	defer target.mu.Unlock()
	target.inFlight--
}

// run holds a slot for the service time; it reports whether the call got a slot and whether it ended before its context was done.
func (target *Target) run(ctx context.Context, faults Faults, call search.Call) (started, ended bool) {
	select {
	case target.slots <- struct{}{}:
	case <-ctx.Done():
		return false, false
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
		return true, true
	case <-ctx.Done():
		return true, false
	}
}

// serviceTime returns a random log-normal service time, multiplied by the factors of the faults.
func (target *Target) serviceTime(faults Faults) time.Duration {
	target.mu.Lock()
	normal, draw := target.random.NormFloat64(), target.random.Float64()
	target.mu.Unlock()
	factor := math.Exp(target.settings.Sigma * normal)
	if faults.Slow > 0 {
		factor *= faults.Slow
	}
	if draw < faults.SlowPart {
		factor *= faults.SlowFactor
	}
	return time.Duration(factor * float64(target.settings.Median))
}

// occurs returns true with the given probability.
func (target *Target) occurs(probability float64) bool {
	target.mu.Lock()
	defer target.mu.Unlock()
	return target.random.Float64() < probability
}

// reply returns the matching records of the called shards. Which keys match depends only on the query, not on the shard map, so that
// package check can compute what a complete answer contains.
func (target *Target) reply(call search.Call) search.Reply {
	reply := search.Reply{RequestID: call.RequestID, Version: call.Version}
	offset := int64(xxhash.Sum64String(call.Query) % keyStride)
	for _, shard := range call.Shards {
		result := search.ShardResult{Name: shard.Name}
		first := (shard.From+keyStride-1-offset)/keyStride*keyStride + offset
		for key := first; key < shard.To; key += keyStride {
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
