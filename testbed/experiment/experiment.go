package experiment

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"poplarpin.dev/core/config"
	"poplarpin.dev/poplarpin/load"
	"poplarpin.dev/poplarpind/settings"
	"poplarpin.dev/testbed/fleet"
)

// Site is an organisation's fleet and the service on it that is measured.
type Site struct {
	Name      string
	Topology  fleet.Topology
	Service   string
	HighClass string // the class of the highest priority
	LowClass  string
}

// Sites returns the sites of both organisations.
func Sites() []Site {
	return []Site{
		{"sahm", fleet.Sahm(), "heat", "alarm", "billing"},
		{"association", fleet.Association(), "tribunal", "evidence", "report"},
	}
}

// Setup holds the settings of the entry VMs in one arm of an experiment.
type Setup struct {
	Name          string
	Mode          settings.Mode
	ExtraInFlight *int // calls in flight at a target beyond its slots; nil for the default
	NoHedge       bool
}

// The setups that most experiments compare.
var (
	baseline  = Setup{Name: "baseline", Mode: settings.Direct}
	poplarpin = Setup{Name: "poplarpin", Mode: settings.Owner}
)

// Row is one measured figure, with its bound if it has one.
type Row struct {
	Experiment string  `json:"experiment"`
	Site       string  `json:"site"`
	Figure     string  `json:"figure"`
	Value      float64 `json:"value"`
	Bound      string  `json:"bound,omitempty"`
	Met        bool    `json:"met"`
}

// Result is the load report of one arm and the CPU time that its entry VMs used.
type Result struct {
	Report     *load.Report
	CPU        time.Duration // of all entry VMs
	PerCall    time.Duration // CPU divided by the calls at targets
	PerRequest time.Duration
}

// Bench runs experiments and collects their rows.
type Bench struct {
	Bin     string
	Seconds int // of each arm, without the warm-up
	Seed    uint64
	Rows    []Row
	Log     func(format string, args ...any)
}

// Experiment is a named comparison that records its rows in a Bench.
type Experiment struct {
	Name string
	Run  func(bench *Bench, site Site) error
}

// All returns the experiments in the order in which they run.
func All() []Experiment {
	return []Experiment{
		{"noFault", noFault},
		{"slowCalls", slowCalls},
		{"slowReplica", slowReplica},
		{"overload", overload},
		{"losses", targetLosses},
		{"versions", indexVersions},
		{"entryVMs", entryVMFaults},
		{"justInTime", ownerQueueing},
		{"shapes", callPaths},
		{"stops", plannedStops},
	}
}

const (
	warmUp        = 2 * time.Second
	normalLoad    = 0.25 // part of the targets' capacity; when one of two replicas is lost, the load of the other doubles
	queryDeadline = 500 * time.Millisecond
)

// capacityPerSecond returns how many queries per second the targets of the service can serve.
func (site Site) capacityPerSecond() float64 {
	for _, group := range site.Topology.Groups {
		if group.Service == site.Service {
			return float64(group.Replicas*group.Slots) / group.MedianServiceTime.Seconds()
		}
	}
	return 0
}

func (site Site) group() fleet.TargetGroup {
	for _, group := range site.Topology.Groups {
		if group.Service == site.Service {
			return group
		}
	}
	return fleet.TargetGroup{}
}

// plan returns a load plan with one stream of the high class at the given utilization of the targets.
func (bench *Bench) plan(site Site, utilization float64) load.Plan {
	return load.Plan{
		Seed:     bench.Seed,
		Duration: config.Duration(warmUp + time.Duration(bench.Seconds)*time.Second),
		WarmUp:   config.Duration(warmUp),
		Rate:     utilization * site.capacityPerSecond(),
		Calls:    site.group().Shards,
		Streams: []load.Stream{{Service: site.Service, Class: site.HighClass, Query: "shed 14", Share: 1, Weight: 1,
			Deadline: config.Duration(queryDeadline)}},
	}
}

