package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/api"
	"poplarpin.dev/core/config"
	"poplarpin.dev/core/object"
	"poplarpin.dev/core/release"
	"poplarpin.dev/poplarpin/client"
	"poplarpin.dev/poplarpin/load"
	"poplarpin.dev/poplarpind/certificate/certificatetest"
	"poplarpin.dev/poplarpind/settings"
	"poplarpin.dev/standin/platform"
	"poplarpin.dev/standin/target"
	"poplarpin.dev/testbed/fleet"
)

const conditionTimeout = 60 * time.Second // upper limit of each wait; no assertion depends on how long a condition takes

var bin string

// TestMain builds poplarpind and standin with the race detector.
func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "poplarpin-test-")
	if err != nil {
		panic(err)
	}
	build := exec.Command("go", "build", "-race", "-o", folder, "poplarpin.dev/poplarpind", "poplarpin.dev/standin")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	bin = folder
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

func startFleet(t *testing.T) *fleet.Fleet {
	t.Helper()
	running, err := fleet.Start(fleet.Demo(), fleet.Options{Bin: bin, Folder: t.TempDir(), DrainWait: time.Second, Seed: 1})
	assert.NilError(t, err)
	t.Cleanup(running.Stop)
	assert.NilError(t, running.ApplyTopology())
	return running
}

func assertEventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	assert.NilError(t, fleet.Await(conditionTimeout, condition), what)
}

func noteAddingClasses(id string, base int64, names ...string) release.Note {
	note := release.Note{ID: id, Base: base}
	for _, name := range names {
		note.Add.Classes = append(note.Add.Classes, config.Class{Name: name})
	}
	return note
}

func mustQuery(t *testing.T, vm *fleet.VM, id string) api.Answer {
	t.Helper()
	answer, err := query(vm, id)
	assert.NilError(t, err)
	return answer
}

// TestBadInput guards against bad requests and notes that get a wrong status, a wrong error kind or an outcome other than "not run",
// and against a VM that stops serving after them.
func TestBadInput(t *testing.T) {
	running := startFleet(t)
	url := "http://" + running.VMs[0].CallerAddress + "/v1/query"
	tests := []struct {
		name, body string
		status     int
		kind       api.Kind
	}{
		{"over the limit", `{"id":"a","service":"heat","query":"` + strings.Repeat("x", api.MaxBodyBytes) + `"}`, 413, api.TooLarge},
		{"malformed", `{"id":`, 400, api.BadRequest},
		{"unknown field", `{"id":"a","service":"heat","colour":1}`, 400, api.BadRequest},
		{"deadline of zero", `{"id":"a","service":"heat","deadline":"0s"}`, 400, api.BadRequest},
		{"deadline below zero", `{"id":"a","service":"heat","deadline":"-1s"}`, 400, api.BadRequest},
		{"deadline of a year", `{"id":"a","service":"heat","deadline":"8760h"}`, 400, api.BadRequest},
		{"id of 10 KB", `{"id":"` + strings.Repeat("x", 10_240) + `","service":"heat"}`, 400, api.BadRequest},
		{"unknown service", `{"id":"a","service":"cold"}`, 404, api.NotFound},
		{"class of another service", `{"id":"a","service":"heat","class":"none"}`, 400, api.BadRequest},
	}
	for _, each := range tests {
		t.Run(each.name, func(t *testing.T) { assertRefused(t, url, each.body, each.status, each.kind) })
	}
	operator := "http://" + running.VMs[0].OperatorAddress + "/v1/releases"
	t.Run("base in the future", func(t *testing.T) {
		assertRefused(t, operator, `{"id":"n","base":99,"add":{"classes":[{"name":"x"}]}}`, 400, api.BadRequest)
	})
	t.Run("id of another note", func(t *testing.T) {
		assertRefused(t, operator, `{"id":"setup","base":0,"add":{"classes":[{"name":"x"}]}}`, 409, api.ConflictKind)
	})
	t.Run("serves after bad input", func(t *testing.T) {
		assert.Equal(t, mustQuery(t, running.VMs[0], "after").Outcome, api.Complete)
	})
}

func assertRefused(t *testing.T, url, body string, status int, kind api.Kind) {
	t.Helper()
	response, err := http.Post(url, "application/json", bytes.NewBufferString(body))
	assert.NilError(t, err)
	defer response.Body.Close()
	var failure api.Error
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&failure))
	assert.Equal(t, response.StatusCode, status, "%v", failure)
	assert.Equal(t, failure.Kind, kind)
	assert.Equal(t, failure.Outcome, api.NotRun)
}

