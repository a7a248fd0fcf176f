#!/usr/bin/env bash
# Checks every model exhaustively, and checks that each broken variant is rejected. Prints the model, the property, the variant, the
# number of states, the result and, for a broken variant, the length of the counterexample.
set -u
here=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0
passed=0

# verify MODEL PROPERTY FLAGS...: builds and runs the verifier; its report is in $work/out.
verify() {
  local model=$1 property=$2
  shift 2
  rm -f "$work"/pan* "$work"/*.trail
  (cd "$work" && spin -a -N /dev/null "$@" "$here/$model.pml" >/dev/null 2>&1 || spin -a "$@" "$here/$model.pml" >spin.out 2>&1) || { cat "$work/spin.out"; return 1; }
  (cd "$work" && gcc -O2 -DMEMLIM=4096 -DNFAIR=4 -o pan pan.c 2>gcc.out) || { cat "$work/gcc.out"; return 1; }
  (cd "$work" && ./pan -a -f -m1000000 -N "$property" >out 2>&1)
}

stored_states() { awk '/states, stored/ {print $1; exit}' "$work/out"; }
error_count() { sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$work/out" | head -1; }
search_completed() { ! grep -qi 'search not completed\|max search depth too small\|out of memory\|MEMLIM bound' "$work/out"; }
trail_length() { cat "$work"/*.trail 2>/dev/null | grep -vc '^-'; }

# expect_holds MODEL PROPERTY FLAGS...
expect_holds() {
  local model=$1 property=$2
  shift 2
  verify "$model" "$property" "$@"
  if [ "$(error_count)" = 0 ] && search_completed; then
    printf '%-10s %-17s %-16s %10s states  holds\n' "$model" "$property" - "$(stored_states)"
    passed=$((passed + 1))
  else
    printf '%-10s %-17s %-16s %10s states  FAILS\n' "$model" "$property" - "$(stored_states)"
    tail -5 "$work/out"
    failed=$((failed + 1))
  fi
}

# expect_rejected MODEL PROPERTY VARIANT
expect_rejected() {
  local model=$1 property=$2 variant=$3
  verify "$model" "$property" "-D$variant"
  if [ "$(error_count)" = 1 ]; then
    printf '%-10s %-17s %-16s %10s states  rejected, counterexample of %s steps\n' "$model" "$property" "$variant" "$(stored_states)" "$(trail_length)"
    passed=$((passed + 1))
  else
    printf '%-10s %-17s %-16s %10s states  NOT REJECTED\n' "$model" "$property" "$variant" "$(stored_states)"
    failed=$((failed + 1))
  fi
}

expect_holds release once
expect_holds release kept
expect_rejected release once NO_ID_CHECK
expect_rejected release kept UNCONDITIONAL
expect_rejected release once EARLY_SETTLE
expect_holds adopt allOrNothing
expect_rejected adopt allOrNothing ADOPT_ANY
expect_rejected adopt allOrNothing ADOPT_HALF
expect_rejected adopt allOrNothing NO_PULL
expect_holds once atMostOnce
expect_holds once allNotRun
expect_holds once ownNotRun0
expect_rejected once atMostOnce NO_CLAIM
expect_rejected once atMostOnce TAKE_HELD
expect_rejected once atMostOnce RESEND
expect_rejected once allNotRun LOST_NOTRUN
expect_rejected once atMostOnce RELEASE_LOST
expect_rejected once atMostOnce ASSUME_CREATED
expect_rejected once atMostOnce TRUST_REFUSAL
expect_holds snapshot sameRequest
expect_holds snapshot notDoubled
expect_holds snapshot oneSnapshot
expect_holds snapshot trueCoverage
expect_rejected snapshot oneSnapshot NO_VERSION
expect_rejected snapshot notDoubled NO_MERGED
expect_rejected snapshot sameRequest NO_REQUEST
expect_rejected snapshot trueCoverage COUNT_SENT
expect_holds stop noneLost
expect_holds stop refusedOnce
expect_holds stop usedAgain
expect_rejected stop noneLost CLOSE_EARLY
expect_rejected stop noneLost NO_WAIT
expect_rejected stop noneLost KEEP_SENDING
expect_rejected stop refusedOnce IGNORE_REFUSAL
expect_rejected stop refusedOnce TRUST_HEALTH
expect_rejected stop usedAgain KEEP_LEAVING
expect_holds member monotonic
expect_rejected member monotonic NO_REFUTE
expect_rejected member monotonic LAST_WINS
expect_holds resend runsOnce
expect_holds resend refusedTrue
expect_rejected resend runsOnce RESEND_LOST
expect_rejected resend runsOnce HEDGE
expect_rejected resend refusedTrue REFUSE_LOST
expect_rejected resend refusedTrue REFUSE_OPEN
expect_holds relay onceEach
expect_holds relay countTrue
expect_rejected relay onceEach KEEP_DIRECT
expect_rejected relay countTrue COUNT_BOTH
expect_rejected relay countTrue LATE_MERGE
expect_holds follow eventuallyUpdated
expect_rejected follow eventuallyUpdated KEEP_SILENT
expect_rejected follow eventuallyUpdated ANY_MESSAGE
expect_rejected follow eventuallyUpdated BETTER_ONLY
expect_rejected follow eventuallyUpdated NO_RETURN
expect_holds quota producedOnce
expect_holds quota usedInTime
expect_rejected quota producedOnce RECEIPT_TIME
expect_rejected quota producedOnce EARLY_RETURN
expect_rejected quota producedOnce RESTART_PRODUCES
expect_rejected quota producedOnce CHANGE_EARLY
expect_rejected quota producedOnce STOPPED_CLOCK
expect_rejected quota usedInTime USE_LATE
expect_rejected quota usedInTime TOKEN_RECEIPT
expect_rejected quota usedInTime STOPPED_CLOCK
expect_holds era neverBack
expect_holds era neverBack -DRESTORES=2
expect_holds era settledEqual
expect_rejected era settledEqual REVISION_ONLY
expect_rejected era settledEqual KEEP_WATCHING
expect_rejected era neverBack NO_VERSION
expect_rejected era neverBack TAKE_LISTED
expect_rejected era neverBack ANY_ERA
expect_rejected era neverBack NO_FULL_LIST
expect_rejected era neverBack KEEP_STAMP

echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
