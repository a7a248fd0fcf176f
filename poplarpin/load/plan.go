package load

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"go.yaml.in/yaml/v3"

	"poplarpin.dev/core/config"
	"poplarpin.dev/core/release"
)

// Kind classifies an Error.
type Kind string

// The kinds of errors.
const (
	BadPlan Kind = "badPlan"
	BadStep Kind = "badStep"
)

// Error reports an invalid plan or a step of its schedule that failed.
type Error struct {
	Op     string
	Kind   Kind
	Detail string
}

// Error implements error.
func (err *Error) Error() string { return err.Op + ": " + string(err.Kind) + ": " + err.Detail }

// Stream is one kind of request in the load mix.
type Stream struct {
	Service       string          `yaml:"service"`
	Class         string          `yaml:"class"`
	Query         string          `yaml:"query"`
	Share         float64         `yaml:"share"`  // fraction of the arrivals
	Weight        float64         `yaml:"weight"` // of an answer in time in the goodput; 0 means 1
	Deadline      config.Duration `yaml:"deadline"`
	NonIdempotent bool            `yaml:"nonIdempotent"`
	Shard         string          `yaml:"shard"`
	Twice         float64         `yaml:"twice"` // fraction of the requests that are submitted twice at once, each through a random entry VM
}

// Fault is one step of the schedule; one of Set (for Targets, or for all targets if empty), Platform, Signal (to PID) and Note is set.
type Fault struct {
	At       config.Duration `yaml:"at"`
	Targets  []string        `yaml:"targets"`
	Set      map[string]any  `yaml:"set"`      // faults of the simulated targets; they replace those in effect
	Platform map[string]any  `yaml:"platform"` // faults of the simulated platform; they replace those in effect
	PID      int             `yaml:"pid"`
	Signal   string          `yaml:"signal"` // KILL, STOP, CONT or TERM
	Note     string          `yaml:"note"`   // release note to apply
}

// Plan describes an experiment.
type Plan struct {
	Seed      uint64          `yaml:"seed"`
	Duration  config.Duration `yaml:"duration"`
	WarmUp    config.Duration `yaml:"warmUp"`    // requests that arrive in it are left out of the streams' figures
	Rate      float64         `yaml:"rate"`      // arrivals per second
	Callers   []string        `yaml:"callers"`   // URLs of the entry VMs for callers
	Operators []string        `yaml:"operators"` // URLs of the entry VMs for operators
	Admin     string          `yaml:"admin"`     // base URL of the admin interface of the simulated targets and platform; empty: none
	Notes     []string        `yaml:"notes"`     // release notes whose indexes the checker needs
	Streams   []Stream        `yaml:"streams"`
	Faults    []Fault         `yaml:"faults"`
	Calls     int             `yaml:"calls"` // calls per idempotent request without hedges and retries; 0: extra load is not computed
	dir       string
}

// Read reads a plan; the paths of release notes in it are relative to its folder.
func Read(path string) (Plan, error) {
	var plan Plan
	data, err := os.ReadFile(path)
	if err != nil {
		return plan, err
	}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(&plan); err != nil {
		return plan, &Error{path, BadPlan, err.Error()}
	}
	plan.dir = filepath.Dir(path)
	return plan, plan.validate(path)
}

func (plan *Plan) validate(path string) error {
	if plan.Rate <= 0 || plan.Duration <= 0 || len(plan.Callers) == 0 || len(plan.Streams) == 0 {
		return &Error{path, BadPlan, "rate, duration, callers and streams are required"}
	}
	var shares float64
	for _, stream := range plan.Streams {
		shares += stream.Share
	}
	if shares < 0.999 || shares > 1.001 {
		return &Error{path, BadPlan, fmt.Sprintf("the shares of the streams add up to %v instead of 1", shares)}
	}
	return nil
}

// readNote reads and parses a release note that the plan names.
func (plan *Plan) readNote(name string) (release.Note, error) {
	path := name
	if !filepath.IsAbs(path) {
		path = filepath.Join(plan.dir, name)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return release.Note{}, err
	}
	return release.ParseNote(path, data)
}

// adminRequest returns the body and the path of the admin request that sets the faults.
func (fault *Fault) adminRequest() ([]byte, string, error) {
	if fault.Platform != nil {
		data, err := json.Marshal(fault.Platform)
		return data, "/faults/platform", err
	}
	data, err := json.Marshal(map[string]any{"targets": fault.Targets, "faults": fault.Set})
	return data, "/faults/targets", err
}
