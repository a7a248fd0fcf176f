package upgrade

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"go.yaml.in/yaml/v3"

	"poplarpin.dev/platform/platformtest"
)

// Plan describes an upgrade.
type Plan struct {
	From, To string // programs
	Rollback bool   // half-way, the VMs that were replaced get the first program again
	Seed     uint64 // of the order of the VMs and of the load
	Phase    time.Duration
	Folder   string // for settings and logs
}

// Phase counts the requests of one phase of an upgrade by their ends.
type Phase struct {
	Name                                                        string
	Sent, Served, Partial, Late, OverQuota, Refused, Unanswered int
	QuotaUsed                                                   int // requests of the account with a quota that ran
	Twice, FalselyRefused                                       int // requests that are not idempotent: ran more than once, or ran although "not run" was said
}

// Report says how an upgrade went.
type Report struct {
	Phases []Phase
	Builds map[string]string // that each VM names at the end, by VM; empty for builds that name none
	Broken []string          // rules, with examples
	Known  []string          // requests that ran twice by a known fault of a landed build
	Log    []string          // log lines of the VMs on requests that ran twice or were falsely refused
}

// Play plays an upgrade.
func Play(plan Plan) (Report, error) {
	var report Report
	scope := &scope{}
	err := scope.run(func() error {
		deployment, err := newDeployment(scope, plan.Folder)
		if err != nil {
			return err
		}
		report, err = deployment.play(plan)
		return err
	})
	return report, err
}

// play starts the fleet and its load, replaces the VMs and checks the promises.
func (deployment *deployment) play(plan Plan) (Report, error) {
	random := rand.New(rand.NewPCG(plan.Seed, 0))
	load := &load{t: deployment.t, vms: deployment.vms, random: random}
	done, ended := make(chan struct{}), make(chan struct{})
	for _, vm := range deployment.vms {
		go vm.balance(done)
	}
	if err := deployment.startAll(plan.From); err != nil {
		close(done)
		return Report{}, err
	}
	load.setPhase("before")
	go func() { load.run(done); close(ended) }()
	allLeftAt, err := deployment.replaceAll(plan, random, load)
	report := Report{Builds: map[string]string{}}
	for _, vm := range deployment.vms {
		report.Builds[vm.VM] = vm.dump().Build
	}
	close(done)
	<-ended
	if err != nil {
		return report, err
	}
	observed := observed{requests: load.requests, runs: deployment.recorder.Runs(), allLeftAt: allLeftAt}
	for _, vm := range deployment.vms {
		if vm.ended.Load() {
			observed.ended = append(observed.ended, vm.VM)
		}
	}
	if observed.log, err = deployment.linesOn(observed.wronglyRun()); err != nil {
		return report, err
	}
	report.Phases, report.Broken, report.Known = observed.phases(), observed.broken(), observed.knownRepeats()
	for _, line := range observed.log {
		report.Log = append(report.Log, line.vm+" "+line.text)
	}
	return report, nil
}

// replaceAll replaces the VMs in a random order, with a pause half-way for faults. It returns when all VMs knew that a target leaves.
func (deployment *deployment) replaceAll(plan Plan, random *rand.Rand, load *load) (time.Time, error) {
	time.Sleep(plan.Phase)
	order := slices.Clone(deployment.vms)
	random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	first, rest := order[:len(order)/2], order[len(order)/2:]
	load.setPhase("first half")
	if err := deployment.replaceEach(first, plan.To); err != nil {
		return time.Time{}, err
	}
	programs := map[*vm]string{}
	for _, vm := range order {
		programs[vm] = plan.From
	}
	for _, vm := range first {
		programs[vm] = plan.To
	}
	allLeftAt, err := deployment.disturb(plan, random, load, programs)
	if err != nil {
		return allLeftAt, err
	}
	if plan.Rollback {
		load.setPhase("roll back")
		err = deployment.replaceEach(first, plan.From)
	} else {
		load.setPhase("second half")
		err = deployment.replaceEach(rest, plan.To)
	}
	load.setPhase("after")
	time.Sleep(plan.Phase)
	return allLeftAt, err
}

