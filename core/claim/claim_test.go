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

// environment is a fake platform that stores one claim, and a target that counts how often the request ran.
type environment struct {
	claim   claim.Claim
	version int64
	runs    int
}

func (environment *environment) write(write claim.Write) claim.Event {
	if write.Version != environment.version {
		return claim.Found{Claim: environment.claim, Version: environment.version}
	}
	environment.claim, environment.version = write.Claim, environment.version+1
	return claim.Written{Version: environment.version}
}

// submission is one runner and the answer to its caller.
type submission struct {
	runner *claim.Runner
	action claim.Action
	late   bool // the call may still run after the answer
	ran    bool
	answer api.Outcome
}

// step executes the submission's action with a random fault.
func (submission *submission) step(t *rapid.T, environment *environment) {
	var event claim.Event
	fault := rapid.IntRange(0, 5).Draw(t, "fault")
	switch action := submission.action.(type) {
	case claim.Write:
		switch fault {
		case 0:
			event = claim.NoAnswer{} // the write was lost
		case 1:
			environment.write(action) // the write was processed, the reply was lost
			event = claim.NoAnswer{}
		default:
			event = environment.write(action)
		}
	case claim.Read:
		event = claim.Found{Claim: environment.claim, Version: environment.version}
		if fault == 0 {
			event = claim.NoAnswer{}
		}
	case claim.Send:
		event = submission.call(t, environment)
	}
	if rapid.IntRange(0, 9).Draw(t, "abort") == 0 {
		if _, ok := event.(claim.Result); !ok {
			event = claim.Aborted{}
		}
	}
	submission.action = submission.runner.Step(event)
	if finish, ok := submission.action.(claim.Finish); ok {
		submission.answer = finish.Outcome
		if finish.Record != nil {
			environment.write(*finish.Record)
		}
	}
}

// call sends the call, which runs with or without a reply, is aborted and may run later, or is refused without running.
func (submission *submission) call(t *rapid.T, environment *environment) claim.Event {
	switch rapid.IntRange(0, 5).Draw(t, "call") {
	case 0:
		environment.runs++
		submission.ran = true
		return claim.Result{Outcome: rpc.Lost}
	case 1:
		submission.late = true
		return claim.Aborted{}
	case 2:
		return claim.Result{Outcome: rapid.SampledFrom([]rpc.Outcome{rpc.NotSent, rpc.Shed, rpc.Draining, rpc.VersionNotHeld, rpc.Expired}).Draw(t, "refusal")}
	}
	environment.runs++
	submission.ran = true
	return claim.Result{Outcome: rpc.OK}
}

// TestAtMostOnce checks the rules of model/once.pml on the implementation: a request submitted by several VMs runs at most once, and no
// caller is answered not run if its own call ran. Lost platform replies, crashes and calls that run after the answer could break either.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		environment := &environment{}
		var submissions []*submission
		for i := range 3 {
			runner := claim.New(fmt.Sprintf("vm%d/1/1", i))
			submissions = append(submissions, &submission{runner: runner, action: runner.Step(claim.Begin{})})
		}
		for {
			var pending []*submission
			for _, submission := range submissions {
				if submission.answer == "" {
					pending = append(pending, submission)
				}
			}
			if len(pending) == 0 {
				break
			}
			if rapid.IntRange(0, 14).Draw(t, "crash") == 0 {
				pending[0].answer = api.Unknown // the VM crashed, so its caller has no answer
				continue
			}
			pending[rapid.IntRange(0, len(pending)-1).Draw(t, "submission")].step(t, environment)
		}
		for _, submission := range submissions {
			if submission.late && rapid.Bool().Draw(t, "runs late") {
				environment.runs++
				submission.ran = true
			}
		}
		assertAtMostOnce(t, environment, submissions)
	})
}

func assertAtMostOnce(t *rapid.T, environment *environment, submissions []*submission) {
	assert.Assert(t, environment.runs <= 1, "the request ran %d times", environment.runs)
	notRun := 0
	for _, submission := range submissions {
		if submission.answer == api.NotRun {
			notRun++
			assert.Assert(t, !submission.ran, "a submission answered not run although its call ran")
		}
		if submission.answer == api.Ran {
			assert.Equal(t, environment.runs, 1)
		}
	}
	if notRun == len(submissions) {
		assert.Equal(t, environment.runs, 0, "all submissions were answered not run, but the request ran")
	}
}

// TestUnknownOutcome guards against a claim that is released, so that the request runs again, after an outcome that does not prove that it has not run.
func TestUnknownOutcome(t *testing.T) {
	for name, outcome := range map[string]rpc.Outcome{"missing": "", "of a later build": "later", "lost": rpc.Lost, "owner lost": rpc.OwnerLost} {
		t.Run(name, func(t *testing.T) {
			runner := claim.New("vm0/1/1")
			runner.Step(claim.Begin{})
			assert.Equal(t, runner.Step(claim.Written{Version: 1}), claim.Action(claim.Send{}))
			finish, ok := runner.Step(claim.Result{Outcome: outcome}).(claim.Finish)
			assert.Assert(t, ok, "the claim is written")
			assert.Equal(t, finish.Outcome, api.Unknown)
			assert.Assert(t, finish.Record == nil)
		})
	}
}

// TestReleaseIsTriedAgain guards against a claim that stays held by a request that did not run, since the platform does not answer or the request's time
// is over: its caller is told to submit it again, and every submission ends as unknown.
func TestReleaseIsTriedAgain(t *testing.T) {
	for name, event := range map[string]claim.Event{"no answer": claim.NoAnswer{}, "at the deadline": claim.Aborted{}} {
		t.Run(name, func(t *testing.T) {
			runner := claim.New("vm0/1/1")
			runner.Step(claim.Begin{})
			runner.Step(claim.Written{Version: 7})
			release := claim.Write{Claim: claim.Claim{Holder: "vm0/1/1", State: claim.Released}, Version: 7}
			assert.Equal(t, runner.Step(claim.Result{Outcome: rpc.Expired}), claim.Action(release))
			finish, ok := runner.Step(event).(claim.Finish)
			assert.Assert(t, ok)
			assert.Equal(t, finish.Outcome, api.NotRun)
			assert.DeepEqual(t, finish.Record, &release)
		})
	}
}
