package upgrade

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"poplarpin.dev/platform/platformtest"
)

const (
	budgetWindow   = 10 * time.Second
	drainTolerance = 500 * time.Millisecond // a call that reaches a leaving target this soon was decided before the VM knew
	maxExamples    = 3                      // at most this many requests are named for one broken rule
)

// observed holds all observations of callers and targets.
type observed struct {
	requests  []*request
	runs      []platformtest.Run
	allLeftAt time.Time // when all VMs knew that the target leaves; zero if it did not
	ended     []string  // VMs whose process has ended on its own
	log       []logLine // on requests that ran twice or were falsely refused
}

// broken returns the rules that were broken, with examples.
func (observed observed) broken() []string {
	var found []string
	add := func(rule string, examples []string) {
		if len(examples) > 0 {
			found = append(found, fmt.Sprintf("%s: %d times, %s", rule, len(examples), strings.Join(examples[:min(len(examples), maxExamples)], "; ")))
		}
	}
	runs := observed.runsByID()
	add("a request that is not idempotent ran more than once", observed.where(func(request *request) bool {
		return request.ranTwice(runs[request.id]) && !observed.repeatIsKnown(request)
	}))
	add("a request that is not idempotent was refused and has run", observed.where(func(request *request) bool {
		return request.falselyRefused(runs[request.id])
	}))
	add("an answer of another request", observed.where(func(request *request) bool { return request.foreign }))
	add("an answer whose parts are not those that it names", observed.where((*request).misstated))
	add("a request that the configuration allows got 4xx", observed.where(func(request *request) bool {
		return request.status >= 400 && request.status < 500 && !request.refused()
	}))
	add("a request was cut off by a planned stop", observed.where(func(request *request) bool { return request.cut }))
	add("a target that leaves got a request", observed.afterLeaving())
	add("more extra calls than the budget", observed.overBudget())
	add("an account got more than its quota", observed.overQuota())
	add("a process ended on its own", observed.ended)
	return found
}

// runsByID returns how often each request ran.
func (observed observed) runsByID() map[string]int {
	runs := map[string]int{}
	for _, run := range observed.runs {
		runs[run.RequestID]++
	}
	return runs
}

// ranTwice reports whether a request that is not idempotent ran more than once.
func (request *request) ranTwice(runs int) bool { return request.kind.once && runs > 1 }

// falselyRefused reports whether the answer to a request that is not idempotent says that it has not run although it has.
func (request *request) falselyRefused(runs int) bool {
	return request.kind.once && request.refused() && runs > 0
}

// wronglyRun returns the ids of the requests that are not idempotent and ran twice or although they were refused.
func (observed observed) wronglyRun() []string {
	runs := observed.runsByID()
	var ids []string
	for _, request := range observed.requests {
		if request.ranTwice(runs[request.id]) || request.falselyRefused(runs[request.id]) {
			ids = append(ids, request.id)
		}
	}
	return ids
}

// knownRepeats returns descriptions of the requests that ran twice by a known fault of a landed build.
func (observed observed) knownRepeats() []string {
	runs := observed.runsByID()
	return observed.where(func(request *request) bool {
		return request.ranTwice(runs[request.id]) && observed.repeatIsKnown(request)
	})
}

// repeatIsKnown reports whether a VM of a build that repeats forwarded requests has forwarded a request to a VM of such a build first. That is a
// fault of these builds alone; a relay of a later build does not give them the reason to repeat a request.
func (observed observed) repeatIsKnown(request *request) bool {
	relay := observed.firstRelay(request)
	return repeatsForwarded(request.program) && repeatsForwarded(request.programs[relay])
}

// firstRelay returns the VM that a request was forwarded to first, as the log of the VM that took it says; "" for none.
func (observed observed) firstRelay(request *request) string {
	for _, line := range observed.log {
		var entry struct {
			Message string `json:"msg"`
			Request string `json:"request"`
			Relay   string `json:"relay"`
		}
		if line.vm == request.vm.VM && json.Unmarshal([]byte(line.text), &entry) == nil && entry.Request == request.id && entry.Message == "calls forwarded" {
			return entry.Relay
		}
	}
	return ""
}

// where returns descriptions of the requests for which a condition holds.
func (observed observed) where(holds func(request *request) bool) []string {
	var found []string
	for _, request := range observed.requests {
		if holds(request) {
			found = append(found, fmt.Sprintf("%s (%s, %s, VM %s with %s, status %d)", request.id, request.kind.name, request.phase, request.vm.VM,
				request.program, request.status))
		}
	}
	return found
}

// misstated reports whether a successful answer does not have one record of each target that it names, greatest first, and count the rest as missing.
func (request *request) misstated() bool {
	if !request.served() || request.foreign {
		return false
	}
	parts := 1
	if request.kind.name == "gather" {
		parts = 2
		if request.missing != fmt.Sprint(parts-len(request.targets)) {
			return true
		}
	}
	var records []string
	for _, target := range request.targets {
		records = append(records, fmt.Sprintf("%-16s", target))
	}
	slices.SortFunc(records, func(a, b string) int { return strings.Compare(b, a) })
	return len(records) > parts || request.body != strings.Join(records, "")
}

func (observed observed) afterLeaving() []string {
	var found []string
	for _, run := range observed.runs {
		if !observed.allLeftAt.IsZero() && run.Target == leavingTarget && run.At.After(observed.allLeftAt.Add(drainTolerance)) {
			found = append(found, fmt.Sprintf("%s %s after all VMs knew", run.RequestID, run.At.Sub(observed.allLeftAt).Round(time.Millisecond)))
		}
	}
	return found
}

// overBudget returns the services that got more extra calls in a window than the deployment allows.
func (observed observed) overBudget() []string {
	found := map[string]string{}
	for i, first := range observed.runs {
		requests, runs := map[string]bool{}, 0
		for _, run := range observed.runs[i:] {
			if run.At.Sub(first.At) > budgetWindow {
				break
			}
			if run.Service == first.Service {
				requests[run.RequestID], runs = true, runs+1
			}
		}
		if extra := runs - len(requests); float64(extra) > bounds.RetryRatio*float64(len(requests))+bounds.RetrySlack {
			found[first.Service] = fmt.Sprintf("%s: %d for %d requests", first.Service, extra, len(requests))
		}
	}
	return slices.Sorted(maps.Values(found))
}

// quotaRuns returns the times at which requests of the account with a quota first ran.
func (observed observed) quotaRuns() []time.Time {
	limited := map[string]bool{}
	for _, request := range observed.requests {
		if request.kind.key == quotaKey {
			limited[request.id] = true
		}
	}
	var times []time.Time
	for _, run := range observed.runs {
		if limited[run.RequestID] {
			times = append(times, run.At)
			delete(limited, run.RequestID)
		}
	}
	return times
}

// overQuota returns the windows in which the account got more than its quota.
func (observed observed) overQuota() []string {
	allowed := (quotaPerSecond*bounds.QuotaWindow.Seconds()+quotaBurst)*(1+bounds.QuotaOvershoot) + bounds.QuotaSlack
	var found []string
	times := observed.quotaRuns()
	for first, last := 0, 0; last < len(times); last++ {
		for times[last].Sub(times[first]) > bounds.QuotaWindow {
			first++
		}
		if used := last - first + 1; float64(used) > allowed {
			found = append(found, fmt.Sprintf("%d of %.0f in %s", used, allowed, bounds.QuotaWindow))
		}
	}
	return found
}
