#!/usr/bin/env bash
# Mutation tests: breaks one rule at a time in a scratch copy and checks that the package's tests fail.
set -u
here=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
parallel=${JOBS:-4} # mutants of the core at a time
count=0
known_red=$(sed -n 's/^test: //p' "$here/../KNOWN-RED.txt" | paste -sd'|') # these fail without any mutant

# check NUMBER MODULE NAME PACKAGE FILE PERL-SUBSTITUTION [TEST...]: writes what the tests make of a mutant into its result, "noticed by" if they fail.
check() {
  local copy=$work/$1 result=$work/$1.result module=$2
  shift 2
  mkdir "$copy"
  cp -r "$here/../core" "$here/../platform" "$here/../poplarpind" "$copy"
  perl -0pi -e "$4" "$copy/$module/$2/$3"
  if cmp -s "$copy/$module/$2/$3" "$here/../$module/$2/$3"; then
    printf '%-28s the rule was not found in %s\n' "$1" "$2/$3"
  elif (cd "$copy/$module" && GOWORK=off go test -trimpath -count=1 -timeout 5m ${known_red:+-skip "^($known_red)\$"} ${5:+-run "$5"} "./$2" >"$copy/out" 2>&1); then
    printf '%-28s NOT NOTICED by %s\n' "$1" "$2"
  elif grep -q 'build failed\|setup failed' "$copy/out"; then
    printf '%-28s does not build\n' "$1"
  else
    printf '%-28s noticed by %s\n' "$1" "$2"
  fi >"$result"
  rm -rf "$copy"
}

# mutant NAME PACKAGE FILE PERL-SUBSTITUTION: of the core, whose tests have no clock, so that several can run at once.
mutant() {
  count=$((count + 1))
  [ "$(jobs -rp | wc -l)" -lt "$parallel" ] || wait -n
  check "$count" core "$@" &
}

# mutant_of MODULE NAME PACKAGE FILE PERL-SUBSTITUTION [TEST...]: of any module, by itself, since its tests may measure time.
mutant_of() {
  count=$((count + 1))
  wait
  check "$count" "$@"
}

