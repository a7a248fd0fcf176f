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

// Error reports what is wrong with a plan or a step of it.
type Error struct {
	Op     string
	Kind   Kind
	Detail string
}

// Error implements error.
func (err *Error) Error() string { return err.Op + ": " + string(err.Kind) + ": " + err.Detail }

// Stream is one kind of request in the mix.
type Stream struct {
	Service       string          `yaml:"service"`
	Class         string          `yaml:"class"`
	Query         string          `yaml:"query"`
	Share         float64         `yaml:"share"`  // of the arrivals
	Weight        float64         `yaml:"weight"` // of an answered request in the goodput
	Deadline      config.Duration `yaml:"deadline"`
	NonIdempotent bool            `yaml:"nonIdempotent"`
	Shard         string          `yaml:"shard"`
	Twice         float64         `yaml:"twice"` // part that is submitted through two entry VMs at once
}

// Fault is one step of the schedule; one of its kinds is set.
type Fault struct {
	At       config.Duration `yaml:"at"`
	Targets  []string        `yaml:"targets"`
	Set      map[string]any  `yaml:"set"`      // faults of the targets
	Platform map[string]any  `yaml:"platform"` // faults of the platform
	PID      int             `yaml:"pid"`
	Signal   string          `yaml:"signal"` // KILL, STOP, CONT or TERM
	Note     string          `yaml:"note"`   // release note to apply
}

// Plan describes an experiment.
type Plan struct {
	Seed      uint64          `yaml:"seed"`
	Duration  config.Duration `yaml:"duration"`
	WarmUp    config.Duration `yaml:"warmUp"` // left out of the figures
	Rate      float64         `yaml:"rate"`   // arrivals a second
	Callers   []string        `yaml:"callers"`
	Operators []string        `yaml:"operators"`
	Admin     string          `yaml:"admin"` // of the stand-ins
	Notes     []string        `yaml:"notes"` // release notes whose indexes the checker is to know
	Streams   []Stream        `yaml:"streams"`
	Faults    []Fault         `yaml:"faults"`
	Calls     int             `yaml:"calls"` // that each idempotent request needs; 0: extra load is not computed
	folder    string
}

// Read reads a plan; paths in it are relative to its folder.
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
	plan.folder = filepath.Dir(path)
	return plan, plan.check(path)
}

func (plan *Plan) check(path string) error {
	if plan.Rate <= 0 || plan.Duration <= 0 || len(plan.Callers) == 0 || len(plan.Streams) == 0 {
		return &Error{path, BadPlan, "rate, duration, callers and streams are required"}
	}
	var shares float64
	for _, stream := range plan.Streams {
		shares += stream.Share
	}
	if shares < 0.999 || shares > 1.001 {
		return &Error{path, BadPlan, fmt.Sprintf("the streams' shares add up to %v", shares)}
	}
	return nil
}

// note reads a release note named in the plan.
func (plan *Plan) note(name string) (release.Note, error) {
	path := name
	if !filepath.IsAbs(path) {
		path = filepath.Join(plan.folder, name)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return release.Note{}, err
	}
	return release.ParseNote(path, data)
}

// body encodes the faults of a step for the stand-ins' admin interface.
func (fault *Fault) body() ([]byte, string, error) {
	if fault.Platform != nil {
		data, err := json.Marshal(fault.Platform)
		return data, "/faults/platform", err
	}
	data, err := json.Marshal(map[string]any{"targets": fault.Targets, "faults": fault.Set})
	return data, "/faults/targets", err
}
