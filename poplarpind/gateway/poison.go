package gateway

import (
	"errors"
	"expvar"
	"net"
	"slices"
	"syscall"
	"time"

	"go.uber.org/zap"

	"poplarpin.dev/core/fanout"
	"poplarpin.dev/core/place"
	"poplarpin.dev/core/poison"
	"poplarpin.dev/core/rpc"
	"poplarpin.dev/platform"
)

const (
	crashCheckTimeout = 200 * time.Millisecond // connecting to a target that broke off a connection takes this time at most
	crashWitnesses    = 3                      // a refused connection counts as a crash only if the VM connects to one of this many other targets
	quarantinedReason = "the request has crashed the servers that ran it"
)

// suspectRequests counts requests that were suspected, quarantined and cleared, those that were refused, and reports of other VMs.
var suspectRequests = expvar.NewMap("suspectRequests")

// reportedSuspect names a suspect and the VM that reported it.
type reportedSuspect struct {
	fingerprint poison.Fingerprint
	reporter    string
}

// checkSuspect returns how a request may run. The fingerprint is computed only while there are suspects.
func (gateway *Gateway) checkSuspect(now time.Time, fingerprintOf func() poison.Fingerprint) poison.Verdict {
	if !gateway.hasSuspects.Load() {
		return poison.Verdict{}
	}
	fingerprint := fingerprintOf()
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	return gateway.suspects.Check(now, fingerprint)
}

// refuseQuarantined refuses a request that must not run.
func (gateway *Gateway) refuseQuarantined(request *platform.Request, route string, verdict poison.Verdict) platform.Answer {
	requestCounts.Add("quarantined", 1)
	suspectRequests.Add("refused", 1)
	gateway.log.Info("request refused", zap.String("request", truncate(request.ID)), zap.String("route", route), zap.String("reason", quarantinedReason),
		zap.Stringer("fingerprint", request.Fingerprint()), zap.Duration("retryAfter", verdict.RefuseFor))
	return platform.Refusal{RetryAfter: verdict.RefuseFor, Reason: quarantinedReason}
}

// noteOutcome clears a suspect that a target has answered, and looks whether a target that broke off the connection of a call has ended.
func (gateway *Gateway) noteOutcome(job *job, target place.Endpoint, sentAt time.Time, outcome fanout.Outcome) {
	switch outcome {
	case fanout.Answered, fanout.Failed:
		if !gateway.hasSuspects.Load() {
			return
		}
		fingerprint := job.fingerprint()
		gateway.mu.Lock()
		gateway.suspects.Answered(time.Now(), fingerprint)
		gateway.logSuspects()
		gateway.mu.Unlock()
	case fanout.Lost:
		go gateway.checkCrash(job, target, poison.Crash{Target: target.ID + "@" + target.Address, SentAt: sentAt, CrashedAt: time.Now()})
	}
}

// checkCrash records that a target crashed while it ran a request, if it no longer accepts connections while others do, was not about to
// stop, and no other has answered the request.
func (gateway *Gateway) checkCrash(job *job, target place.Endpoint, crash poison.Crash) {
	// A connection that times out shows that the target is unreachable rather than ended.
	if !errors.Is(tryDial(target.Address), syscall.ECONNREFUSED) || !gateway.reachesOthers(target.ID) {
		return
	}
	fingerprint := job.fingerprint()
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	if job.answeredParts() > 0 || gateway.fleet.MayStop(target.ID) {
		return
	}
	gateway.suspects.Crashed(time.Now(), fingerprint, crash)
	gateway.logSuspects()
	gateway.signalObservations()
}

// reachesOthers reports whether this VM can connect to another target of a target's failure domain, or there is none to tell.
func (gateway *Gateway) reachesOthers(target string) bool {
	gateway.mu.Lock()
	witnesses := gateway.fleet.Witnesses(time.Now(), target, crashWitnesses)
	gateway.mu.Unlock()
	reached := slices.ContainsFunc(witnesses, func(address string) bool { return tryDial(address) == nil })
	if len(witnesses) > 0 && !reached {
		suspectRequests.Add("unreachable", 1)
		gateway.log.Info("targets not reached, so that a refused connection shows no crash", zap.String("target", target), zap.Strings("others", witnesses))
	}
	return len(witnesses) == 0 || reached
}

// tryDial connects to a target, sends nothing and returns why it could not connect.
func tryDial(address string) error {
	conn, err := net.DialTimeout("tcp", address, crashCheckTimeout)
	if err == nil {
		_ = conn.Close() // nothing was sent on it
	}
	return err
}

// answeredParts returns how many parts of the request targets have answered; the caller holds mu.
func (job *job) answeredParts() int {
	if job.clientRun != nil {
		return job.clientRun.AnsweredParts()
	}
	return job.relayRun.AnsweredParts()
}

// logSuspects logs and counts the changes of suspects since the last call; the caller holds mu.
func (gateway *Gateway) logSuspects() {
	gateway.hasSuspects.Store(gateway.suspects.Len() > 0)
	for _, event := range gateway.suspects.TakeEvents() {
		suspectRequests.Add(event.State, 1)
		gateway.log.Warn("suspect request", zap.Stringer("fingerprint", event.Fingerprint), zap.String("state", event.State),
			zap.Int("crashedTargets", event.Targets), zap.Duration("left", event.Left))
	}
}

// mergeSuspects applies another VM's reports on suspects and returns the suspects with news; the caller holds mu.
func (gateway *Gateway) mergeSuspects(now time.Time, message rpc.Observations) []poison.Fingerprint {
	var news []poison.Fingerprint
	for _, report := range message.Suspects {
		if gateway.suspects.Merge(now, report) {
			suspectRequests.Add("reported", 1)
			news = append(news, report.Fingerprint)
		}
	}
	gateway.logSuspects()
	return news
}

// suspectsExceptFrom returns the reports on pending suspects that other VMs than vm reported; the caller holds mu.
func (gateway *Gateway) suspectsExceptFrom(pending []reportedSuspect, vm string) []poison.Report {
	var fingerprints []poison.Fingerprint
	for _, suspect := range pending {
		if suspect.reporter != vm {
			fingerprints = append(fingerprints, suspect.fingerprint)
		}
	}
	return gateway.suspects.Reports(time.Now(), fingerprints)
}