// TestRacingOperators guards against notes that are accepted twice or lost. Each note is submitted at two entry VMs at once, and again
// after each error that is unknown or unavailable, while the platform drops the answers of 30% of its writes.
func TestRacingOperators(t *testing.T) {
	running := startFleet(t)
	assert.NilError(t, running.SetPlatform(platform.Faults{LoseWrite: 0.3}))
	const notes = 6
	var group sync.WaitGroup
	for i := range notes {
		note := noteAddingClasses(fmt.Sprintf("race%d", i), 1, fmt.Sprintf("race%d", i))
		for copy := range 2 {
			group.Go(func() {
				for {
					_, err := running.Apply(running.VMs[(i+copy)%len(running.VMs)], note)
					var failure *api.Error
					if !errors.As(err, &failure) || failure.Kind != api.UnknownKind && failure.Kind != api.Unavailable {
						assert.Check(t, err == nil, "%v", err)
						return
					}
				}
			})
		}
	}
	group.Wait()
	assert.NilError(t, running.SetPlatform(platform.Faults{}))
	assertEventually(t, "all releases in force on all VMs", func() bool { return running.InForce(1+notes, running.VMs...) })
	history, err := running.VMs[0].OperatorClient().History(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, len(history), 1+notes, "each note is accepted once")
}

// TestConflictNamesTheWinner guards against a conflict that does not name the accepted note, which the losing operator has to read.
func TestConflictNamesTheWinner(t *testing.T) {
	running := startFleet(t)
	_, err := running.Apply(running.VMs[0], noteAddingClasses("winner", 1, "contested"))
	assert.NilError(t, err)
	_, err = running.Apply(running.VMs[1], noteAddingClasses("loser", 1, "contested"))
	var failure *api.Error
	assert.Assert(t, errors.As(err, &failure))
	assert.Equal(t, failure.Kind, api.ConflictKind)
	assert.Equal(t, failure.Winner, "winner")
}

// TestWithdrawnStaysWithdrawn guards against tombstones that are lost when every VM restarts with empty memory: a note that is older
// than the withdrawal could then add the name again.
func TestWithdrawnStaysWithdrawn(t *testing.T) {
	running := startFleet(t)
	_, err := running.Apply(running.VMs[0], noteAddingClasses("add", 1, "passing"))
	assert.NilError(t, err)
	_, err = running.Apply(running.VMs[1], release.Note{ID: "gone", Base: 2, Withdraw: []config.Key{"classes/passing"}})
	assert.NilError(t, err)
	for _, vm := range running.VMs {
		assert.NilError(t, vm.Signal(syscall.SIGKILL))
		_ = vm.Wait()
		assert.NilError(t, running.Launch(vm))
	}
	assertEventually(t, "release in force on all VMs after the restart", func() bool { return running.InForce(3, running.VMs...) })
	_, err = running.Apply(running.VMs[0], noteAddingClasses("stale", 2, "passing"))
	assert.ErrorContains(t, err, "conflict")
}

// TestCutDomain guards against a failure domain that misses releases while it cannot reach the platform: its VMs fetch them from peers.
func TestCutDomain(t *testing.T) {
	running := startFleet(t)
	assert.NilError(t, running.SetPlatform(platform.Faults{DownFor: []string{"nizwa"}}))
	for i := range 3 {
		_, err := running.Apply(running.VMs[0], noteAddingClasses(fmt.Sprintf("cut%d", i), 1, fmt.Sprintf("cut%d", i)))
		assert.NilError(t, err)
	}
	assertEventually(t, "release in force in the failure domain that is cut off", func() bool { return running.InForce(4, running.VMs...) })
}

// TestPlatformOutage guards against a fleet that depends on the platform to serve. While the platform is down, queries are answered,
// a restarted VM gets the release from its peers, a note fails with a retry delay, and a non-idempotent request ends as unknown.
func TestPlatformOutage(t *testing.T) {
	running := startFleet(t)
	assert.NilError(t, running.SetPlatform(platform.Faults{Down: true}))
	assert.Equal(t, mustQuery(t, running.VMs[0], "outage").Outcome, api.Complete)
	vm := running.VMs[3]
	assert.NilError(t, vm.Signal(syscall.SIGKILL))
	_ = vm.Wait()
	assert.NilError(t, running.Launch(vm))
	assertEventually(t, "restarted VM gets the release from its peers", func() bool { return running.InForce(1, vm) })
	_, err := running.Apply(running.VMs[0], noteAddingClasses("outage", 1, "outage"))
	var failure *api.Error
	assert.Assert(t, errors.As(err, &failure))
	assert.Assert(t, failure.Kind == api.Unavailable || failure.Kind == api.UnknownKind)
	assert.Assert(t, failure.RetryAfter > 0)
	answer, err := running.VMs[0].CallerClient().Query(context.Background(), api.Request{ID: "crew", Service: "heat", NonIdempotent: true, Shard: "v1-s00"})
	assert.NilError(t, err)
	assert.Equal(t, answer.Outcome, api.Unknown, "without the platform a VM cannot tell whether another VM has run the id")
}

