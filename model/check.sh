#!/usr/bin/env bash
# Checks every model exhaustively, and that each broken variant is rejected. Prints property, states, result and, for
# broken variants, the length of the counterexample.
set -u
here=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0
passed=0

# verify MODEL PROPERTY FLAGS...: leaves the verifier's report in $work/out.
verify() {
  local model=$1 property=$2
  shift 2
  rm -f "$work"/pan* "$work"/*.trail
  (cd "$work" && spin -a -N /dev/null "$@" "$here/$model.pml" >/dev/null 2>&1 || spin -a "$@" "$here/$model.pml" >spin.out 2>&1) || { cat "$work/spin.out"; return 1; }
  (cd "$work" && gcc -O2 -DMEMLIM=4096 -DNFAIR=4 -o pan pan.c 2>gcc.out) || { cat "$work/gcc.out"; return 1; }
  (cd "$work" && ./pan -a -f -m1000000 -N "$property" >out 2>&1)
}

states() { awk '/states, stored/ {print $1; exit}' "$work/out"; }
errors() { sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$work/out" | head -1; }
complete() { ! grep -qi 'search not completed\|max search depth too small\|out of memory\|MEMLIM bound' "$work/out"; }
length() { cat "$work"/*.trail 2>/dev/null | grep -vc '^-'; }

sound() {
  local model=$1 property=$2
  verify "$model" "$property"
  if [ "$(errors)" = 0 ] && complete; then
    printf '%-10s %-14s %-16s %10s states  holds\n' "$model" "$property" - "$(states)"
    passed=$((passed + 1))
  else
    printf '%-10s %-14s %-16s %10s states  FAILS\n' "$model" "$property" - "$(states)"
    tail -5 "$work/out"
    failed=$((failed + 1))
  fi
}

broken() {
  local model=$1 property=$2 variant=$3
  verify "$model" "$property" "-D$variant"
  if [ "$(errors)" = 1 ]; then
    printf '%-10s %-14s %-16s %10s states  rejected, counterexample of %s steps\n' "$model" "$property" "$variant" "$(states)" "$(length)"
    passed=$((passed + 1))
  else
    printf '%-10s %-14s %-16s %10s states  NOT REJECTED\n' "$model" "$property" "$variant" "$(states)"
    failed=$((failed + 1))
  fi
}

sound release once
sound release kept
broken release once NO_ID_CHECK
broken release kept UNCONDITIONAL
broken release once EARLY_SETTLE
sound adopt wholeOrNot
broken adopt wholeOrNot ADOPT_ANY
broken adopt wholeOrNot ADOPT_HALF
broken adopt wholeOrNot NO_PULL
sound once atMostOnce
sound once honest
sound once mine0
broken once atMostOnce NO_CLAIM
broken once atMostOnce STEAL
broken once atMostOnce RESEND
broken once honest LOST_NOTRUN
broken once atMostOnce RELEASE_LOST
broken once atMostOnce BLIND_CREATE
sound snapshot notCrossed
sound snapshot notDoubled
sound snapshot oneSnapshot
sound snapshot trueCoverage
broken snapshot oneSnapshot NO_VERSION
broken snapshot notDoubled NO_MERGED
broken snapshot notCrossed NO_REQUEST
broken snapshot trueCoverage COUNT_SENT
sound stop nothingCut
sound stop refusedOnce
broken stop nothingCut CLOSE_EARLY
broken stop nothingCut NO_WAIT
broken stop nothingCut KEEP_OWNING
broken stop refusedOnce IGNORE_REFUSAL
sound member forward
broken member forward NO_REFUTE
broken member forward LAST_WINS
sound resend runsOnce
sound resend refusedTrue
broken resend runsOnce RESEND_LOST
broken resend runsOnce HEDGE
broken resend refusedTrue REFUSE_LOST
broken resend refusedTrue REFUSE_OPEN
sound relay onceEach
sound relay countTrue
broken relay onceEach KEEP_DIRECT
broken relay countTrue COUNT_BOTH
broken relay countTrue LATE_MERGE
sound follow news
broken follow news KEEP_SILENT
broken follow news ANY_WORD
broken follow news BETTER_ONLY
broken follow news NO_RETURN

echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
