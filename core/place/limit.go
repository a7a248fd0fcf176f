package place

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

const (
	callsPerSharer = 1.0                    // a limit is divided among so many VMs that each may make this many calls a second
	minCallLimit   = 0.25                   // targets with a lower limit get this many calls a second, which show when the limit ends
	limitBurst     = 500 * time.Millisecond // a VM may use its share of this time at once
	limitRefresh   = 2 * time.Second        // other VMs hear again after this time that a limit still holds
	limitSilence   = 10 * time.Second       // after this time without news of a limit, VMs without a share try the target one after another
	newVMShare     = 0.5                    // a new VM uses this part of its share while the others may not count it
	limitTolerance = 0.1                    // other VMs hear at once of a limit that has changed by more than this part
)

// MaxCallLimit is the highest limit that counts, in requests a second; a higher one is cut to it.
const MaxCallLimit = 1_000_000

// callLimit is a target's statement on the requests a second that it takes from all VMs together.
type callLimit struct {
	holds      bool
	perSecond  float64
	reportedAt time.Time // zero if it has said nothing
}

// limitState is the newest statement of a target and this VM's use of its share.
type limitState struct {
	callLimit
	changedAt time.Time     // when the limit began or ended
	heardAt   time.Time     // of the newest statement, or of a call without a share
	sharedAt  time.Time     // when the VMs last told each other
	bucket    *rate.Limiter // of this VM's share; nil until it is used
}

// LimitHint tells other VMs that a target names a limit on its requests, or no longer does.
type LimitHint struct {
	Target           string  `json:"server"`
	Address          string  `json:"address"`
	StartedUnixMilli int64   `json:"born,omitempty"`
	PerSecond        float64 `json:"limit"`
	Ended            bool    `json:"ended,omitempty"`
	AgeMillis        int64   `json:"age"` // since the target said so
}

// Valid reports whether a decoded hint is usable.
func (hint LimitHint) Valid() bool {
	return hint.Target != "" && hint.PerSecond >= 0 && hint.PerSecond <= MaxCallLimit && hint.AgeMillis >= 0 && hint.AgeMillis <= maxHintMillis
}

// noteLimit records whether an answer of a target names a limit, and lets the other VMs know.
func (fleet *Fleet) noteLimit(now time.Time, target Endpoint, state *reportedState, report TargetReport) {
	limit := callLimit{holds: true, reportedAt: now}
	switch {
	case report.CallLimit != nil:
		limit.perSecond = *report.CallLimit
	case report.NoCallLimit && (state.limit.holds || now.Sub(state.limit.changedAt) < limitSilence):
		limit = callLimit{reportedAt: report.AskedAt}
	default:
		return
	}
	changed := limit.differs(state.limit.callLimit)
	if fleet.setLimit(now, target, state, limit) && (changed || now.Sub(state.limit.sharedAt) >= limitRefresh) {
		state.limit.sharedAt = now
		fleet.addHint(target.ID)
	}
}

// differs reports whether a statement says something else than another.
func (limit callLimit) differs(other callLimit) bool {
	return limit.holds != other.holds || math.Abs(limit.perSecond-other.perSecond) > limitTolerance*other.perSecond
}

// setLimit replaces the statement of a target by a newer one and reports whether it is newer.
func (fleet *Fleet) setLimit(now time.Time, target Endpoint, state *reportedState, limit callLimit) bool {
	before := state.limit.callLimit
	if !limit.reportedAt.After(before.reportedAt) {
		return false
	}
	state.limit.callLimit, state.limit.heardAt = limit, now
	if limit.holds != before.holds {
		state.limit.changedAt = now
		change := StateChange{Target: target.ID, Service: target.Service, State: "unlimited"}
		if limit.holds {
			change.State, change.Limit = "limited", limit.perSecond
		}
		fleet.keepChange(change)
	}
	return true
}

// limitHint returns the hint on the newest statement of an endpoint, and reports whether it made one.
func (endpoint *trackedEndpoint) limitHint(now time.Time) (LimitHint, bool) {
	limit := endpoint.reported.limit
	return LimitHint{endpoint.ID, endpoint.Address, endpoint.StartedUnixMilli, limit.perSecond, !limit.holds,
		max(now.Sub(limit.reportedAt), 0).Milliseconds()}, !limit.reportedAt.IsZero()
}

