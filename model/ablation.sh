#!/usr/bin/env bash
# Switches off one mechanism at a time. "ablation.sh check" checks that each patch still finds its lines and builds; "ablation.sh list" names
# the mechanisms; "ablation.sh apply NAME DIR" patches a checkout, whose score beside that of the unpatched one is the mechanism's worth
# (docs/POLICY.md).
set -u
here=$(cd "$(dirname "$0")" && pwd)
mode=${1:-check}
wanted=${2:-}
directory=${3:-}
passed=0
failed=0
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
[ "$mode" != check ] || for module in core platform poplarpind; do cp -r "$here/../$module" "$work/$module"; done
[ "$mode" != check ] || printf 'go 1.26.0\n\nuse (\n\t./core\n\t./platform\n\t./poplarpind\n)\n' >"$work/go.work"

# ablation NAME FILE PERL-SUBSTITUTION: the substitution takes the mechanism out of the file.
ablation() {
  case $mode in
    list) echo "$1" ;;
    apply) [ "$1" != "$wanted" ] || { perl -0pi -e "$3" "$directory/$2"; passed=1; } ;;
    check)
      cp "$here/../$2" "$work/$2"
      perl -0pi -e "$3" "$work/$2"
      if cmp -s "$work/$2" "$here/../$2"; then
        echo "$1: the mechanism was not found in $2"
        failed=$((failed + 1))
      elif ! (cd "$work/$(dirname "$2")" && go build . 2>"$work/out"); then
        echo "$1: does not build"
        cat "$work/out"
        failed=$((failed + 1))
      else
        passed=$((passed + 1))
      fi
      cp "$here/../$2" "$work/$2"
      ;;
  esac
}

