package claim_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"poplarpin.dev/core/api"
	"poplarpin.dev/core/claim"
	"poplarpin.dev/core/rpc"
)

// world is a fake platform with one claim, and a target that counts runs.
type world struct {
	claim   claim.Claim
	version int64
	runs    int
}

func (world *world) write(write claim.Write) claim.Event {
	if write.Version != world.version {
		return claim.Found{Claim: world.claim, Version: world.version}
	}
	world.claim, world.version = write.Claim, world.version+1
	return claim.Written{Version: world.version}
}

// submission is one runner and what its caller was told.
type submission struct {
	runner *claim.Runner
	action claim.Action
	late   bool // its call may still run after the answer
	ran    bool
	answer api.Outcome
}

// step carries out the submission's action with a fault drawn for it.
func (submission *submission) step(t *rapid.T, world *world) {
	var event claim.Event
	fault := rapid.IntRange(0, 5).Draw(t, "fault")
	switch action := submission.action.(type) {
	case claim.Write:
		switch fault {
		case 0:
			event = claim.NoAnswer{} // did not arrive
		case 1:
			world.write(action) // took effect or was refused, the answer is lost
			event = claim.NoAnswer{}
		default:
			event = world.write(action)
		}
	case claim.Read:
		event = claim.Found{Claim: world.claim, Version: world.version}
		if fault == 0 {
			event = claim.NoAnswer{}
		}
	case claim.Send:
		event = submission.call(t, world)
	}
	if rapid.IntRange(0, 9).Draw(t, "give up") == 0 {
		if _, ok := event.(claim.Result); !ok {
			event = claim.Aborted{}
		}
	}
	submission.action = submission.runner.Step(event)
	if finish, ok := submission.action.(claim.Finish); ok {
		submission.answer = finish.Outcome
		if finish.Record != nil {
			world.write(*finish.Record)
		}
	}
}

// call brings the call to the target, or not.
func (submission *submission) call(t *rapid.T, world *world) claim.Event {
	switch rapid.IntRange(0, 5).Draw(t, "call") {
	case 0:
		world.runs++
		submission.ran = true
		return claim.Result{Outcome: rpc.Lost}
	case 1:
		submission.late = true
		return claim.Aborted{}
	case 2:
		return claim.Result{Outcome: rapid.SampledFrom([]rpc.Outcome{rpc.NotSent, rpc.Shed, rpc.Draining, rpc.VersionNotHeld, rpc.Expired}).Draw(t, "refusal")}
	}
	world.runs++
	submission.ran = true
	return claim.Result{Outcome: rpc.OK}
}

// TestAtMostOnce runs the rules of model/once.pml on the real core.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := &world{}
		var all []*submission
		for i := range 3 {
			runner := claim.New(fmt.Sprintf("vm%d/1/1", i))
			all = append(all, &submission{runner: runner, action: runner.Step(claim.Begin{})})
		}
		for {
			var open []*submission
			for _, each := range all {
				if each.answer == "" {
					open = append(open, each)
				}
			}
			if len(open) == 0 {
				break
			}
			if rapid.IntRange(0, 14).Draw(t, "crash") == 0 {
				open[0].answer = api.Unknown // its VM is gone, the caller knows nothing
				continue
			}
			open[rapid.IntRange(0, len(open)-1).Draw(t, "submission")].step(t, world)
		}
		for _, each := range all {
			if each.late && rapid.Bool().Draw(t, "runs late") {
				world.runs++
				each.ran = true
			}
		}
		assertOnce(t, world, all)
	})
}

func assertOnce(t *rapid.T, world *world, all []*submission) {
	assert.Assert(t, world.runs <= 1, "%d runs", world.runs)
	notRun := 0
	for _, each := range all {
		if each.answer == api.NotRun {
			notRun++
			assert.Assert(t, !each.ran, "a submission that says not run has run it")
		}
		if each.answer == api.Ran {
			assert.Equal(t, world.runs, 1)
		}
	}
	if notRun == len(all) {
		assert.Equal(t, world.runs, 0, "all were told that it was not run")
	}
}
