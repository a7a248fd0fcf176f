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

// faults carries out the schedule.
func (load *Load) faults(ctx context.Context) {
	schedule := slices.Clone(load.plan.Faults)
	slices.SortStableFunc(schedule, func(a, b Fault) int { return int(a.At - b.At) })
	for _, fault := range schedule {
		time.Sleep(time.Until(load.start.Add(fault.At.Std())))
		if fault.Note == "" {
			load.mu.Lock()
			if load.fault == 0 {
				load.fault = fault.At.Std()
			}
			load.mu.Unlock()
		}
		if err := load.bring(ctx, fault); err != nil {
			fmt.Fprintf(os.Stderr, "step at %s: %s\n", fault.At, err)
		}
	}
}

// bring brings about one fault.
func (load *Load) bring(ctx context.Context, fault Fault) error {
	switch {
	case fault.Signal != "":
		signal, ok := signals[fault.Signal]
		if !ok || fault.PID <= 1 {
			return &Error{"signal", BadStep, fmt.Sprintf("%s to process %d", fault.Signal, fault.PID)}
		}
		return syscall.Kill(fault.PID, signal)
	case fault.Note != "":
		return load.apply(ctx, fault.Note)
	}
	body, path, err := fault.body()
	if err != nil {
		return err
	}
	return load.post(ctx, path, body)
}

// apply submits a release note at the first entry VM that takes it.
func (load *Load) apply(ctx context.Context, name string) error {
	note, err := load.plan.note(name)
	if err != nil {
		return err
	}
	for _, server := range load.plan.Operators {
		var operator *client.Client
		if operator, err = client.New(server, client.TLS{}); err != nil {
			return err
		}
		if _, err = operator.Apply(ctx, note); err == nil {
			return nil
		}
	}
	return err
}

func (load *Load) post(ctx context.Context, path string, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, load.plan.Admin+path, bytes.NewReader(body))
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

// targetCounters are the counters of one stand-in target that a report uses.
type targetCounters struct {
	Calls     int64 `json:"calls"`
	Refused   int64 `json:"refused"`
	PeakOpen  int   `json:"peakOpen"`
	OverLimit int64 `json:"overLimit"`
}

type counters struct {
	Targets map[string]targetCounters `json:"targets"`
}

func (load *Load) counters(ctx context.Context) (counters, error) {
	var found counters
	return found, load.get(ctx, "/counters", &found)
}

func (load *Load) get(ctx context.Context, path string, result any) error {
	if load.plan.Admin == "" {
		return nil
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, load.plan.Admin+path, nil)
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

// finish takes the stand-ins' counts into the report and checks the non-idempotent requests.
func (load *Load) finish(ctx context.Context, before counters) error {
	after, err := load.counters(ctx)
	if err != nil {
		return err
	}
	for name, target := range after.Targets {
		load.report.Calls += target.Calls - before.Targets[name].Calls
		load.report.Refused += target.Refused - before.Targets[name].Refused
		load.report.PeakOpen = max(load.report.PeakOpen, target.PeakOpen)
		load.report.OverLimit += target.OverLimit - before.Targets[name].OverLimit
	}
	runs := map[string]int{}
	if err := load.get(ctx, "/runs", &runs); err != nil {
		return err
	}
	load.mu.Lock()
	defer load.mu.Unlock()
	for id, outcomes := range load.once {
		load.report.Violations = append(load.report.Violations, check.NonIdempotent(id, outcomes, runs[id])...)
	}
	return nil
}
