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
	"poplarpin.dev/core/release"
	"poplarpin.dev/poplarpin/client"
	"poplarpin.dev/poplarpin/load"
	"poplarpin.dev/poplarpind/certificate/certificatetest"
	"poplarpin.dev/poplarpind/settings"
	"poplarpin.dev/standin/platform"
	"poplarpin.dev/standin/target"
	"poplarpin.dev/testbed/fleet"
)

const patience = 60 * time.Second // for conditions that are waited for; no verdict depends on how long they take

var bin string

// TestMain builds the programs that the tests run.
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

func start(t *testing.T) *fleet.Fleet {
	t.Helper()
	running, err := fleet.Start(fleet.Demo(), fleet.Options{Bin: bin, Folder: t.TempDir(), DrainWait: time.Second, Seed: 1})
	assert.NilError(t, err)
	t.Cleanup(running.Stop)
	assert.NilError(t, running.Prepare())
	return running
}

func assertSoon(t *testing.T, what string, condition func() bool) {
	t.Helper()
	assert.NilError(t, fleet.Await(patience, condition), what)
}

func classNote(id string, base int64, names ...string) release.Note {
	note := release.Note{ID: id, Base: base}
	for _, name := range names {
		note.Add.Classes = append(note.Add.Classes, config.Class{Name: name})
	}
	return note
}

func ask200(t *testing.T, vm *fleet.VM, id string) api.Answer {
	t.Helper()
	answer, err := ask(vm, id)
	assert.NilError(t, err)
	return answer
}

func TestBadInput(t *testing.T) {
	running := start(t)
	url := "http://" + running.VMs[0].Caller + "/v1/query"
	cases := []struct {
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
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) { assertAnswer(t, url, each.body, each.status, each.kind) })
	}
	operator := "http://" + running.VMs[0].Operator + "/v1/releases"
	t.Run("base in the future", func(t *testing.T) {
		assertAnswer(t, operator, `{"id":"n","base":99,"add":{"classes":[{"name":"x"}]}}`, 400, api.BadRequest)
	})
	t.Run("an id that was used by another note", func(t *testing.T) {
		assertAnswer(t, operator, `{"id":"setup","base":0,"add":{"classes":[{"name":"x"}]}}`, 409, api.ConflictKind)
	})
	t.Run("goes on serving", func(t *testing.T) {
		assert.Equal(t, ask200(t, running.VMs[0], "after").Outcome, api.Complete)
	})
}

