package platform

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"poplarpin.dev/core/config"
	"poplarpin.dev/core/object"
)

const (
	longestWatch = 30 * time.Second
	nameLimit    = 512
)

// Faults are what can be made to go wrong while the stand-in runs.
type Faults struct {
	Down      bool            `json:"down"`             // closes every connection without an answer
	Slow      config.Duration `json:"slow,omitzero"`    // added to each call
	LoseWrite float64         `json:"loseWrite"`        // part of the writes that take effect without an answer
	VMLag     config.Duration `json:"vmLag,omitzero"`   // age of the VM list that is shown
	DownFor   []string        `json:"downFor,omitzero"` // failure domains that cannot reach the platform
}

// Counters are the calls so far.
type Counters struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	Lists   int64 `json:"lists"`
	Refused int64 `json:"refused"`
	Objects int   `json:"objects"`
}

type stored struct {
	version int64
	value   json.RawMessage
}

type vmList struct {
	vms []object.VM
	at  time.Time
}

// Platform is the stand-in's state; it implements http.Handler.
type Platform struct {
	mu       sync.Mutex
	objects  map[string]stored
	changed  chan struct{} // closed and replaced at each change
	version  int64
	lists    []vmList // newest last
	faults   Faults
	counters Counters
	random   *rand.Rand
	mux      *http.ServeMux
}

// New returns a platform that lists the given VMs.
func New(vms []object.VM, seed uint64) *Platform {
	platform := &Platform{
		objects: map[string]stored{},
		changed: make(chan struct{}),
		lists:   []vmList{{vms: vms}},
		random:  rand.New(rand.NewPCG(seed, 1)),
		mux:     http.NewServeMux(),
	}
	platform.mux.HandleFunc("GET "+object.ObjectsPath+"{name...}", platform.get)
	platform.mux.HandleFunc("PUT "+object.ObjectsPath+"{name...}", platform.put)
	platform.mux.HandleFunc("DELETE "+object.ObjectsPath+"{name...}", platform.remove)
	platform.mux.HandleFunc("GET "+object.VMsPath, platform.list)
	return platform
}

// ServeHTTP implements http.Handler.
func (platform *Platform) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	faults := platform.Faults()
	if faults.Down || contains(faults.DownFor, request.Header.Get("Failure-Domain")) {
		platform.count(func(counters *Counters) { counters.Refused++ })
		panic(http.ErrAbortHandler)
	}
	time.Sleep(faults.Slow.Std())
	platform.mux.ServeHTTP(writer, request)
}

func contains(list []string, name string) bool {
	for _, item := range list {
		if item == name {
			return true
		}
	}
	return false
}

func (platform *Platform) get(writer http.ResponseWriter, request *http.Request) {
	name := request.PathValue("name")
	if after := request.URL.Query().Get("watch"); after != "" {
		platform.count(func(counters *Counters) { counters.Watches++ })
		version, err := strconv.ParseInt(after, 10, 64)
		if err != nil {
			http.Error(writer, "watch is not a version", http.StatusBadRequest)
			return
		}
		platform.wait(request, name, version)
	} else {
		platform.count(func(counters *Counters) { counters.Reads++ })
	}
	platform.mu.Lock()
	found, ok := platform.objects[name]
	down := platform.faults.Down
	platform.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	if !ok {
		http.Error(writer, "no such object", http.StatusNotFound)
		return
	}
	writer.Header().Set(object.VersionHeader, strconv.FormatInt(found.version, 10))
	writer.Header().Set("Content-Type", "application/json")
	_, _ = writer.Write(found.value)
}

// wait returns when the object's version is above the given one, or after the longest watch.
func (platform *Platform) wait(request *http.Request, name string, after int64) {
	timer := time.NewTimer(longestWatch)
	defer timer.Stop()
	for {
		platform.mu.Lock()
		version, changed := platform.objects[name].version, platform.changed
		down := platform.faults.Down
		platform.mu.Unlock()
		if version > after || down {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-request.Context().Done():
			return
		}
	}
}

func (platform *Platform) put(writer http.ResponseWriter, request *http.Request) {
	platform.count(func(counters *Counters) { counters.Writes++ })
	name := request.PathValue("name")
	expected, err := strconv.ParseInt(request.URL.Query().Get("version"), 10, 64)
	if err != nil || name == "" || len(name) > nameLimit {
		http.Error(writer, "name and version are required", http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, object.MaxValueBytes))
	if err != nil || !json.Valid(value) {
		http.Error(writer, "value is too large or no JSON", http.StatusRequestEntityTooLarge)
		return
	}
	platform.mu.Lock()
	current := platform.objects[name].version
	stale := current != expected
	if !stale {
		platform.version++
		current = platform.version
		platform.objects[name] = stored{current, value}
		platform.notify()
	}
	lose := platform.random.Float64() < platform.faults.LoseWrite
	platform.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set(object.VersionHeader, strconv.FormatInt(current, 10))
	if stale {
		http.Error(writer, "the version has changed", http.StatusConflict)
		return
	}
	writer.WriteHeader(http.StatusNoContent)
}

func (platform *Platform) remove(writer http.ResponseWriter, request *http.Request) {
	platform.mu.Lock()
	platform.counters.Writes++
	delete(platform.objects, request.PathValue("name"))
	platform.notify()
	platform.mu.Unlock()
	writer.WriteHeader(http.StatusNoContent)
}

// notify wakes all watches; the caller holds the lock.
func (platform *Platform) notify() {
	close(platform.changed)
	platform.changed = make(chan struct{})
}

func (platform *Platform) list(writer http.ResponseWriter, _ *http.Request) {
	platform.count(func(counters *Counters) { counters.Lists++ })
	platform.mu.Lock()
	shown := platform.lists[0]
	for _, list := range platform.lists {
		if time.Since(list.at) >= platform.faults.VMLag.Std() {
			shown = list
		}
	}
	platform.mu.Unlock()
	writeJSON(writer, object.VMList{VMs: shown.vms})
}

// SetVMs replaces the VM list; it is shown after the lag.
func (platform *Platform) SetVMs(vms []object.VM) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.lists = append(platform.lists, vmList{vms, time.Now()})
}

// Faults returns the faults in effect.
func (platform *Platform) Faults() Faults {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	return platform.faults
}

// SetFaults replaces the faults; waiting watches end when the platform goes down.
func (platform *Platform) SetFaults(faults Faults) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.faults = faults
	platform.notify()
}

// Counters returns the calls so far.
func (platform *Platform) Counters() Counters {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	counters := platform.counters
	counters.Objects = len(platform.objects)
	return counters
}

// Names returns the names of objects with a prefix.
func (platform *Platform) Names(prefix string) []string {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	var names []string
	for name := range platform.objects {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	return names
}

func (platform *Platform) count(add func(*Counters)) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	add(&platform.counters)
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}
