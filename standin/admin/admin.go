package admin

import (
	"encoding/json"
	"net/http"

	"poplarpin.dev/core/object"
	"poplarpin.dev/standin/platform"
	"poplarpin.dev/standin/target"
)

// TargetFaults is the body of a request that sets the faults of targets; an empty list means all targets.
type TargetFaults struct {
	Targets []string      `json:"targets"`
	Faults  target.Faults `json:"faults"`
}

// Counters holds the counters of the simulated platform and targets of a process.
type Counters struct {
	Platform *platform.Counters         `json:"platform,omitempty"`
	Targets  map[string]target.Counters `json:"targets"`
}

// Admin handles admin requests for the simulated platform and targets of a process.
type Admin struct {
	platform *platform.Platform // nil if the process simulates none
	targets  map[string]*target.Target
}

// New returns the HTTP handler of the admin interface; platform is nil if the process simulates none.
func New(platform *platform.Platform, targets map[string]*target.Target) http.Handler {
	admin := &Admin{platform, targets}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults/targets", admin.setTargetFaults)
	mux.HandleFunc("POST /faults/platform", admin.setPlatformFaults)
	mux.HandleFunc("PUT /vms", admin.setVMs)
	mux.HandleFunc("GET /counters", admin.counters)
	mux.HandleFunc("GET /runs", admin.runs)
	return mux
}

func (admin *Admin) setTargetFaults(writer http.ResponseWriter, request *http.Request) {
	var body TargetFaults
	if !decode(writer, request, &body) {
		return
	}
	names := body.Targets
	if len(names) == 0 {
		for name := range admin.targets {
			names = append(names, name)
		}
	}
	for _, name := range names {
		target, ok := admin.targets[name]
		if !ok {
			http.Error(writer, "no target "+name, http.StatusNotFound)
			return
		}
		if err := target.SetFaults(body.Faults); err != nil {
			http.Error(writer, err.Error(), http.StatusInternalServerError)
			return
		}
	}
}

func (admin *Admin) setPlatformFaults(writer http.ResponseWriter, request *http.Request) {
	var faults platform.Faults
	if admin.platform == nil {
		http.Error(writer, "this process simulates no platform", http.StatusNotFound)
		return
	}
	if decode(writer, request, &faults) {
		admin.platform.SetFaults(faults)
	}
}

func (admin *Admin) setVMs(writer http.ResponseWriter, request *http.Request) {
	var vms object.VMList
	if admin.platform == nil {
		http.Error(writer, "this process simulates no platform", http.StatusNotFound)
		return
	}
	if decode(writer, request, &vms) {
		admin.platform.SetVMs(vms.VMs)
	}
}

func (admin *Admin) counters(writer http.ResponseWriter, _ *http.Request) {
	counters := Counters{Targets: map[string]target.Counters{}}
	if admin.platform != nil {
		platform := admin.platform.Counters()
		counters.Platform = &platform
	}
	for name, target := range admin.targets {
		counters.Targets[name] = target.Counters()
	}
	_ = json.NewEncoder(writer).Encode(counters)
}

// runs writes how often each non-idempotent request was executed, summed over all targets.
func (admin *Admin) runs(writer http.ResponseWriter, _ *http.Request) {
	runs := map[string]int{}
	for _, target := range admin.targets {
		for id, count := range target.Runs() {
			runs[id] += count
		}
	}
	_ = json.NewEncoder(writer).Encode(runs)
}

// decode decodes the JSON body of a request; if it is invalid, it responds with status 400 and returns false.
func decode(writer http.ResponseWriter, request *http.Request, value any) bool {
	decoder := json.NewDecoder(request.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
