package gateway

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"poplarpin.dev/core/fanout"
	"poplarpin.dev/core/route"
	"poplarpin.dev/platform"
)

// stoppedMachine is a state machine that has stopped a number of calls.
type stoppedMachine struct {
	stateMachine
	stopped int
}

func (stoppedMachine *stoppedMachine) StoppedCalls() int { return stoppedMachine.stopped }
func (stoppedMachine *stoppedMachine) Finished() bool    { return true }

// TestStoppedCallsAreSeen guards against a fault that the state machine contains and nobody hears of.
func TestStoppedCallsAreSeen(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	gateway := New(platform.Settings{VM: "vm-a1", FailureDomain: "a"}, "test", zap.New(core))
	job := gateway.newBareJob(&platform.Request{ID: "id-7"}, &route.Route{Name: "r"}, 1, time.Now())
	machine := &stoppedMachine{}
	job.machine = machine
	step := func(stopped int) {
		gateway.step(job, func(time.Time) []fanout.Action {
			machine.stopped = stopped
			return nil
		})
	}
	counted := func() string {
		if value := callCounts.Get("stopped"); value != nil {
			return value.String()
		}
		return ""
	}
	step(0)
	assert.Equal(t, logs.FilterField(zap.String("request", "id-7")).Len(), 0)
	assert.Equal(t, counted(), "")
	step(2)
	step(2)
	step(3)
	lines := logs.FilterField(zap.String("request", "id-7")).All()
	assert.Equal(t, len(lines), 2)
	assert.Equal(t, lines[0].Level, zap.ErrorLevel)
	assert.Equal(t, counted(), "3")
}
