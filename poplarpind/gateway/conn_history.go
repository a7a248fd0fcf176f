package gateway

import (
	"slices"
	"strings"

	"poplarpin.dev/core/fanout"
	"poplarpin.dev/platform"
)

// maxRefusalsPerConn bounds the memory of a connection: it is closed after as many refusals of requests that must run once.
const maxRefusalsPerConn = 32

// connHistory is what a connection to a target remembers of the responses on it.
type connHistory struct {
	last    platform.Origin // of the last response
	refused []string        // ids of the requests that must run once and were refused
}

// historyOf returns the history that a connection remembers, and reports whether it has one.
func historyOf(remembered any) (connHistory, bool) {
	history, ok := remembered.(connHistory)
	return history, ok
}

// add returns the history after a further response, and reports whether there is room for more refusals.
func (history connHistory) add(job *job, origin platform.Origin, outcome fanout.Outcome) (connHistory, bool) {
	history.last = origin
	if outcome == fanout.Refused && !job.route.Idempotent {
		history.refused = append(history.refused, strings.Clone(job.request.ID))
	}
	return history, len(history.refused) < maxRefusalsPerConn
}

// answeredBefore reports whether the last response on a connection was to this request, or an earlier one refused it. A late copy of the refusal
// could not be told from the response to a second call, and may come after responses to other requests.
func (job *job) answeredBefore(remembered any) bool {
	history, ok := historyOf(remembered)
	return ok && (history.last.ID == job.request.ID || slices.Contains(history.refused, job.request.ID))
}
