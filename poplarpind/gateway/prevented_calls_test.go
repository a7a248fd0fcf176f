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

// preventingMachine is a state machine that has prevented a number of calls.
type preventingMachine struct {
	stateMachine
	prevented int
}

func (preventingMachine *preventingMachine) PreventedCalls() int { return preventingMachine.prevented }
func (preventingMachine *preventingMachine) Finished() bool      { return true }

// TestPreventedCallsAreSeen guards against a fault that the state machine contains and nobody hears of.
func TestPreventedCallsAreSeen(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	gateway := New(platform.Settings{VM: "vm-a1", FailureDomain: "a"}, "test", zap.New(core))
	job := gateway.newBareJob(&platform.Request{ID: "id-7"}, &route.Route{Name: "r"}, 1, time.Now())
	machine := &preventingMachine{}
	job.machine = machine
	step := func(prevented int) {
		gateway.step(job, func(time.Time) []fanout.Action {
			machine.prevented = prevented
			return nil
		})
	}
	counted := func() string {
		if value := callCounts.Get("prevented"); value != nil {
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