ablation hedges core/fanout/calls.go 's/if call.ended \|\| call.hedged \{/if true {/'
ablation hedge-after-three-medians core/fanout/calls.go 's/return min\(baseline.P95\(\), time.Duration\(slowCallFactor\*float64\(baseline.Median\(\)\)\)\)/return baseline.P95()/'
ablation hedge-before-objective core/fanout/calls.go 's/if !run.answerBy.IsZero\(\) \{\n\t\tif latest/if false {\n\t\tif latest/'
ablation early-hedge-by-report core/fanout/reports.go 's/(func \(run \*Run\) earlyHedgeAt\([^\n]*\{\n)/$1\tif baseline != nil {\n\t\treturn time.Time{}, false\n\t}\n/'
ablation short-calls-complete core/fanout/calls.go 's/short := run.shared.Fleet.Baseline\(run.spec.Route\).Median\(\) < shortCallMedian/short := false/'
ablation relays core/fanout/relay.go 's/if !run.spec.Gather \{\n\t\treturn nil, relayed/if true {\n\t\treturn nil, relayed/'
ablation several-relays core/fanout/relay.go 's/needed = min\(place.VMsForCalls\([^\n]*/needed = 1/'
ablation offload-to-larger-vms core/place/domain.go 's/if fleet.cores <= 0 \|\| time.Duration\(float64\(calls\)/if true || time.Duration(float64(calls)/'
ablation early-report-of-relays core/fanout/relay_run.go 's/earlyReportAt: now.Add\(spec.ReportAfter\)/earlyReportAt: now.Add(spec.ReportAfter + time.Hour)/'
ablation hedges-within-processor core/fanout/calls.go 's/return calls <= run.shared[^\n]*/return calls >= 0 || until.IsZero()/'
ablation hedges-by-larger-vms core/fanout/offload.go 's/if connections < minOffloadedHedges/if true/'
ablation observations core/place/observation.go 's/if endpoint.Peer \|\| ratio <= 0/if true || ratio <= 0/'
ablation observations-passed-on poplarpind/gateway/share.go 's/forward := subscribed &&/forward := false \&\& subscribed \&\&/'
ablation only-changes-forwarded core/place/observation.go 's/forward = endpoint.differsFromShared\(now\)/forward = true/'
ablation load-reports core/place/report.go 's/if state.loadAt.IsZero\(\) \|\| age >= reportLifetime \{/if true {/'
ablation leaving-and-paused-targets core/place/report.go 's/if report.Leaving \{/if false {/; s/if report.PauseFor > 0 \{/if false {/'
ablation named-limits core/place/limit.go 's/if !limit.holds \{\n\t\treturn true/if true {\n\t\treturn true/'
ablation quarantines core/poison/poison.go 's/suspect, ok := tracker.suspects\[fingerprint\]\n\tif !ok \{\n\t\treturn Verdict/suspect, ok := tracker.suspects[fingerprint]\n\tif !ok || true {\n\t\treturn Verdict/'
ablation cut-off-parts-replaced core/fanout/cut_off.go 's/if !part.awaitsOnly\(cutOff\) \|\|/if !part.awaitsOnly(cutOff) || true ||/; s/\t\t\tattempts--\n//'
ablation lent-budgets core/fanout/loan.go 's/if !run.spec.Idempotent \|\|/if true ||/'
ablation canary core/fanout/canary.go 's/return len\(run.parts\) > 1 && /return false \&\& /'
ablation refusals-count-as-slow core/place/attempt.go 's/\tattempt.observeRefusal\(now\)\n//'
ablation deprioritized-after-failure core/place/choose.go 's/if now.Before\(endpoint.deprioritizedUntil\) \{/if false {/'
ablation invalid-answers-count core/place/attempt.go 's/answered\(\)\n\t\tattempt.recordFailure\(now\)/answered()/'
ablation down-targets core/place/choose.go 's/if endpoint.down\(now, costs.path\) \{\n\t\tcost/if false {\n\t\tcost/'
ablation stuck-targets core/place/attempt.go 's/worst = max\(worst, now.Sub\(attempt.started\)-limit\)/_ = limit/'
ablation cancelled-calls-observed core/place/attempt.go 's/if latency := now.Sub\(attempt.started\); latency > 2\*attempt.expected \{/if latency := now.Sub(attempt.started); false {/'
ablation own-failure-domain-first core/place/choose.go 's/factor \*= remoteFactor/factor *= 1/'
ablation warm-up core/place/slowness.go 's/slowness \*= warmupFactor/slowness *= 1/'
ablation cut-off-failure-domains core/place/domain.go 's/(func \(reachability \*reachability\) cutOff\(now time.Time\) bool \{\n)/$1\tif !now.IsZero() {\n\t\treturn false\n\t}\n/'
ablation probes-of-suspects poplarpind/gateway/probe.go 's/if gateway.suspectsWatched \|\|/if true ||/'
ablation forwarded-calls core/fanout/forward.go 's/if forward, found := run.chooseForwarded\(now, part, excludeForwarded\); found \{/if forward, found := run.chooseForwarded(now, part, excludeForwarded); false \&\& found {/'
ablation isolation poplarpind/gateway/probe.go 's/isolated := gateway.fleet.Isolated\(now\) &&/isolated := false \&\& gateway.fleet.Isolated(now) \&\&/'
ablation slack-in-each-window core/budget/budget.go 's/\tbudget.refill\(now\)\n//g'
ablation quarter-of-slack-after-start core/fanout/calls.go 's/startupDivisor     = 4 /startupDivisor     = 1 /'
ablation admission core/admit/admit.go 's/if competing >= usable && !guaranteed \{/if usable < 0 \&\& !guaranteed {/'
ablation paced-retry-after core/admit/pacer.go 's/pacer.lastReturn = now.Add\(delay\)/pacer.lastReturn = now/'
ablation client-round-trip core/fanout/margin.go 's/case path.RoundTrip <= 0:/case true:/'
ablation response-delay poplarpind/gateway/serve.go 's/ResponseMargin: margin \+ gateway.responseDelay/ResponseMargin: margin/'
ablation one-watcher core/follow/follow.go 's/follower.plan.WatchStore = sourceSilent \|\|/follower.plan.WatchStore = true || sourceSilent ||/'
ablation restart-grace core/follow/follow.go 's/if follower.awaitsFirst \{/if false {/'
ablation seeds poplarpind/gateway/seed.go 's/if gateway.bootstrapped\(\) \{\n\t\t\treturn/if true {\n\t\t\treturn/'
ablation idle-connections-closed poplarpind/http1/pool.go 's/maxIdle         = 1500 \* time.Millisecond/maxIdle         = 6 * time.Second/'
ablation rejected-connections poplarpind/http1/pool.go 's/if now.Before\(targetConns.rejectedUntil\) \{/if false {/'
ablation connection-share poplarpind/gateway/gateway.go 's/connectionShare  = 0.6 /connectionShare  = 1.0 /'
ablation tcp-user-timeout poplarpind/http1/pool.go 's/, Control: setTCPUserTimeout\}/, Control: noOption}/; s/\z/\nfunc noOption(string, string, syscall.RawConn) error { _ = setTCPUserTimeout; return nil }\n/'
ablation garbage-collection-at-100 poplarpind/gateway/run.go 's/gcPercent( +)= 100 /gcPercent$1= 400 /'
ablation memory-limit poplarpind/gateway/run.go 's/if settings.MemoryBytes > 0 \{/if false {/'
ablation source-candidate core/follow/follow.go 's/best, candidate = follower.plan.Source, best/candidate = ""/'
ablation store-probe poplarpind/gateway/watch.go 's/gateway.awaitStore\(ctx, store, backoff\)/sleep(ctx, backoff)/'

case $mode in
  apply) [ "$passed" = 1 ] || { echo "no mechanism $wanted"; exit 1; } ;;
  check)
    echo "$passed passed, $failed failed"
    [ "$failed" = 0 ]
    ;;
esac
