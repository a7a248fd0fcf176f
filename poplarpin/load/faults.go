package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"syscall"
	"time"

	"poplarpin.dev/poplarpin/check"
	"poplarpin.dev/poplarpin/client"
)

var signals = map[string]syscall.Signal{
	"KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM,
}

// runSchedule carries out the steps of the plan at their times; it writes errors to stderr and continues with the next step.
func (experiment *Experiment) runSchedule(ctx context.Context) {
	schedule := slices.Clone(experiment.plan.Faults)
	slices.SortStableFunc(schedule, func(a, b Fault) int { return int(a.At - b.At) })
	for _, fault := range schedule {
		time.Sleep(time.Until(experiment.start.Add(fault.At.Std())))
		if fault.Note == "" { // a release note is no fault, so recovery does not count from it
			experiment.mu.Lock()
			if !experiment.faulted {
				experiment.faulted, experiment.firstFault = true, fault.At.Std()
			}
			experiment.mu.Unlock()
		}
		if err := experiment.inject(ctx, fault); err != nil {
			fmt.Fprintf(os.Stderr, "scheduled step at %s failed: %s\n", fault.At, err)
		}
	}
}

// inject carries out one step of the schedule.
func (experiment *Experiment) inject(ctx context.Context, fault Fault) error {
	switch {
	case fault.Signal != "":
		signal, ok := signals[fault.Signal]
		if !ok || fault.PID <= 1 {
			return &Error{"signal", BadStep, fmt.Sprintf("cannot send signal %q to process %d", fault.Signal, fault.PID)}
		}
		return syscall.Kill(fault.PID, signal)
	case fault.Note != "":
		return experiment.applyNote(ctx, fault.Note)
	}
	body, path, err := fault.adminRequest()
	if err != nil {
		return err
	}
	return experiment.postAdmin(ctx, path, body)
}

// applyNote submits a release note to the operator addresses in turn until one accepts it.
func (experiment *Experiment) applyNote(ctx context.Context, name string) error {
	note, err := experiment.plan.readNote(name)
	if err != nil {
		return err
	}
	for _, address := range experiment.plan.Operators {
		var operator *client.Client
		if operator, err = client.New(address, client.TLS{}); err != nil {
			return err
		}
		if _, err = operator.Apply(ctx, note); err == nil {
			return nil
		}
	}
	return err
}

// postAdmin sends a POST request to the admin interface of the simulated targets and platform.
func (experiment *Experiment) postAdmin(ctx context.Context, path string, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, experiment.plan.Admin+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return &Error{path, BadStep, response.Status}
	}
	return nil
}

// targetCounters holds the counters of one simulated target that a report uses.
type targetCounters struct {
	Calls     int64 `json:"calls"`
	Refused   int64 `json:"refused"`
	PeakOpen  int   `json:"peakOpen"`
	OverLimit int64 `json:"overLimit"`
}

type counters struct {
	Targets map[string]targetCounters `json:"targets"`
}

func (experiment *Experiment) fetchCounters(ctx context.Context) (counters, error) {
	var result counters
	return result, experiment.getAdmin(ctx, "/counters", &result)
}

// getAdmin reads a JSON result from the admin interface; if the plan has no admin interface, result stays unchanged.
func (experiment *Experiment) getAdmin(ctx context.Context, path string, result any) error {
	if experiment.plan.Admin == "" {
		return nil
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, experiment.plan.Admin+path, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(result)
}

// collectCounters adds the counters of the simulated targets to the report and checks the non-idempotent requests.
func (experiment *Experiment) collectCounters(ctx context.Context, before counters) error {
	after, err := experiment.fetchCounters(ctx)
	if err != nil {
		return err
	}
	for name, target := range after.Targets {
		experiment.report.Calls += target.Calls - before.Targets[name].Calls
		experiment.report.Refused += target.Refused - before.Targets[name].Refused
		experiment.report.PeakOpen = max(experiment.report.PeakOpen, target.PeakOpen)
		experiment.report.OverLimit += target.OverLimit - before.Targets[name].OverLimit
	}
	runs := map[string]int{}
	if err := experiment.getAdmin(ctx, "/runs", &runs); err != nil {
		return err
	}
	experiment.mu.Lock()
	defer experiment.mu.Unlock()
	for id, outcomes := range experiment.nonIdempotentOutcomes {
		experiment.report.Violations = append(experiment.report.Violations, check.NonIdempotent(id, outcomes, runs[id])...)
	}
	return nil
}