// runArm starts a fleet, runs a load plan on it and stops it. The function prepare, if not nil, can add to the plan what needs
// the running fleet, such as faults with the process ids of its VMs. The addresses are added before that.
func (bench *Bench) runArm(site Site, setup Setup, plan load.Plan, prepare func(*fleet.Fleet, *load.Plan) error) (Result, error) {
	folder, err := os.MkdirTemp("", "poplarpin-bench-")
	if err != nil {
		return Result{}, err
	}
	defer os.RemoveAll(folder)
	running, err := fleet.Start(site.Topology, fleet.Options{Bin: bench.Bin, Folder: folder, Mode: setup.Mode,
		ExtraInFlight: setup.ExtraInFlight, NoHedge: setup.NoHedge, DrainWait: time.Second, Seed: bench.Seed})
	if err != nil {
		return Result{}, err
	}
	defer running.Stop()
	if err := running.ApplyTopology(); err != nil {
		return Result{}, err
	}
	if err := fillPlan(running, &plan); err != nil {
		return Result{}, err
	}
	if prepare != nil {
		if err := prepare(running, &plan); err != nil {
			return Result{}, err
		}
	}
	return bench.measureArm(running, setup, plan)
}

// fillPlan adds the addresses and the setup note of a fleet to a load plan.
func fillPlan(running *fleet.Fleet, plan *load.Plan) error {
	note, err := running.WriteNote(running.Topology.SetupNote("setup", running.TargetConfigs()))
	if err != nil {
		return err
	}
	plan.Notes = append(plan.Notes, note)
	plan.Admin = running.AdminURL
	for _, vm := range running.VMs {
		plan.Callers = append(plan.Callers, "http://"+vm.CallerAddress)
		plan.Operators = append(plan.Operators, "http://"+vm.OperatorAddress)
	}
	return nil
}

func (bench *Bench) measureArm(running *fleet.Fleet, setup Setup, plan load.Plan) (Result, error) {
	experiment, err := load.New(plan)
	if err != nil {
		return Result{}, err
	}
	before := running.CPUTime()
	report, err := experiment.Run(context.Background())
	if err != nil {
		return Result{}, err
	}
	result := Result{Report: report, CPU: running.CPUTime() - before}
	if report.Calls > 0 {
		result.PerCall = result.CPU / time.Duration(report.Calls)
	}
	bench.Log("-- %s", setup.Name)
	var table strings.Builder
	report.Table(&table)
	bench.Log("%s", strings.TrimSpace(table.String()))
	bench.Log("cpu %s, %s per call", result.CPU.Round(time.Millisecond), result.PerCall.Round(time.Microsecond))
	return result, nil
}

// record adds a row for a figure; bound is only printed, and met says whether the figure is within it.
func (bench *Bench) record(experiment string, site Site, figure string, value float64, bound string, met bool) {
	bench.Rows = append(bench.Rows, Row{experiment, site.Name, figure, value, bound, met})
}

// recordAtMost adds a row for a figure with an upper bound.
func (bench *Bench) recordAtMost(experiment string, site Site, figure string, value, bound float64) {
	bench.record(experiment, site, figure, value, fmt.Sprintf("<= %g", bound), value <= bound)
}

// recordAtLeast adds a row for a figure with a lower bound.
func (bench *Bench) recordAtLeast(experiment string, site Site, figure string, value, bound float64) {
	bench.record(experiment, site, figure, value, fmt.Sprintf(">= %g", bound), value >= bound)
}

// recordNoViolations adds a row for the violations that the load generator found; none are allowed.
func (bench *Bench) recordNoViolations(experiment string, site Site, result Result) {
	bench.recordAtMost(experiment, site, "broken promises", float64(result.Report.Broken), 0)
}

// highClassFigures returns the load figures of the site's high class.
func (site Site) highClassFigures(result Result) *load.Figures {
	return result.Report.Streams[site.Service+"/"+site.HighClass]
}