// ApplyLimitHint applies a hint of another VM and reports whether it was news: another limit, or one that was last heard of long ago.
func (fleet *Fleet) ApplyLimitHint(now time.Time, hint LimitHint) bool {
	endpoint, ok := fleet.hinted(hint.Target, hint.Address, hint.StartedUnixMilli)
	if !ok {
		return false
	}
	state := endpoint.reported
	limit := callLimit{holds: !hint.Ended, perSecond: hint.PerSecond, reportedAt: now.Add(-time.Duration(hint.AgeMillis) * time.Millisecond)}
	changed := limit.differs(state.limit.callLimit)
	if !fleet.setLimit(now, endpoint.Endpoint, state, limit) {
		return false
	}
	news := changed || now.Sub(state.limit.sharedAt) >= limitRefresh/2
	if news {
		state.limit.sharedAt = now
	}
	return news
}

// share returns the calls a second that a VM may send a target. The VMs among which the limit is divided share it evenly, but no more of them
// than have a call a second each.
func (limit callLimit) share(rank rank) float64 {
	total := max(limit.perSecond, minCallLimit)
	sharers := min(max(int(total/callsPerSharer), 1), rank.vms)
	if !rank.member || rank.position >= sharers {
		return 0
	}
	return total / float64(sharers)
}

// ownLimitShare returns the calls a second that this VM may send an endpoint that names a limit. A new VM uses half of its share until the
// others count it, so that all VMs together stay within one and a half times the limit even if most of them are new.
func (fleet *Fleet) ownLimitShare(now time.Time, endpoint *trackedEndpoint) float64 {
	share := endpoint.reported.limit.share(fleet.ownLimitRank(now, endpoint))
	switch {
	case fleet.mayUseShare(now):
		return share
	case fleet.vms.firstListed.IsZero() || fleet.vms.wasListed:
		return 0
	}
	return share * newVMShare
}

// mayCallLimited reports whether this VM may call an endpoint itself as far as the limit that it names is concerned. A VM without a share
// may do so once after a long silence: the VMs with a share may have no requests for the target, so that nobody hears of the limit's end.
func (fleet *Fleet) mayCallLimited(now time.Time, endpoint *trackedEndpoint) bool {
	limit := &endpoint.reported.limit
	if !limit.holds {
		return true
	}
	if bucket := fleet.limitBucket(now, endpoint); bucket != nil {
		return bucket.TokensAt(now) >= 1
	}
	if !fleet.mayUseShare(now) {
		return false
	}
	rank := fleet.ownLimitRank(now, endpoint)
	order := rank.position
	if !rank.member {
		order += rank.vms
	}
	return now.Sub(limit.heardAt) > limitSilence*time.Duration(1+order)
}

// limitBucket returns the token bucket of this VM's share of an endpoint's limit, nil if it has none.
func (fleet *Fleet) limitBucket(now time.Time, endpoint *trackedEndpoint) *rate.Limiter {
	limit := &endpoint.reported.limit
	share := fleet.ownLimitShare(now, endpoint)
	if share == 0 {
		return nil
	}
	burst := max(int(share*limitBurst.Seconds()), 1)
	if limit.bucket == nil {
		limit.bucket = rate.NewLimiter(rate.Limit(share), burst)
	} else if limit.bucket.Limit() != rate.Limit(share) {
		limit.bucket.SetLimitAt(now, rate.Limit(share))
		limit.bucket.SetBurstAt(now, burst)
	}
	return limit.bucket
}

// recordLimitedCall counts a call to an endpoint that names a limit.
func (fleet *Fleet) recordLimitedCall(now time.Time, endpoint *trackedEndpoint) {
	limit := &endpoint.reported.limit
	if !limit.holds {
		return
	}
	if bucket := fleet.limitBucket(now, endpoint); bucket != nil {
		bucket.AllowN(now, 1)
	}
	limit.heardAt = now
}

// untilShare returns the time until this VM may call an endpoint that names a limit, and reports whether it has used up its share for now.
func (fleet *Fleet) untilShare(now time.Time, endpoint *trackedEndpoint) (wait time.Duration, usedUp bool) {
	if !endpoint.reported.limit.holds {
		return 0, false
	}
	bucket := fleet.limitBucket(now, endpoint)
	if bucket == nil {
		return 0, false
	}
	lacking := 1 - bucket.TokensAt(now)
	if lacking <= 0 {
		return 0, false
	}
	return time.Duration(lacking / float64(bucket.Limit()) * float64(time.Second)), true
}

// Limited reports whether a target names a limit on its requests.
func (fleet *Fleet) Limited(id string) bool {
	endpoint, ok := fleet.endpoints[id]
	return ok && endpoint.reported.limit.holds
}