func (deployment *deployment) replaceEach(replaced []*vm, program string) error {
	for _, vm := range replaced {
		if err := deployment.replace(vm, program); err != nil {
			return err
		}
	}
	return nil
}

// disturb changes the configuration, lets a target leave, strands a VM and crashes another while builds are mixed.
func (deployment *deployment) disturb(plan Plan, random *rand.Rand, load *load, programs map[*vm]string) (allLeftAt time.Time, err error) {
	load.setPhase("mixed")
	time.Sleep(plan.Phase)
	deployment.store.PutConfig(configuration(2, true))
	if err := await("the configuration", deployment.vms, func(vm *vm) bool { return vm.dump().Version == 2 }); err != nil {
		return allLeftAt, err
	}
	load.added.Store(true)
	deployment.store.PutTarget(deployment.targets[leavingTarget], "s1", "a", "draining")
	if err := await("the leaving target", deployment.vms, func(vm *vm) bool { return vm.dump().state(leavingTarget) == "draining" }); err != nil {
		return allLeftAt, err
	}
	allLeftAt = time.Now()
	load.setPhase("stranded VM")
	deployment.eachLink((*platformtest.Link).Hang)
	deployment.slow.Store(true)
	time.Sleep(plan.Phase)
	deployment.slow.Store(false)
	deployment.eachLink((*platformtest.Link).Restore)
	load.setPhase("crash")
	crashed := deployment.vms[random.IntN(len(deployment.vms))]
	crashed.kill()
	time.Sleep(plan.Phase / 2)
	return allLeftAt, deployment.restart(crashed, programs[crashed])
}

func (deployment *deployment) eachLink(change func(link *platformtest.Link)) {
	for _, link := range deployment.links {
		change(link)
	}
}

// phases counts the requests by phase, in the order in which the phases began.
func (observed observed) phases() []Phase {
	ordered, runs := slices.Clone(observed.requests), observed.runsByID()
	slices.SortFunc(ordered, func(a, b *request) int { return a.started.Compare(b.started) })
	var phases []Phase
	for _, request := range ordered {
		i := slices.IndexFunc(phases, func(phase Phase) bool { return phase.Name == request.phase })
		if i < 0 {
			i, phases = len(phases), append(phases, Phase{Name: request.phase})
		}
		phases[i].count(request, runs[request.id])
	}
	return phases
}

// count adds a request and the number of its runs.
func (phase *Phase) count(request *request, runs int) {
	phase.Sent++
	if request.kind.key == quotaKey && runs > 0 {
		phase.QuotaUsed++
	}
	if request.ranTwice(runs) {
		phase.Twice++
	}
	if request.falselyRefused(runs) {
		phase.FalselyRefused++
	}
	switch {
	case request.served():
		phase.Served++
		if request.latency > lateAfter {
			phase.Late++
		}
		if request.kind.name == "gather" && request.missing != "0" {
			phase.Partial++
		}
	case request.refused() && request.kind.key == quotaKey:
		phase.OverQuota++
	case request.refused():
		phase.Refused++
	default:
		phase.Unanswered++
	}
}

// Print writes the report as text.
func (report Report) Print(writer io.Writer) error {
	table := tabwriter.NewWriter(writer, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "phase\tsent\tserved\tpartial\tlate\tquota used\tover quota\trefused\tunanswered\ttwice\tfalse not run")
	for _, phase := range report.Phases {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", phase.Name, phase.Sent, phase.Served, phase.Partial, phase.Late,
			phase.QuotaUsed, phase.OverQuota, phase.Refused, phase.Unanswered, phase.Twice, phase.FalselyRefused)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	builds, err := yaml.Marshal(report.Builds)
	if err != nil {
		return err
	}
	fmt.Fprintf(writer, "builds at the end:\n%s", builds)
	for _, broken := range report.Broken {
		fmt.Fprintln(writer, "BROKEN", broken)
	}
	for _, known := range report.Known {
		fmt.Fprintln(writer, "known fault of a landed build: ran twice:", known)
	}
	for _, line := range report.Log {
		fmt.Fprintln(writer, line)
	}
	return nil
}

// NewFolder returns a new folder for settings and logs.
func NewFolder() (string, error) { return os.MkdirTemp("", "poplarpin-upgrade-") }
