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
	maxWatchDuration = 30 * time.Second
	maxNameLength    = 512
)

// Faults holds the faults that can be injected while the simulation runs.
type Faults struct {
	Down      bool            `json:"down"`             // closes every connection without an answer
	Slow      config.Duration `json:"slow,omitzero"`    // delay added to each call
	LoseWrite float64         `json:"loseWrite"`        // fraction of the writes that are carried out but not answered
	VMLag     config.Duration `json:"vmLag,omitzero"`   // minimum age of the VM list that clients get
	DownFor   []string        `json:"downFor,omitzero"` // failure domains that cannot reach the platform

	OddVMs []json.RawMessage `json:"oddVMs,omitzero"` // precede the entries of the VM list, in any form
}

// Counters holds the numbers of calls and of stored objects.
type Counters struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	Lists   int64 `json:"lists"`
	Refused int64 `json:"refused"`
	Objects int   `json:"objects"`
}

type storedObject struct {
	version int64
	value   json.RawMessage
}

// datedVMList is a VM list and the time at which it was set.
type datedVMList struct {
	vms   []object.VM
	setAt time.Time
}

// Platform simulates the platform; it implements http.Handler.
type Platform struct {
	mu       sync.Mutex
	objects  map[string]storedObject
	changed  chan struct{} // closed and replaced at each change
	version  int64
	vmLists  []datedVMList // oldest first
	faults   Faults
	counters Counters
	random   *rand.Rand
	mux      *http.ServeMux
}

// New returns a platform without objects that lists the given VMs; seed determines which answers to writes are lost.
func New(vms []object.VM, seed uint64) *Platform {
	platform := &Platform{
		objects: map[string]storedObject{},
		changed: make(chan struct{}),
		vmLists: []datedVMList{{vms: vms}},
		random:  rand.New(rand.NewPCG(seed, 1)),
		mux:     http.NewServeMux(),
	}
	platform.mux.HandleFunc("GET "+object.ObjectsPath+"{name...}", platform.get)
	platform.mux.HandleFunc("PUT "+object.ObjectsPath+"{name...}", platform.put)
	platform.mux.HandleFunc("DELETE "+object.ObjectsPath+"{name...}", platform.remove)
	platform.mux.HandleFunc("GET "+object.VMsPath, platform.listVMs)
	return platform
}

// ServeHTTP implements http.Handler.
func (platform *Platform) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	faults := platform.Faults()
	if faults.Down || contains(faults.DownFor, request.Header.Get("Failure-Domain")) {
		platform.updateCounters(func(counters *Counters) { counters.Refused++ })
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
		platform.updateCounters(func(counters *Counters) { counters.Watches++ })
		version, err := strconv.ParseInt(after, 10, 64)
		if err != nil {
			http.Error(writer, "the watch parameter is not a version", http.StatusBadRequest)
			return
		}
		platform.waitForChange(request, name, version)
	} else {
		platform.updateCounters(func(counters *Counters) { counters.Reads++ })
	}
	platform.mu.Lock()
	stored, ok := platform.objects[name]
	down := platform.faults.Down
	platform.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	if !ok {
		http.Error(writer, "no such object", http.StatusNotFound)
		return
	}
	writer.Header().Set(object.VersionHeader, strconv.FormatInt(stored.version, 10))
	writer.Header().Set("Content-Type", "application/json")
	_, _ = writer.Write(stored.value)
}

// waitForChange blocks until the object's version is above the given one, the platform is down, the request is cancelled or
// maxWatchDuration has passed.
func (platform *Platform) waitForChange(request *http.Request, name string, after int64) {
	timer := time.NewTimer(maxWatchDuration)
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
	platform.updateCounters(func(counters *Counters) { counters.Writes++ })
	name := request.PathValue("name")
	expected, err := strconv.ParseInt(request.URL.Query().Get("version"), 10, 64)
	if err != nil || name == "" || len(name) > maxNameLength {
		http.Error(writer, "name and version are required", http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, object.MaxValueBytes))
	if err != nil || !json.Valid(value) {
		http.Error(writer, "value is too large or not valid JSON", http.StatusRequestEntityTooLarge)
		return
	}
	platform.mu.Lock()
	current := platform.objects[name].version
	stale := current != expected
	if !stale {
		platform.version++
		current = platform.version
		platform.objects[name] = storedObject{current, value}
		platform.wakeWatches()
	}
	loseAnswer := platform.random.Float64() < platform.faults.LoseWrite
	platform.mu.Unlock()
	if loseAnswer {
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
	platform.wakeWatches()
	platform.mu.Unlock()
	writer.WriteHeader(http.StatusNoContent)
}

// wakeWatches makes all waiting watches check their condition again; the caller holds the lock.
func (platform *Platform) wakeWatches() {
	close(platform.changed)
	platform.changed = make(chan struct{})
}

func (platform *Platform) listVMs(writer http.ResponseWriter, _ *http.Request) {
	platform.updateCounters(func(counters *Counters) { counters.Lists++ })
	platform.mu.Lock()
	shown := platform.vmLists[0]
	for _, list := range platform.vmLists {
		if time.Since(list.setAt) >= platform.faults.VMLag.Std() {
			shown = list
		}
	}
	entries := []any{}
	for _, odd := range platform.faults.OddVMs {
		entries = append(entries, odd)
	}
	platform.mu.Unlock()
	for _, vm := range shown.vms {
		entries = append(entries, vm)
	}
	writeJSON(writer, map[string]any{"vms": entries})
}

// SetVMs replaces the VM list; clients get the new one once it is as old as Faults.VMLag.
func (platform *Platform) SetVMs(vms []object.VM) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.vmLists = append(platform.vmLists, datedVMList{vms, time.Now()})
}

// Faults returns the faults in effect.
func (platform *Platform) Faults() Faults {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	return platform.faults
}

// SetFaults replaces the faults; waiting watches end if the platform is down.
func (platform *Platform) SetFaults(faults Faults) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.faults = faults
	platform.wakeWatches()
}

// Counters returns the current counters.
func (platform *Platform) Counters() Counters {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	counters := platform.counters
	counters.Objects = len(platform.objects)
	return counters
}

// Names returns the object names that begin with a prefix.
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

func (platform *Platform) updateCounters(update func(*Counters)) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	update(&platform.counters)
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}