func assertAnswer(t *testing.T, url, body string, status int, kind api.Kind) {
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

// TestRacingOperators submits each note at two entry VMs at once while answers of the platform are lost.
func TestRacingOperators(t *testing.T) {
	running := start(t)
	assert.NilError(t, running.SetPlatform(platform.Faults{LoseWrite: 0.3}))
	const notes = 6
	var group sync.WaitGroup
	for i := range notes {
		note := classNote(fmt.Sprintf("race%d", i), 1, fmt.Sprintf("race%d", i))
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
	assertSoon(t, "in force everywhere", func() bool { return running.InForce(1+notes, running.VMs...) })
	history, err := running.VMs[0].Client().History(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, len(history), 1+notes, "each note is accepted once")
}

func TestConflictNamesTheWinner(t *testing.T) {
	running := start(t)
	_, err := running.Apply(running.VMs[0], classNote("winner", 1, "contested"))
	assert.NilError(t, err)
	_, err = running.Apply(running.VMs[1], classNote("loser", 1, "contested"))
	var failure *api.Error
	assert.Assert(t, errors.As(err, &failure))
	assert.Equal(t, failure.Kind, api.ConflictKind)
	assert.Equal(t, failure.Winner, "winner")
}

// TestWithdrawnStaysWithdrawn restarts every VM with an empty memory after a name was withdrawn.
func TestWithdrawnStaysWithdrawn(t *testing.T) {
	running := start(t)
	_, err := running.Apply(running.VMs[0], classNote("add", 1, "passing"))
	assert.NilError(t, err)
	_, err = running.Apply(running.VMs[1], release.Note{ID: "gone", Base: 2, Withdraw: []config.Key{"classes/passing"}})
	assert.NilError(t, err)
	for _, vm := range running.VMs {
		assert.NilError(t, vm.Signal(syscall.SIGKILL))
		_ = vm.Wait()
		assert.NilError(t, running.Launch(vm))
	}
	assertSoon(t, "in force after the restart", func() bool { return running.InForce(3, running.VMs...) })
	_, err = running.Apply(running.VMs[0], classNote("stale", 2, "passing"))
	assert.ErrorContains(t, err, "conflict")
}

// TestCutDomain cuts one failure domain off from the platform; it learns of releases from its peers.
func TestCutDomain(t *testing.T) {
	running := start(t)
	assert.NilError(t, running.SetPlatform(platform.Faults{DownFor: []string{"nizwa"}}))
	for i := range 3 {
		_, err := running.Apply(running.VMs[0], classNote(fmt.Sprintf("cut%d", i), 1, fmt.Sprintf("cut%d", i)))
		assert.NilError(t, err)
	}
	assertSoon(t, "in force in the domain that is cut off", func() bool { return running.InForce(4, running.VMs...) })
}

// TestPlatformOutage serves, refuses notes at once and starts a VM from its peers while the platform is down.
func TestPlatformOutage(t *testing.T) {
	running := start(t)
	assert.NilError(t, running.SetPlatform(platform.Faults{Down: true}))
	assert.Equal(t, ask200(t, running.VMs[0], "outage").Outcome, api.Complete)
	vm := running.VMs[3]
	assert.NilError(t, vm.Signal(syscall.SIGKILL))
	_ = vm.Wait()
	assert.NilError(t, running.Launch(vm))
	assertSoon(t, "a new VM takes the release from its peers", func() bool { return running.InForce(1, vm) })
	_, err := running.Apply(running.VMs[0], classNote("outage", 1, "outage"))
	var failure *api.Error
	assert.Assert(t, errors.As(err, &failure))
	assert.Assert(t, failure.Kind == api.Unavailable || failure.Kind == api.UnknownKind)
	assert.Assert(t, failure.RetryAfter > 0)
	answer, err := running.VMs[0].Callers().Query(context.Background(), api.Request{ID: "crew", Service: "heat", NonIdempotent: true, Shard: "v1-s00"})
	assert.NilError(t, err)
	assert.Equal(t, answer.Outcome, api.Unknown, "another VM may have run the id; this one cannot know")
}

// plan returns a small load on a fleet.
func plan(t *testing.T, running *fleet.Fleet, duration time.Duration) load.Plan {
	t.Helper()
	note, err := running.WriteNote(running.Topology.Note("setup", running.Declared()))
	assert.NilError(t, err)
	plan := load.Plan{Seed: 1, Duration: config.Duration(duration), Rate: 60, Admin: running.AdminURL, Notes: []string{note},
		Streams: []load.Stream{{Service: "heat", Class: "alarm", Query: "shed", Share: 1}}}
	for _, vm := range running.VMs {
		plan.Callers = append(plan.Callers, "http://"+vm.Caller)
	}
	return plan
}

func run(t *testing.T, plan load.Plan) *load.Report {
	t.Helper()
	experiment, err := load.New(plan)
	assert.NilError(t, err)
	report, err := experiment.Run(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, report.Broken, 0, "%v", report.Violations)
	return report
}

// TestRollingStops stops and replaces every entry VM one after the other under load; nothing is cut off.
func TestRollingStops(t *testing.T) {
	running := start(t)
	done := make(chan *load.Report, 1)
	go func() { done <- run(t, plan(t, running, 16*time.Second)) }()
	for _, vm := range running.VMs {
		time.Sleep(500 * time.Millisecond)
		assert.NilError(t, vm.Signal(syscall.SIGTERM))
		assert.NilError(t, vm.Wait())
		assert.NilError(t, running.Launch(vm))
		assertSoon(t, "the new VM serves", func() bool { return vm.Callers().Healthy(context.Background()) && running.InForce(1, vm) })
	}
	figures := (<-done).Streams["heat/alarm"]
	assert.Equal(t, figures.Errors["cut"], 0)
	assert.Equal(t, len(figures.Errors), 0, "%v", figures.Errors)
	assert.Equal(t, figures.Outcomes[api.Complete], figures.Sent, "%v %v", figures.Outcomes, figures.Missing)
}

// TestDrainingTarget drains a target whose health endpoint says that it serves, with no word from the platform's list.
func TestDrainingTarget(t *testing.T) {
	running := start(t)
	leaving := fleet.TargetName("heat", 2, 0)
	assert.NilError(t, running.SetTargets(target.Faults{Draining: true, HealthSays: "serving"}, leaving))
	report := run(t, plan(t, running, 4*time.Second))
	counters, err := running.Counters()
	assert.NilError(t, err)
	assert.Assert(t, counters.Targets[leaving].Refused <= int64(2*len(running.VMs)), "%d calls had to be refused", counters.Targets[leaving].Refused)
	figures := report.Streams["heat/alarm"]
	assert.Equal(t, figures.Outcomes[api.Complete], figures.Sent, "%v %v", figures.Outcomes, figures.Missing)
}

// TestOnceUnderFaults submits non-idempotent requests, many of them twice, while an entry VM is killed, another is frozen
// and the platform loses answers.
func TestOnceUnderFaults(t *testing.T) {
	running := start(t)
	faulty := plan(t, running, 8*time.Second)
	faulty.Streams = []load.Stream{{Service: "heat", Class: "alarm", Query: "crew", Share: 1, NonIdempotent: true, Shard: "v1-s02", Twice: 0.5}}
	faulty.Faults = []load.Fault{
		{At: config.Duration(time.Second), Platform: map[string]any{"loseWrite": 0.2}},
		{At: config.Duration(2 * time.Second), PID: running.VMs[1].PID(), Signal: "STOP"},
		{At: config.Duration(4 * time.Second), PID: running.VMs[1].PID(), Signal: "CONT"},
		{At: config.Duration(5 * time.Second), PID: running.VMs[2].PID(), Signal: "KILL"},
		{At: config.Duration(6 * time.Second), Targets: []string{"heat-02-a"}, Set: map[string]any{"cutAfterWork": 0.5}},
	}
	report := run(t, faulty)
	assert.Assert(t, report.Streams["heat/alarm"].Outcomes[api.Ran] > 0)
}

// TestSecured runs a fleet with TLS on all links and refuses a stranger, and a member that is no operator.
func TestSecured(t *testing.T) {
	folder, hour := t.TempDir(), time.Now().Add(time.Hour)
	members, err := certificatetest.New()
	assert.NilError(t, err)
	strangers, err := certificatetest.New()
	assert.NilError(t, err)
	operator := func(authority *certificatetest.Authority, name string) client.TLS {
		files, err := authority.Issue(t.TempDir(), name, hour, time.Now())
		assert.NilError(t, err)
		own, err := members.Issue(t.TempDir(), name, hour, time.Now()) // for the authority that signs the VMs' certificates
		assert.NilError(t, err)
		return client.TLS{Certificate: files.Certificate, Key: files.Key, Authority: own.Authority}
	}
	running, err := fleet.Start(fleet.Demo(), fleet.Options{Bin: bin, Folder: folder, Seed: 1, Secure: &fleet.Secure{
		Files:     func(name string) (*settings.TLS, error) { return members.Issue(folder, name, hour, time.Now()) },
		Operators: []string{"ana"}, Operator: operator(members, "ana")}})
	assert.NilError(t, err)
	t.Cleanup(running.Stop)
	assert.NilError(t, running.Prepare())
	assert.Equal(t, ask200(t, running.VMs[0], "secured").Outcome, api.Complete)
	history, err := running.VMs[0].Client().History(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, history[0].Author, "ana")
	apply := func(files client.TLS) error {
		made, err := client.New("https://"+running.VMs[0].Operator, files)
		assert.NilError(t, err)
		_, err = made.Apply(context.Background(), classNote("theirs", 1, "theirs"))
		return err
	}
	t.Run("a member that is no operator", func(t *testing.T) {
		assert.ErrorContains(t, apply(operator(members, "badr")), "forbidden")
	})
	t.Run("a stranger", func(t *testing.T) {
		assert.ErrorContains(t, apply(operator(strangers, "ana")), "certificate")
	})
}

// TestLostTargets kills a target and silences connections; queries are whole again, and honest all the time.
func TestLostTargets(t *testing.T) {
	running := start(t)
	faulty := plan(t, running, 6*time.Second)
	faulty.Faults = []load.Fault{
		{At: config.Duration(time.Second), Targets: []string{"heat-01-a"}, Set: map[string]any{"down": true}},
		{At: config.Duration(3 * time.Second), Set: map[string]any{"silent": 0.3}},
	}
	run(t, faulty)
	assertSoon(t, "whole again", func() bool {
		answer, err := ask(running.VMs[0], "again")
		return err == nil && answer.Outcome == api.Complete
	})
}
