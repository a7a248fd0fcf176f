#!/usr/bin/env bash
# Mutation tests: breaks one rule of the core at a time in a scratch copy and checks that the package's tests fail.
set -u
here=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
passed=0
failed=0

# mutant NAME PACKAGE FILE PERL-SUBSTITUTION: fails if the substitution changes nothing, the copy does not build or its tests pass.
mutant() {
  rm -rf "$work/core"
  cp -r "$here/../core" "$work/core"
  perl -0pi -e "$4" "$work/core/$2/$3"
  if cmp -s "$work/core/$2/$3" "$here/../core/$2/$3"; then
    printf '%-28s the rule was not found in %s\n' "$1" "$2/$3"
    failed=$((failed + 1))
  elif (cd "$work/core" && GOWORK=off go test "./$2" >"$work/out" 2>&1); then
    printf '%-28s NOT NOTICED by %s\n' "$1" "$2"
    failed=$((failed + 1))
  elif grep -q 'build failed\|setup failed' "$work/out"; then
    printf '%-28s does not build\n' "$1"
    failed=$((failed + 1))
  else
    printf '%-28s noticed by %s\n' "$1" "$2"
    passed=$((passed + 1))
  fi
}

mutant "lost call sent again" fanout calls.go 's/if part.runs > 0 && !run.spec.Idempotent \{/if false {/'
mutant "refused though it may have run" fanout results.go 's/if run.mayHaveRun\(\) \{/if false {/'
mutant "answer with too few parts" fanout fanout.go 's/return run.in > 0 && float64\(run.in\) >= run.spec.MinCoverage\*float64\(len\(run.parts\)\)-coverageSlack/return run.in > 0/'
mutant "direct answer beside a relayed one" fanout results.go 's/part.won, part.retryAt = call, time.Time\{\}/if part.won == nil { part.won = call }; part.retryAt = time.Time{}/'
mutant "more servers than attempts" fanout calls.go 's/return part.runs < max\(run.spec.MaxAttempts, 1\)/return true/'
mutant "leaving server called" place domain.go 's/return server.State == Ready && !server.displaced/return !server.displaced/'
mutant "displaced server called" place domain.go 's/return server.State == Ready && !server.displaced/return server.State == Ready/'
mutant "lapsed entry kept" place domain.go 's/ && !server.lapsed\(now\)//'
mutant "older entry taken" follow book.go 's/if ok && before.Revision >= entry.Revision \{/if ok \&\& false {/'
mutant "silent source kept" follow follow.go 's/if follower.plan.Source != "" && min\(now.Sub/if false \&\& min(now.Sub/'
mutant "weakest VM watches" follow follow.go 's/cmp.Compare\(b.Cores, a.Cores\)/cmp.Compare(a.Cores, b.Cores)/'
mutant "finding not heard" place finding.go 's/server.learn\(now, finding.LatencyRatio\)//'
mutant "broken-off call forgotten" place choose.go 's/server.slowness, server.judged = slowness, now/server.slowness = slowness/'
mutant "relay doubled by its own pace" fanout calls.go 's/typical := run.shared.Fleet.Baseline\(run.spec.Route\) \/\/ of/typical := run.shared.Fleet.Baseline(call.route(run.spec.Route)) \/\/ of/'
mutant "part reported twice" fanout leg.go 's/part.reported = true/part.reported = false/'
mutant "id not looked for" release acceptor.go 's/accepted, ok := acceptor.head.FindAccepted\(acceptor.note.ID\); ok/accepted, ok := acceptor.head.FindAccepted(acceptor.note.ID); ok && false/'
mutant "unsure update settled early" release acceptor.go 's/acceptor.version != acceptor.unsure \{/true {/'
mutant "lower release adopted" release adopter.go 's/head.Release <= adopter.head.Release/head.Release == adopter.head.Release/'
mutant "digest not checked" release release.go 's/part == nil \|\| DigestOf\(part\) != digest/part == nil/'
mutant "conflict not seen" release release.go 's/ok && entry.Release > note.Base/ok \&\& false/'
mutant "any version merged" query results.go 's/result.RequestID != run.request.ID \|\| result.Version != run.Version\(\)/result.RequestID != run.request.ID/'
mutant "any request merged" query results.go 's/result.RequestID != run.request.ID \|\| result.Version != run.Version\(\)/result.Version != run.Version()/'
mutant "shard merged twice" query results.go 's/if shard.merged \{\n\t\t\tcontinue\n\t\t\}\n\t\tshard.merged = true/shard.merged = true/'
mutant "hedges without budget" query calls.go 's/len\(shards\) == 0 \|\| !run.budget.Spend\(now, 1\)/len(shards) == 0/'
mutant "budget without window" budget budget.go 's/float64\(spent\+extra\) > budget.fraction\*float64\(calls\)\+budget.slack/spent+calls < 0/'
mutant "lost call reported not run" claim claim.go 's/case rpc.Lost, rpc.OwnerLost:/case rpc.Outcome("none"):/'
mutant "held claim taken over" claim claim.go 's/case found.Claim.State == Released:/case found.Claim.State == Released || found.Claim.State == Held:/'
mutant "given up reported not run" claim claim.go 's/if runner.sent \{\n\t\treturn runner.finish\(api.Unknown, callLost, nil\)/if runner.sent {\n\t\treturn runner.finish(api.NotRun, callLost, nil)/'
mutant "false news not refuted" member receive.go 's/list.self.Incarnation = news.Incarnation \+ 1//'
mutant "last news wins" member message.go 's/return member.Incarnation > known.Incarnation/return true/'
mutant "dead never asked again" member member.go 's/entry.State == Dead && entry.listed/false/'
mutant "share not guaranteed" dispatch dispatch.go 's/lane.credit >= 1 &&/false \&\&/'
mutant "late call queued" dispatch dispatch.go 's/\.After\(item.Deadline\) \{\n\t\treturn false/.After(item.Deadline) {\n\t\treturn true/'
mutant "whole table moved" owner owner.go 's/if slot.domain == vm.FailureDomain \{/if false {/'

echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
