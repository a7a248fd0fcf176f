package fanout

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// MissingCause says why a part had no result when the response was decided.
type MissingCause string

// The causes of missing parts.
const (
	NoTarget      MissingCause = "noTarget"      // no target could be called
	CallsFailed   MissingCause = "callsFailed"   // all permitted calls ended without an answer
	RetryPending  MissingCause = "retryPending"  // the retry was not due yet
	RetrySlow     MissingCause = "retrySlow"     // a call failed and its retry was still in flight
	FirstSlow     MissingCause = "firstSlow"     // its only call was in flight and not due to be hedged
	RelaySlow     MissingCause = "relaySlow"     // the same, at a relay
	HedgeSlow     MissingCause = "hedgeSlow"     // the first call and its hedge were both in flight
	NoBudget      MissingCause = "noBudget"      // the budget did not allow a hedge or retry
	NoAlternative MissingCause = "noAlternative" // a hedge was due, but no other target was likely to answer sooner
)

// MissingCauses returns the number of parts that were missing when the response was decided, by cause.
func (run *Run) MissingCauses() MissingCauses { return run.missingCauses }

// MissingCauses counts missing parts by cause.
type MissingCauses map[MissingCause]int

// String lists the causes and their counts in alphabetical order.
func (missingCauses MissingCauses) String() string {
	var texts []string
	for _, cause := range slices.Sorted(maps.Keys(missingCauses)) {
		texts = append(texts, fmt.Sprintf("%s:%d", cause, missingCauses[cause]))
	}
	return strings.Join(texts, " ")
}

// recordMissing counts the parts without a result by cause, before their calls are cancelled.
func (run *Run) recordMissing() {
	run.missingCauses = MissingCauses{}
	for i := range run.parts {
		if part := &run.parts[i]; part.answeredBy == nil {
			run.missingCauses[part.missingCause()]++
		}
	}
}

func (part *partState) missingCause() MissingCause {
	switch {
	case len(part.calls) == 0:
		return NoTarget
	case part.inFlight == 0 && !part.retryAt.IsZero():
		return RetryPending
	case part.inFlight > 1:
		return HedgeSlow
	case part.suppressed != "":
		return part.suppressed
	case part.inFlight == 0:
		return CallsFailed
	case part.tries > 1:
		return RetrySlow
	case part.calls[0].viaRelay:
		return RelaySlow
	}
	return FirstSlow
}