mutant "non-idempotent call sent again" fanout calls.go 's/if part.possibleRuns > 0 && !run.spec.Idempotent \{/if false {/'
mutant "refused though it may have run" fanout results.go 's/if run.mayHaveRun\(\) \{/if false {/'
mutant "answer with too few parts" fanout fanout.go 's/return run.answeredParts > 0 && float64\(run.answeredParts\) >= run.spec.MinCoverage\*float64\(len\(run.parts\)\)-coverageTolerance/return run.answeredParts > 0/'
mutant "direct and relayed answer both used" fanout results.go 's/part.answeredBy, part.retryAt = call, time.Time\{\}/if part.answeredBy == nil { part.answeredBy = call }; part.retryAt = time.Time{}/'
mutant "MaxAttempts ignored" fanout calls.go 's/return run.attempts\(part\) < max\(run.spec.MaxAttempts, 1\)/return true/'
mutant "draining target called" place path.go 's/return endpoint.State == Ready && !endpoint.displaced/return !endpoint.displaced/'
mutant "displaced target called" place path.go 's/return endpoint.State == Ready && !endpoint.displaced/return endpoint.State == Ready/'
mutant "target called after grace period" place path.go 's/ && !endpoint.graceExpired\(now\)//'
mutant "older object replaces newer one" follow store_cache.go 's/if ok && !isNewer\(object, before\)/if ok \&\& false \&\& !isNewer(object, before)/'
mutant "source without messages kept" follow follow.go 's/if follower.plan.Source != "" && min\(now.Sub/if false \&\& min(now.Sub/'
mutant "VM with fewest cores watches" follow follow.go 's/cmp.Compare\(b.Cores, a.Cores\)/cmp.Compare(a.Cores, b.Cores)/'
mutant "observation ignored" place observation.go 's/endpoint.updateSlowness\(now, observation.LatencyRatio\)//'
mutant "slowness update time not set" place slowness.go 's/slowness.value, slowness.updated = value, now/slowness.value = value/'
mutant "every observation forwarded" place observation.go 's/forward = endpoint.differsFromShared\(now\)/forward = true/'
mutant "frequent callers share all slow calls" place observation.go 's/callsOften := now.Sub\(endpoint.lastOwnCall\) < frequentInterval/callsOften := false/'
mutant "hedges never made by larger VMs" fanout offload.go 's/if connections < minOffloadedHedges/if true/'
mutant "open connections left unused" fanout offload.go 's/chosen.path == place.Direct && run.shared.Fleet.NeedsConnection\(chosen.target.ID\)/chosen.path == place.Direct/'
mutant "hedge timed by relay baseline" fanout calls.go 's/baseline := run.shared.Fleet.Baseline\(run.spec.Route\) \/\/ of/baseline := run.shared.Fleet.Baseline(call.baselineRoute(run.spec.Route)) \/\/ of/'
mutant "attempts behind relay not ended" fanout calls.go 's/for _, attempt := range call.targetAttempts \{\n\t\tattempt.Cancelled\(now\)\n\t\}\n//'
mutant "report after the final one" fanout relay_run.go 's/relayRun.ended = relayRun.inFlight == 0/relayRun.ended = false/'
mutant "tombstones after gap dropped" follow store_cache.go 's/object.Deleted && !rpc.IsAfter\(object.Era, object.Revision, storeCache.era, storeCache.revision\)/object.Deleted/'
mutant "smallest response ended" buffer buffer.go 's/response.held > largest.held \|\|/response.held < largest.held ||/'
mutant "complete response ended" buffer buffer.go 's/delete\(budget.reading, response\) \}\n\n\/\/ Release/}\n\n\/\/ Release/'
mutant "ended response grows" buffer buffer.go 's/if response.ended \{/if false {/'
mutant "invalid answers not counted" place attempt.go 's/answered\(\)\n\t\tattempt.recordFailure\(now\)/answered()/'
mutant "slack granted only once" budget budget.go 's/\tbudget.refill\(now\)\n//g'
mutant "hedge waits for slow targets" fanout calls.go 's/return min\(baseline.P95\(\), time.Duration\(slowCallFactor\*float64\(baseline.Median\(\)\)\)\)/return baseline.P95()/'
mutant "limit not divided among VMs" place limit.go 's/return total \/ float64\(sharers\)/return total/'
mutant "limit shared by other domains" place limit.go 's/!rank.member \|\| //'
mutant "calls within a limit not counted" place limit.go 's/bucket.AllowN\(now, 1\)/_ = bucket/'
mutant "older answer ends a limit" place limit.go 's/callLimit\{reportedAt: report.AskedAt\}/callLimit{reportedAt: now}/'
mutant "limit hints not repeated" place limit.go 's/ \(changed \|\| now.Sub\(state.limit.sharedAt\) >= limitRefresh\)/ changed/'
mutant "silent limit never tried" place limit.go 's/return now.Sub\(limit.heardAt\) > [^\n]*/_ = order\n\treturn false/'
mutant "limit of a restarted VM used" place limit.go 's/ \|\| fleet.vms.wasListed:/:/'
mutant "new VM uses its whole share" place limit.go 's/return share \* newVMShare/return share/'
mutant "limit never shared by all VMs" place vms.go 's/\treturn fleet.allVMs\(now\)/\treturn fleet.vmsOf(now, target.FailureDomain)/'
mutant "quarantine after one wave of crashes" poison poison.go 's/return rounds >= minRounds/return rounds >= 1/'
mutant "one target counted several times" poison poison.go 's/ \|\|\n\t\tslices.ContainsFunc\(suspect.crashes[^\n]*known.Target == crash.Target \}\) \{/ {/'
mutant "answer does not clear" poison poison.go 's/\tsuspect.clear\(now\)\n//'
mutant "answer clears later crashes" poison poison.go 's/if !crash.SentAt.After\(suspect.answeredAt\) && /if /'
mutant "quarantine prolonged by calls in flight" poison poison.go 's/ \|\| !crash.CrashedAt.After\(suspect.until\) \{/ {/'
mutant "saved quarantine not restored" poison poison.go 's/suspect.began, suspect.until = quarantine.Began, now.Add\(left\)//'
mutant "end of quarantine not saved" poison poison.go 's/\tif !suspect.began.IsZero\(\) \{\n\t\ttracker.unsaved\[fingerprint\] = true\n\t\}\n//'
mutant "quarantine not told" poison poison.go 's/\ttracker.tell\(now, fingerprint, suspect\)\n//g'
mutant "reports of crashes not judged" poison report.go 's/if judged := tracker.judge\(now, report.Fingerprint, suspect, crash\); state != "quarantined" \{\n\t\t\tstate = judged/if state != "quarantined" {\n\t\t\tstate = "suspected"/'
mutant "replicas called after the canary" fanout canary.go 's/return len\(run.parts\) > 1 && /return false \&\& /'
mutant "second canary after a lost one" fanout canary.go 's/run.canary, run.canaryLost = nil, true/run.canary = nil/'
mutant "calls in flight not awaited" fanout canary.go 's/return part.inFlight > 0 \}\)/return false })/'
mutant "undelivered call counts" fanout cut_off.go 's/\t\t\tattempts--\n//'
mutant "unread call does not count" fanout cut_off.go 's/if call.ended && call.outcome == Undelivered \{/if call.outcome == Undelivered || call.outcome == Lost {/'
mutant "delivery not checked" fanout cut_off.go 's/actions = append\(actions, CheckDelivery\{Call: call.index\}\)//'
mutant "message of a report undelivered" fanout relay.go 's/\(outcome == Undelivered \|\| !outcome.possiblyRan\(\)\)/!outcome.possiblyRan()/'
mutant "answering domain is cut off" place attempt.go 's/return attempt.group.answers == attempt.answers \&\& attempt.group.cutOff\(now\)/return attempt.group.cutOff(now)/'
mutant "lender makes unpaid calls" fanout relay_run.go 's/if relayRun.budgets != nil \&\& /if false \&\& relayRun.budgets != nil \&\& /'
mutant "unpaid call made without budget" fanout outcome.go 's/outcome == NoCapacity \|\| outcome == Unreached\n\}/outcome == NoCapacity || outcome == Unreached || outcome == Unpaid\n}/'
mutant "loans without end" fanout loan.go 's/ \|\| part.loans >= maxLoans//'
mutant "refused loan not paid" fanout loan.go 's/if call.reason == BudgetSpent \&\& /if false \&\& call.reason == BudgetSpent \&\& /'
mutant "loan sent to older builds" rpc gather.go 's/if gather.Pays \{/if false {/'
mutant "outcomes of a suspect not awaited" fanout calls.go 's/ \|\| run.targetLost && run.answeredParts == 0 \{/ {/'
mutant "suspect hedged" fanout canary.go 's/ && !run.holdsParts\(\) && \(!run.spec.Cautious \|\| run.answeredParts > 0\)//'
mutant "held parts never sent" fanout canary.go 's/actions := run.startParts\(now\)\n\tfor _, part := range held \{/var actions []Action\n\tfor _, part := range held[:0] {/'
mutant "part reported twice" fanout relay_run.go 's/part.reported = true/part.reported = false/'
mutant "accepted note id not looked up" release acceptor.go 's/accepted, ok := acceptor.head.FindAccepted\(acceptor.note.ID\); ok/accepted, ok := acceptor.head.FindAccepted(acceptor.note.ID); ok && false/'
mutant "uncertain update ruled out early" release acceptor.go 's/acceptor.version != acceptor.uncertainVersion \{/true {/'
mutant "lower release adopted" release adopter.go 's/head.Release <= adopter.head.Release/head.Release == adopter.head.Release/'
mutant "digest not checked" release release.go 's/part == nil \|\| DigestOf\(part\) != digest/part == nil/'
mutant "conflict not detected" release release.go 's/ok && entry.Release > note.Base/ok \&\& false/'
mutant "result of other version merged" query results.go 's/result.RequestID != run.request.ID \|\| result.Version != run.Version\(\)/result.RequestID != run.request.ID/'
mutant "result of other request merged" query results.go 's/result.RequestID != run.request.ID \|\| result.Version != run.Version\(\)/result.Version != run.Version()/'
mutant "shard merged twice" query results.go 's/if shard.merged \{\n\t\t\tcontinue\n\t\t\}\n\t\tshard.merged = true/shard.merged = true/'
mutant "hedges without budget" query calls.go 's/len\(shards\) == 0 \|\| !run.budget.Spend\(now, 1\)/len(shards) == 0/'
mutant "window limit of budget ignored" budget budget.go 's/float64\(spent\+extra\) > budget.fraction\*float64\(calls\)\+budget.slack/spent+calls < 0/'
mutant "lost call reported not run" claim claim.go 's/case !outcome.ProvesNotRun\(\):/case false:/'
mutant "unknown outcome releases claim" claim claim.go 's/case !outcome.ProvesNotRun\(\):/case outcome == rpc.Lost, outcome == rpc.OwnerLost:/'
mutant "release of claim not tried again" claim claim.go 's/return runner.finish\(api.NotRun, "", runner.release\(\)\)/return runner.finish(api.NotRun, "", nil)/g'
mutant "owner reports itself unreached" rpc validate.go 's/if result.Outcome == OwnerNotReached \{/if result.Outcome == OwnerNotReached \&\& false {/'
mutant "held claim taken over" claim claim.go 's/case found.Claim.State == Released:/case found.Claim.State == Released || found.Claim.State == Held:/'
mutant "sent call reported not run" claim claim.go 's/if runner.sent \{\n\t\treturn runner.finish\(api.Unknown, replyLost, nil\)/if runner.sent {\n\t\treturn runner.finish(api.NotRun, replyLost, nil)/'
mutant "false suspicion not refuted" member receive.go 's/list.self.Incarnation = update.Incarnation \+ 1//'
mutant "lower incarnation accepted" member message.go 's/return member.Incarnation > known.Incarnation/return true/'
mutant "dead member never probed" member probe.go 's/entry.State == Dead && entry.listed/false/'
mutant "class share not guaranteed" dispatch dispatch.go 's/lane.credit >= 1 &&/false \&\&/'
mutant "call queued past its deadline" dispatch dispatch.go 's/\.After\(item.Deadline\) \{\n\t\treturn false/.After(item.Deadline) {\n\t\treturn true/'
mutant "added VM missing from ranks" owner owner.go 's/if rankKey.failureDomain == vm.FailureDomain \{/if false {/'
mutant "account above its share admitted" admit share.go 's/if ratio > 1 \{/if false {/'
mutant "idle account keeps its admissions" admit share.go 's/use.admitted \*= factor/_ = factor/'
mutant "accounts never forgotten" admit share.go 's/delete\(shares.accounts, name\)/_ = name/'
mutant "refused clients return together" admit pacer.go 's/pacer.lastReturn = now.Add\(delay\)/pacer.lastReturn = now/'
mutant "late returns not spread" admit pacer.go 's/pacer.overflow \+ goldenRatio/pacer.overflow/'
mutant "refusals by targets count as ends" admit pacer.go 's/pacer.refused\+\+/pacer.refused += 0/'
mutant "VM answers for its targets" place domain.go 's/return endpointGroup\{endpoint.FailureDomain, endpoint.Peer\}/return endpointGroup{endpoint.FailureDomain, false}/'
mutant "other path not probed" place domain.go 's/if other := fleet.reachabilityOf\(suspect.other\(\)\); !other.cutOff\(now\) \{/if false {/'
mutant "own failures end forwarding" place attempt.go 's/return \[\]\*pathState\{&paths\[Direct\]\}/return []*pathState{\&paths[Direct], \&paths[Relayed]}/'
mutant "forwarding though target is reached" place path.go 's/ && !fleet.reaches\(now, endpoint\)//'
mutant "relay outside the regions" place path.go 's/ \|\| !allows\(fleet.regions\[vms\[0\].FailureDomain\]\)//'
mutant "relay asked twice" fanout forward.go 's/asked := part.relays\(\)/var asked []string/'
mutant "unknown outcome counts as not run" fanout outcome.go 's/\t\treturn false\n\t\}\n\treturn true\n\}/\t\treturn false\n\tcase Answered, Failed, Lost, InvalidResponse:\n\t\treturn true\n\t}\n\treturn false\n}/'
mutant "refusal after a report believed" fanout relay.go 's/if call.reported && \(outcome == Undelivered \|\| !outcome.possiblyRan\(\)\) \{/if false {/'
mutant "contradictory outcome forgotten" fanout forward.go 's/ \|\| outcome.possiblyRan\(\) && !forwarded.outcome.possiblyRan\(\)\)/)/'
mutant "earlier outcome not heeded" fanout relay.go 's/call.worstOutcome\(missing\)/missing.Outcome/'
mutant "call in flight forgotten" fanout once.go 's/part.inFlight > 0 \|\| part.possibleRuns > 0/part.possibleRuns > 0/'
mutant "prevented call not counted" fanout once.go 's/\t\trun.preventedCalls\+\+\n//'
mutant "second call of a part permitted" fanout once.go 's/if !run.spec.Idempotent && \(part/if false \&\& (part/'
mutant_of poplarpind "prevented calls not reported" gateway job.go 's/\tjob.reportPrevented\(prevented\)\n/\t_ = prevented\n/' TestPreventedCallsAreSeen
mutant_of platform "contradictory response believed" . reply.go 's/case saysNotRun\(response\) && saysRun\(response\):/case false:/' TestReply
mutant_of platform "refusal without id believed" . reply.go 's/case id == "" && previous != nil && saysNotRun/case false \&\& saysNotRun/' TestUnidentifiedRefusal
mutant_of poplarpind "previous response forgotten" gateway job.go 's/response.Remembered = remembered/_ = remembered/' TestLateRefusal
mutant_of poplarpind "repeat behind a late copy" gateway job.go 's/, call.Avoid = nonIdempotentDialTimeout, job.answeredBefore/ = nonIdempotentDialTimeout/' TestLateRefusal
mutant_of poplarpind "refusal forgotten after another answer" gateway conn_history.go 's/ \|\| slices.Contains\(/ || false \&\& slices.Contains(/' TestLateRefusal
mutant "lost forwarded call sent again" fanout relay.go 's/if outcome.possiblyRan\(\) \{\n\t\tpart.possibleRuns\+\+\n\t\}\n\tif part.answeredBy/if part.answeredBy/'
mutant "forwarded call not counted as run" fanout forward.go 's/case !ended \|\| outcome.possiblyRan\(\):\n\t\t\tdirect, forwarded = append\(direct, target\), append\(forwarded, target\)/case !ended || outcome.possiblyRan():/'
mutant "request cancelled that runs once" fanout calls.go 's/CloseConnection: run.spec.Idempotent/CloseConnection: true/'
mutant "stranded relay does not refuse" fanout relay_run.go 's/if relayRun.fleet.Stranded\(now\) \{/if false {/'
mutant "relay chooses another target" fanout relay_run.go 's/if part.named != "" \{\n\t\treturn relayRun.fleet.Callable/if false {\n\t\treturn relayRun.fleet.Callable/'
mutant "forwarded calls not limited" fanout forward_limit.go 's/return forwardLimit.calls.AllowN\(now, calls\)/return true/'
mutant "unserved request waits" fanout results.go 's/if _, ok := run.choose\(now, part, nil, nil\); !ok \{/if false {/'
mutant "forwards sent after the end" fanout forward.go 's/if run.finished \|\| call.ended \{/if false {/'
mutant "cut-off relay asked again" place path.go 's/ && !vm.cutOffFrom\(now, failureDomain\)//'
mutant "declining relay left alone" place path.go 's/\treturn fleet.lastResort\(now, kind, exclude, allows\)/\treturn Endpoint{}, false/'
mutant "declining relays asked at any rate" place path.go 's/if now.After\(fleet.lastResortAt\) \&\& now.Sub/if false \&\& now.Sub/'
mutant "dead link makes targets slow" place attempt.go 's/if attempt.group.answers == attempt.answers \{/if false {/'
mutant "relay names no cut" fanout relay_run.go 's/if relayRun.fleet.CutOff\(now, domain\) \{\n\t\treturn Unreached/if relayRun.fleet.CutOff(now, domain) {\n\t\treturn NoCapacity/'
mutant "forwarded parts show congestion" fanout fanout.go 's/if !ok \|\| len\(sends\) > 0 \{/if true {/'
mutant "any VM in reach ends a cut" place domain.go 's/if !fleet.reachabilityOf\(endpoint.group\(\)\).cutOff\(now\) \{/if !fleet.reachabilityOf(endpointGroup{endpoint.FailureDomain, true}).cutOff(now) {/'
mutant "forwarded call hedged" fanout calls.go 's/return run.mayHedge\(\) && part.answeredBy/return part.answeredBy/'
mutant "early report of one call" fanout relay_run.go 's/, reportedEarly: spec.Once/, reportedEarly: false \&\& spec.Once/'
mutant "incapable relay chosen" place path.go 's/ && !now.Before\(vm.incapableUntil\[kind\]\)//'
mutant "incapable relay merges" place path.go 's/ \|\| now.Before\(vm.incapableUntil\[kind\]\)//'
mutant "list hides earlier deletions" follow store_cache.go 's/if update.Through > storeCache.revision \{/if false {/'
mutant "full list adds nothing" follow store_cache.go 's/\t\t\tfloor = update.Through\n/\t\t\tfloor, storeCache.tombstoneFloor = update.Through, update.Through\n/'
mutant_of poplarpind "store's list hides deletions" gateway watch.go 's/update.Full = kind == platform.TargetsKind/update.Full = update.Era > gateway.storeCache.Revisions().ServersEra/' TestUnseenDeletions
mutant_of poplarpind "changes after a new list" gateway store_sync.go 's/ \|\| !gateway.storeCache.KnowsDeletionsSince\(subscriber.sentThrough\)//' TestUnseenDeletions
mutant_of poplarpind "full list ends the grace" gateway ../../core/follow/store_cache.go 's/object.Lapsed && revisions.Servers > 0/false/' TestUnseenDeletions
mutant "unknown target taken from older list" follow era.go 's/return \(!known \|\| cached.Deleted\) && object.Revision/return known \&\& cached.Deleted \&\& object.Revision/'
mutant "deleted target taken from older list" follow era.go 's/return \(!known \|\| cached.Deleted\) && /return (!known || cached.Deleted \&\& false) \&\& /'
mutant_of poplarpind "late seed names VMs" gateway seed.go 's/if gateway.peersReadAt.IsZero\(\) && /if /' TestLateSeedState
mutant_of platform "lost watch awaited for the window" . timeouts.go 's/watchTimeoutShare = 0.85/watchTimeoutShare = 1.1/' TestLostCallsNoticedInTime
mutant_of platform "lost list awaited for the window" . timeouts.go 's/storeTimeoutShare = 0.5/storeTimeoutShare = 1.1/' TestLostCallsNoticedInTime
mutant_of platform "watch outlasts its timeout" . store.go 's/query, times.Timeout, &reply/query, times.Timeout+time.Hour, \&reply/' TestLostCalls
mutant_of poplarpind "moved store awaited" gateway run.go 's/if moved \{/if moved \&\& false {/' TestMovedStore
mutant_of poplarpind "lost release watch awaited" platform platform.go 's/watchTimeout = 2 \* time.Second/watchTimeout = 35 * time.Second/' TestLostWatch
mutant "dropped VM keeps its share" quota share.go 's/ && !node.dropped\(now\)$/ \&\& (true || !node.dropped(now))/m'
mutant "VM back on the list uses its share at once" quota share.go 's/if node.dropped\(now\) && !vms.Unlisted \{/if false {/'
mutant_of platform "late deletion without a revision" . store.go 's/query := url.Values\{"revision": \{strconv.FormatInt\(revision, 10\)\}\}/query := url.Values{"was": {strconv.FormatInt(revision, 10)}}/' TestLateDeletion
mutant_of platform "entry of a later process deleted" . store.go 's/err == nil && written.Incarnation > vm.Incarnation/err == nil \&\& written.Incarnation > vm.Incarnation \&\& false/' TestLateDeletion
mutant_of poplarpind "entry of an earlier process kept" gateway peers.go 's/if registered && own.Name != "" && !firstRead/if false \&\& own.Name != "" \&\& !firstRead/' TestEntryOfEarlierProcess
mutant_of poplarpind "missing entry not reported" gateway store_sync.go 's/update.ViewAge, update.VMs, update.Unlisted = gateway.sharedViewAge\(now\), gateway.quotas.currentCount\(\), gateway.unlisted\(now, from\)/update.ViewAge, update.VMs = gateway.sharedViewAge(now), gateway.quotas.currentCount()/' TestMissingEntry
mutant_of poplarpind "missing entry ignored" gateway store_sync.go 's/if !unlisted \|\| now.Sub/if true || now.Sub/' TestMissingEntry
mutant_of poplarpind "responses without a budget" target memory.go 's/maxResponsesBytes  = 24 << 20/maxResponsesBytes  = 24 << 30/' TestEndlessResponses
mutant_of poplarpind "long header kept" target pool.go 's/\t\tMaxResponseHeaderBytes: maxHeadBytes,\n//' TestLongHeader
mutant "field of a message dropped" rpc gather.go 's/`json:"once,omitempty"`/`json:"-"`/'
mutant "later field rejected" member message.go 's/json.Unmarshal\(data, \(\*plain\)\(message\)\)/func() error { decoder := json.NewDecoder(bytes.NewReader(data)); decoder.DisallowUnknownFields(); return decoder.Decode((*plain)(message)) }()/; s/import \(/import (\n\t"bytes"/'
mutant_of core "capability not needed" rpc gather.go 's/if len\(gather.Targets\) > 0 \|\| gather.Once \{/if false {/' TestNeeds
mutant_of core "record limit not needed" rpc gather.go 's/if gather.ShardsDigest != 0 \{/if false {/' TestNeeds
mutant_of poplarpind "relay merges by its own version" gateway serve.go 's/job.started, job.recordLimit = relayRun, relayRun, now, recordLimitOf\(gather\)/job.started, job.recordLimit = relayRun, relayRun, now, matched.Destination.(route.Gather).TopK/' TestRelayOfAnotherRouteVersion
mutant_of poplarpind "older peers get no records" gateway relay_serve.go 's/if gather.RecordLimit == 0 \{/if false {/' TestRecordLimit
mutant_of poplarpind "message sent on a closed link" peer link.go 's/if link.closed \{\n\t\treturn false\n\t\}\n\tlink.lastSent/link.lastSent/' TestClosedBeforeSending
mutant_of poplarpind "refusal of any peer believed" gateway relay.go 's/\tok = ok && call.relayVM == relayVM\n//' TestRefusalOfAnotherPeer
mutant_of poplarpind "refusal with results believed" gateway relay.go 's/if message.Refused && !hasResults\(message\) \{/if message.Refused {/' TestContradictoryRefusal
mutant_of poplarpind "result of any VM believed" entry once.go 's/if owner != claimedRequest.lastOwner.Load\(\) \{/if false {/' TestRefusalOfAnotherVM
mutant_of poplarpind "call of a new incarnation forgotten" gateway relay_serve.go 's/if gateway.relayJobs\[key\] == job \{/if true {/' TestQueryIDOfEarlierIncarnation
mutant_of poplarpind "call that runs once broken off" gateway relay_serve.go 's/cancels, answered := job != nil && job.route.Idempotent/cancels, answered := job != nil/' TestCancellationOfEarlierIncarnation
mutant_of poplarpind "job behind the last look" gateway relay_serve.go 's/if gateway.refusesRelays.Load\(\) \{/if false {/' TestRelayRequestWhileStopEnds
mutant_of poplarpind "false promise passed on" gateway serve.go 's/if !reply.PromisesNotRun\(\) \{/if true {/' TestFalsePromise
mutant_of poplarpind "abandoned call sent" http1 exchange.go 's/return !exchange.ended && !exchange.abandoned/return !exchange.ended/' TestAbandonedWhileOpening
mutant_of poplarpind "capability not checked" peer link.go 's/if !link.peer.Can\(capabilitiesFor\(params\)...\) \{/if false {/' TestCapabilities
mutant "better source taken unasked" follow follow.go 's/best, candidate = follower.plan.Source, best/candidate = ""/'
mutant_of poplarpind "silence counted anew" peer link.go 's/if link.silentSince.IsZero\(\) \{/if true {/' TestSilence
mutant_of poplarpind "prompt message not watched" peer link.go 's/awaitsReply \|\| link.promptSent/awaitsReply/' TestPromptMessage
mutant_of poplarpind "withdrawn message sent" peer link.go 's/if !wanted \{/if false \&\& !wanted {/' TestWithdrawnWhileOpening
mutant_of poplarpind "dials outlast clients" gateway serve.go 's/idempotentDialTimeout    = 100 \* time.Millisecond/idempotentDialTimeout    = time.Second/' TestDarkTarget
mutant_of poplarpind "relay does not pay" gateway serve.go 's/if gather.Pays \{/if false {/' TestLentBudget
mutant_of poplarpind "place left after the call" http1 conn.go 's/\tif !keepable \{\n\t\tconn.giveUp\(\)\n\t\}/\tif !keepable {\n\t\tdefer conn.giveUp()\n\t}/' TestCalls
mutant_of poplarpind "reset taken for an end" http1 response.go 's/endsWithConn\(response\) && !conn/endsWithConn(response) \&\& false \&\& !conn/' TestResetWhileSending
mutant_of poplarpind "cut head taken for invalid" http1 response.go 's/case conn.source.ended:/case false:/' TestTruncatedResponse
mutant_of poplarpind "coding before HTTP/1.1 ignored" http1 response.go 's/ && statesCoding\(head\)/ \&\& len(head) < 0 \&\& statesCoding(head)/' TestTruncatedResponse
mutant_of platform "signature of one connection" . ingress.go 's/len\(stamps\) > 0 \{/len(stamps) > 9 {/' TestSignatureForOneConnection
mutant_of poplarpind "space hides a length" http1 response.go 's/if hidesFraming\(/if false \&\& hidesFraming(/' TestTruncatedResponse
mutant_of platform "empty answer is a list" . store.go 's/if page == nil \{/if page == nil { page = \&listPage{} }\n\t\tif false {/' TestTruncatedList
mutant_of poplarpind "reset stream answers" target memory.go 's/default:\n\t\t\treturn nil, release, err/default:\n\t\t\treturn read.Bytes(), release, nil/' TestTruncatedResponse
mutant_of poplarpind "any 503 counts as refused" target target.go 's/json.Unmarshal\(data, &refusal\) != nil \{\n\t\treturn rpc.Result\{Outcome: rpc.Lost\}/json.Unmarshal(data, \&refusal) != nil {\n\t\treturn rpc.Result{Outcome: rpc.Shed}/' TestCallMadeOnce
mutant_of poplarpind "failed call counts as unsent" target target.go 's/response, err := conn.RoundTrip\(request\)\n\tif err != nil \{\n\t\treturn rpc.Result\{Outcome: rpc.Lost\}/response, err := conn.RoundTrip(request)\n\tif err != nil {\n\t\treturn rpc.Result{Outcome: rpc.NotSent}/' TestCallMadeOnce
mutant_of poplarpind "end of a drain ignored" target target.go 's/\(target.drainSeen \|\| restarted\)/restarted/' TestDrainTakenBack
mutant_of poplarpind "lying health ends a drain" target target.go 's/\(target.drainSeen \|\| restarted\)/(target.drainSeen || restarted || true)/' TestDrainTakenBack
mutant_of poplarpind "health not asked at a refusal" target target.go 's/if !knownToLeave \{/if !knownToLeave \&\& false {/' TestDrainTakenBack
mutant_of poplarpind "health ends a listed departure" target owner.go 's/&target.listedUntil, listedLeavingTTL/&target.leavingUntil, listedLeavingTTL/' TestDrainTakenBack
mutant_of platform "unknown fields overwritten" . rewrite.go 's/if !known\[name\] \{/if !known[name] \&\& false {/' TestRewriteKeepsUnknownFields
mutant_of platform "odd object spoils the list" . bounds.go 's/if !ok \|\| json.Unmarshal\(repaired, reply\) != nil \{/if repaired != nil || !ok {/' TestOddObjects
mutant_of platform "deep object passed on" . bounds.go 's/ \|\| depthExceeds\(spec, maxSpecDepth\)//' TestDeepConfiguration
mutant_of platform "long entry passed on" . bounds.go 's/kind == TargetsKind && targetTooLong\(name, spec\) \|\| //' TestOddObjects
mutant_of platform "long odd entry passed on" . bounds.go 's/len\(spec\) <= maxOddBytes \|\| len\(spec\) > maxTargetBytes/true/' TestLongEntries
mutant_of platform "stray quote hides entries" . bounds.go 's/if inString && !endsValue\(text\[i\+1:\]\) \{/if false {/' TestUnbalancedAnswers
mutant_of platform "brackets not matched" . bounds.go 's/ \|\| open\[len\(open\)-1\] != char \{/ {/' TestUnbalancedAnswers
mutant_of platform "address not checked" . objects.go 's/if !isAddress\(wire.Address\) \{/if false {/' TestTarget
mutant_of platform "id not checked" . objects.go 's/if !isID\(object.Name\) \{/if object.Name == "" \&\& !isID(object.Name) {/' TestOddTargetID
mutant_of platform "own host is a target" . bounds.go 's/ && !host.IsUnspecified\(\)//' TestTarget
mutant_of core "target replaces a VM" place place.go 's/if ok && found.Peer && !endpoint.Peer \{/if false {/' TestEntryUnderVMName
mutant_of core "entry removes a VM" place place.go 's/\tok = ok && !found.Peer\n//' TestEntryUnderVMName
mutant_of platform "cores not bounded" . objects.go 's/ && vm.Cores <= maxCores//' TestOddVM
mutant_of platform "target among the VMs" . objects.go 's/if fanout.IsRelayService\(wire.Service\) \{/if false \&\& fanout.IsRelayService(wire.Service) {/' TestTarget
mutant_of platform "slots not bounded" . objects.go 's/\*wire.Slots <= maxSlots/true/' TestTarget
mutant_of poplarpind "unreadable watch repeated" . gateway/watch.go 's/\t\t\tknown = gateway.otherRead\(kind, known\)\n//' TestOddEntries/longer
mutant_of poplarpind "unreadable list repeated" gateway watch.go 's/return gateway.knownPosition\(kind\)/return platform.Position{}/' TestUnreadableLists
mutant_of poplarpind "unreadable answer asked often" gateway watch.go 's/backoff = min\(2\*backoff, maxUnreadableBackoff\)/backoff = minBackoff/' TestUnreadableAnswers
mutant_of poplarpind "other object configures" . gateway/watch.go 's/case object.Name == platform.ConfigName:/default:/' TestOtherConfigurations
mutant_of poplarpind "odd own entry written again" gateway peers.go 's/ \|\| oddRevision > 0 && oddRevision == gateway.oddRevision//' TestOddOwnEntry
mutant_of poplarpind "unreadable one configures" . gateway/store_sync.go 's/object != nil && platform.IsUnreadable\(object.Spec\)/object != nil \&\& false/' TestUnreadableConfiguration
mutant "no care for requests that run once" stop stop.go 's/if request.Gather \|\| !request.Idempotent \{/if request.Gather {/'
mutant "last answers not written" stop stop.go 's/return stop.ExitAt\(\).Add\(-min\(maxWriteTime, stop.grace\/writeDivisor\)\)/return stop.ExitAt()/'
mutant "sent once more at the end" fanout fanout.go 's/run.noCallsFrom = at.Add\(-needed\)/run.noCallsFrom = at/'
mutant "run outlasts its VM" fanout fanout.go 's/\trun.deadline = at\n//'
mutant_of poplarpind "late request taken" . gateway/serve.go 's/if !gateway.takes\(request, matched\) \{/if false {/' TestLateInTheGrace
mutant_of poplarpind "request in flight outlasts stop" . gateway/serve.go 's/case <-stopBegan:\n/case <-stopBegan:\n\t\t\tif true { stopBegan = nil; continue }\n/' TestLateInTheGrace
mutant_of poplarpind "late request outlasts stop" . gateway/serve.go 's/(make\(chan fanout.Response, 1\)\n)\tjob.endByStop\(\)\n/$1/' TestLateInTheGrace
mutant_of poplarpind "own close not noticed" gateway client_conn.go 's/left: !open \|\| /left: !open \&\& false || /' TestRequestAcrossOwnClose
mutant_of poplarpind "relay drops parts" . gateway/stop.go 's/return len\(gateway.relayJobs\) > 0/return false/' TestStoppingRelay
mutant_of poplarpind "read request dropped" . conns/conns.go 's/_ = listener.Close\(\)\n\tstates.server.SetKeepAlivesEnabled\(false\)/go func() { _ = states.server.Shutdown(ctx) }()/' TestLateInTheGrace
mutant_of poplarpind "outcome not awaited" entry stop.go 's/ && vm.storing.Load\(\) > 0 \{/ \&\& false {/' TestStopStoresOutcome
mutant_of poplarpind "note not awaited" entry accept.go 's/\tvm.storeInBackground\((func.*?\n)\t\}\)/\tgo ($1\t})(context.Background())/s' TestStopStoresNote
mutant_of poplarpind "stop waits without limit" entry stop.go 's/ctx.Err\(\) == nil && vm.storing/vm.storing/' TestStopWithoutPlatform
mutant_of platform "bodies outlast the process" . bodies.go 's/return bodies.closed \|\| held.Ended\(\)/return held.Ended()/' TestEndedBodies
mutant_of poplarpind "unread call undelivered" http1 conn.go 's/return known && unacknowledged >= conn.callBytes/return known \&\& unacknowledged >= 0/' TestUndelivered
mutant_of poplarpind "check as old as its call" http1 conn.go 's/ \|\| !conn.writtenAt.Before\(writtenBefore\)//' TestUndelivered
mutant_of poplarpind "unread message undelivered" peer delivery.go 's/known && acknowledged < writtenBefore/known \&\& writtenBefore >= 0/' TestDelivery
mutant_of poplarpind "begun write counts as sent" peer delivery.go 's/link.writes.returned.Load\(\)/link.writes.begun.Load()/' TestDelivery
mutant_of poplarpind "check outlasts a reply" peer link.go 's/\tlink.undeliveredFrom = allDelivered[^\n]*\n//' TestDelivery
mutant_of poplarpind "old check believed" peer delivery.go 's/ && time.Since\(delivery.link.checkedAt\) <= maxCheckAge/ \&\& time.Since(delivery.link.checkedAt) >= 0/' TestDelivery
mutant_of poplarpind "any status taken" http1 response.go 's/if !FinalStatus\(response.StatusCode\) && !interimStatus\(response.StatusCode\) \{/if false {/' TestInvalidStatus
mutant_of poplarpind "protocol switch taken for interim" http1 response.go 's/ && status != http.StatusSwitchingProtocols//' TestInvalidStatus
mutant_of platform "any status of the store taken" . store.go 's/if response.StatusCode < http.StatusOK \|\| response.StatusCode > maxStatus \{/if false {/' TestInvalidStatus
mutant_of poplarpind "any status of a relay taken" gateway relay.go 's/ \|\| http1.FinalStatus\(message.Response.Status\)/ || http1.FinalStatus(message.Response.Status) || true/' TestInvalidStatusOfRelay
mutant_of poplarpind "any status is a failure" target target.go 's/if !http1.FinalStatus\(status\) \{/if false {/' TestInvalidStatus
mutant_of poplarpind "any status of a seed taken" gateway seed.go 's/if response.StatusCode != http.StatusOK \{/if false {/' TestSeedStatus
mutant "old calls cut off" place domain.go 's/now.Sub\(reachability.suspectSince\) >= cutOffAfter/now.Sub(reachability.unansweredSince) >= cutOffAfter/'
mutant "newest silent connection ended" evict evict.go 's/return cmp.Compare\(a.entered, b.entered\) \}\n\tuseless/return cmp.Compare(b.entered, a.entered) }\n\tuseless/'
mutant "connections without answers kept" evict evict.go 's/if len\(useless\) > 0 \{/if false {/'
mutant "older idle connections ended" evict evict.go 's/cmp.Compare\(b.opened, a.opened\)/cmp.Compare(a.opened, b.opened)/'
mutant "answers of a connection ignored" evict evict.go 's/cmp.Compare\(bits.Len\(uint\(a.answers\)\), bits.Len\(uint\(b.answers\)\)\), //'
mutant "places all served" evict evict.go 's/if budget.phases\[Serving\] >= quarters\*budget.limits.Conns\/4 \{/if quarters == 0 {/'
mutant "unread answers take places" evict evict.go 's/if budget.phases\[Serving\] >= quarters/if budget.phases[Serving]+budget.phases[Answering] >= quarters/'
mutant "failed requests take all places" evict evict.go 's/quarters = 1/quarters = 2/'
mutant "idle connections without a share" evict evict.go 's/len\(idle\) > budget.limits.Conns\/shareDivisor/len(idle) > 0/'
mutant "served request ended" evict evict.go 's/conn.bytes > 0 && \(conn.phase == Receiving \|\| conn.phase == Answering\)/conn.bytes > 0/'
mutant "smallest request ended" evict evict.go 's/cmp.Compare\(bits.Len64\(uint64\(b.bytes\)\), bits.Len64\(uint64\(a.bytes\)\)\)/cmp.Compare(a.bytes, b.bytes)/'
mutant "no reserve for small requests" evict evict.go 's/if conn.bytes > largeBytes \{/if false {/'
mutant "no memory for earlier callers" evict evict.go 's/if conn.answers == 0 \{\n\t\tquarters--/if false {\n\t\tquarters--/'
mutant "open connections take the memory" evict evict.go 's/budget.limits.Bytes - int64\(budget.limits.Conns\)\*budget.limits.ConnBytes/budget.limits.Bytes - int64(len(budget.conns))*budget.limits.ConnBytes/'
mutant "bytes kept between requests" evict evict.go 's/\t\tconn.ended\+\+\n\t\tbudget.Release\(conn, conn.bytes\)/\t\tconn.ended++/'
mutant_of poplarpind "head of any size" conns conn.go 's/conn.head.bytes > guard.options.Requests\(\).HeadBytes\+requestLineBytes/false/' TestRequestLimits
mutant_of poplarpind "body counts as head" conns conn.go 's/\t\tconn.head.complete = true\n\t\tguard/\t\tguard/' TestRequestLimits
mutant_of poplarpind "refusal without an answer" conns conn.go 's/^\tconn.writeRefusal\(kind\)\n\tif kind == HeadTooLarge/\tif kind == HeadTooLarge/m' TestRequestLimits
mutant_of poplarpind "slow clients kept" conns guard.go 's/timeout > 0 && now/timeout < 0 \&\& now/' TestRequestLimits
mutant_of poplarpind "memory without limit" conns conn.go 's/guard.end\(guard.budget.Grow\(conn.entry, cost\), NoRoom\)/guard.end(guard.budget.Grow(conn.entry, 0*cost), NoRoom)/' TestNoRoom

wait
for number in $(seq "$count"); do cat "$work/$number.result"; done >"$work/results"
cat "$work/results"
passed=$(grep -c ' noticed by ' "$work/results")
grep -v ' noticed by ' "$work/results" | sed 's/^/failed: /'
echo "$passed passed, $((count - passed)) failed"
[ "$passed" = "$count" ]