// loadPlan returns a plan of 60 idempotent requests per second over all entry VMs of a fleet.
func loadPlan(t *testing.T, running *fleet.Fleet, duration time.Duration) load.Plan {
	t.Helper()
	note, err := running.WriteNote(running.Topology.SetupNote("setup", running.TargetConfigs()))
	assert.NilError(t, err)
	plan := load.Plan{Seed: 1, Duration: config.Duration(duration), Rate: 60, Admin: running.AdminURL, Notes: []string{note},
		Streams: []load.Stream{{Service: "heat", Class: "alarm", Query: "shed", Share: 1}}}
	for _, vm := range running.VMs {
		plan.Callers = append(plan.Callers, "http://"+vm.CallerAddress)
	}
	return plan
}

func runPlan(t *testing.T, plan load.Plan) *load.Report {
	t.Helper()
	experiment, err := load.New(plan)
	assert.NilError(t, err)
	report, err := experiment.Run(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, report.Broken, 0, "%v", report.Violations)
	return report
}

// TestRollingStops guards against requests that fail or get a partial answer while every entry VM in turn is stopped as planned and
// replaced under load.
func TestRollingStops(t *testing.T) {
	running := startFleet(t)
	done := make(chan *load.Report, 1)
	go func() { done <- runPlan(t, loadPlan(t, running, 16*time.Second)) }()
	for _, vm := range running.VMs {
		time.Sleep(500 * time.Millisecond)
		assert.NilError(t, vm.Signal(syscall.SIGTERM))
		assert.NilError(t, vm.Wait())
		assert.NilError(t, running.Launch(vm))
		assertEventually(t, "restarted VM serves", func() bool { return vm.CallerClient().Healthy(context.Background()) && running.InForce(1, vm) })
	}
	figures := (<-done).Streams["heat/alarm"]
	assert.Equal(t, figures.Errors["cut"], 0)
	assert.Equal(t, len(figures.Errors), 0, "%v", figures.Errors)
	assert.Equal(t, figures.Outcomes[api.Complete], figures.Sent, "%v %v", figures.Outcomes, figures.Missing)
}

// TestDrainingTarget guards against calls that go on to a draining target when only its refusals show it: its health endpoint still
// reports serving, and the platform's list does not show it as leaving.
func TestDrainingTarget(t *testing.T) {
	running := startFleet(t)
	draining := fleet.TargetName("heat", 2, 0)
	assert.NilError(t, running.SetTargets(target.Faults{Draining: true, HealthSays: "serving"}, draining))
	report := runPlan(t, loadPlan(t, running, 4*time.Second))
	counters, err := running.Counters()
	assert.NilError(t, err)
	assert.Assert(t, counters.Targets[draining].Refused <= int64(2*len(running.VMs)), "the draining target refused %d calls", counters.Targets[draining].Refused)
	figures := report.Streams["heat/alarm"]
	assert.Equal(t, figures.Outcomes[api.Complete], figures.Sent, "%v %v", figures.Outcomes, figures.Missing)
}

// TestOddVMs guards against VMs that stop following the platform's VM list because of single entries: targets that leave were called on.
func TestOddVMs(t *testing.T) {
	running := startFleet(t)
	odd := []json.RawMessage{[]byte(`{"name":7}`), []byte(`"vm"`), []byte(`{"role":"entry"}`), []byte(`{"name":"odd","role":"entry","address":"127.0.0.1:70000","failureDomain":"nizwa"}`),
		[]byte(`{"name":"deep","role":` + strings.Repeat("[", 9_000) + strings.Repeat("]", 9_000) + `}`), []byte(`{"name":"large","leaving":1e400}`)}
	assert.NilError(t, running.SetPlatform(platform.Faults{OddVMs: odd}))
	assert.Equal(t, mustQuery(t, running.VMs[0], "before").Outcome, api.Complete)
	assert.NilError(t, running.SetVMs(func(vm *object.VM) bool { vm.Leaving = vm.Role == object.TargetRole; return true }))
	queries := 0
	assertEventually(t, "no calls to leaving targets", func() bool {
		queries++
		answer, err := query(running.VMs[0], fmt.Sprint("leaving", queries))
		return err != nil || answer.Outcome != api.Complete
	})
	assert.NilError(t, running.SetVMs(func(*object.VM) bool { return true }))
	assertEventually(t, "calls to the targets again", func() bool {
		queries++
		answer, err := query(running.VMs[0], fmt.Sprint("back", queries))
		return err == nil && answer.Outcome == api.Complete
	})
}

// TestOnceUnderFaults guards against a non-idempotent request that runs twice or has run although reported as not run. Half of the
// requests are submitted twice, while the platform drops answers of writes, an entry VM is frozen for 2 s, another is killed, and a
// target closes connections after it has done the work.
func TestOnceUnderFaults(t *testing.T) {
	running := startFleet(t)
	faulty := loadPlan(t, running, 8*time.Second)
	faulty.Streams = []load.Stream{{Service: "heat", Class: "alarm", Query: "crew", Share: 1, NonIdempotent: true, Shard: "v1-s02", Twice: 0.5}}
	faulty.Faults = []load.Fault{
		{At: config.Duration(time.Second), Platform: map[string]any{"loseWrite": 0.2}},
		{At: config.Duration(2 * time.Second), PID: running.VMs[1].PID(), Signal: "STOP"},
		{At: config.Duration(4 * time.Second), PID: running.VMs[1].PID(), Signal: "CONT"},
		{At: config.Duration(5 * time.Second), PID: running.VMs[2].PID(), Signal: "KILL"},
		{At: config.Duration(6 * time.Second), Targets: []string{"heat-02-a"}, Set: map[string]any{"cutAfterWork": 0.5}},
	}
	report := runPlan(t, faulty)
	assert.Assert(t, report.Streams["heat/alarm"].Outcomes[api.Ran] > 0)
}

// TestSecured guards against a fleet with TLS whose operator interface accepts a client certificate of another authority, or one of
// its own authority whose name is not among the operators.
func TestSecured(t *testing.T) {
	folder, hour := t.TempDir(), time.Now().Add(time.Hour)
	members, err := certificatetest.New()
	assert.NilError(t, err)
	otherAuthority, err := certificatetest.New()
	assert.NilError(t, err)
	operator := func(authority *certificatetest.Authority, name string) client.TLS {
		files, err := authority.Issue(t.TempDir(), name, hour, time.Now())
		assert.NilError(t, err)
		// The client always verifies the VMs' certificates against the members' authority.
		memberFiles, err := members.Issue(t.TempDir(), name, hour, time.Now())
		assert.NilError(t, err)
		return client.TLS{Certificate: files.Certificate, Key: files.Key, Authority: memberFiles.Authority}
	}
	running, err := fleet.Start(fleet.Demo(), fleet.Options{Bin: bin, Folder: folder, Seed: 1, TLS: &fleet.TLSOptions{
		Issue:     func(name string) (*settings.TLS, error) { return members.Issue(folder, name, hour, time.Now()) },
		Operators: []string{"ana"}, Operator: operator(members, "ana")}})
	assert.NilError(t, err)
	t.Cleanup(running.Stop)
	assert.NilError(t, running.ApplyTopology())
	assert.Equal(t, mustQuery(t, running.VMs[0], "secured").Outcome, api.Complete)
	history, err := running.VMs[0].OperatorClient().History(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, history[0].Author, "ana")
	apply := func(files client.TLS) error {
		operatorClient, err := client.New("https://"+running.VMs[0].OperatorAddress, files)
		assert.NilError(t, err)
		_, err = operatorClient.Apply(context.Background(), noteAddingClasses("theirs", 1, "theirs"))
		return err
	}
	t.Run("certificate of a member that is not an operator", func(t *testing.T) {
		assert.ErrorContains(t, apply(operator(members, "badr")), "forbidden")
	})
	t.Run("certificate of another authority", func(t *testing.T) {
		assert.ErrorContains(t, apply(operator(otherAuthority, "ana")), "certificate")
	})
}

// TestLostTargets guards against answers that stay partial, or claim a wrong coverage, after a target dies and 30% of the connections
// go silent. The load report counts each wrong claim as a violation.
func TestLostTargets(t *testing.T) {
	running := startFleet(t)
	faulty := loadPlan(t, running, 6*time.Second)
	faulty.Faults = []load.Fault{
		{At: config.Duration(time.Second), Targets: []string{"heat-01-a"}, Set: map[string]any{"down": true}},
		{At: config.Duration(3 * time.Second), Set: map[string]any{"silent": 0.3}},
	}
	runPlan(t, faulty)
	assertEventually(t, "complete answers after the faults", func() bool {
		answer, err := query(running.VMs[0], "again")
		return err == nil && answer.Outcome == api.Complete
	})
}
