#!/usr/bin/env bash
# Checks every model exhaustively, and checks that each broken variant is rejected. Prints the model, the property, the variant, the
# number of states, the result and, for a broken variant, the length of the counterexample.
set -u
here=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
parallel=${JOBS:-4} # checks at a time
count=0

# verify DIRECTORY MODEL PROPERTY FLAGS...: builds and runs the verifier in a directory; its report is in the file out there.
verify() {
  local directory=$1 model=$2 property=$3
  shift 3
  cd "$directory" || return 1
  spin -a -N /dev/null "$@" "$here/$model.pml" >/dev/null 2>&1 || spin -a "$@" "$here/$model.pml" >spin.out 2>&1 || { cat spin.out; return 1; }
  gcc -O2 -DMEMLIM=4096 -DNFAIR=4 -o pan pan.c 2>gcc.out || { cat gcc.out; return 1; }
  ./pan -a -f -m1000000 -N "$property" >out 2>&1
}

stored_states() { awk '/states, stored/ {print $1; exit}' out; }
error_count() { sed -n 's/.*errors: \([0-9]*\).*/\1/p' out | head -1; }
search_completed() { ! grep -qi 'search not completed\|max search depth too small\|out of memory\|MEMLIM bound' out; }
trail_length() { cat *.trail 2>/dev/null | grep -vc '^-'; }

# check_holds DIRECTORY MODEL PROPERTY FLAGS...: prints the result in one line that ends in "holds" or "FAILS", after the end of the report if it fails.
check_holds() {
  local model=$2 property=$3 result=holds
  verify "$@"
  [ "$(error_count)" = 0 ] && search_completed || { result=FAILS; tail -5 out; }
  printf '%-10s %-17s %-16s %10s states  %s\n' "$model" "$property" - "$(stored_states)" "$result"
}

# check_rejected DIRECTORY MODEL PROPERTY VARIANT: prints the result in one line, with "NOT REJECTED" if no counterexample was found.
check_rejected() {
  local result='NOT REJECTED'
  verify "$1" "$2" "$3" "-D$4"
  [ "$(error_count)" = 1 ] && result="rejected, counterexample of $(trail_length) steps"
  printf '%-10s %-17s %-16s %10s states  %s\n' "$2" "$3" "$4" "$(stored_states)" "$result"
}

# start CHECK MODEL PROPERTY...: runs a check in the background, in a directory of its own.
start() {
  local check=$1
  shift
  count=$((count + 1))
  [ "$(jobs -rp | wc -l)" -lt "$parallel" ] || wait -n
  mkdir "$work/$count"
  (
    "$check" "$work/$count" "$@"
    rm -f "$work/$count"/pan*
  ) >"$work/$count.result" 2>&1 &
}

expect_holds() { start check_holds "$@"; }
expect_rejected() { start check_rejected "$@"; }

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

wait
for number in $(seq "$count"); do cat "$work/$number.result"; done >"$work/results"
cat "$work/results"
passed=$(grep -cE ' states  (holds|rejected, counterexample of [0-9]+ steps)$' "$work/results")
grep -E 'FAILS$|NOT REJECTED$' "$work/results" | sed 's/^/failed: /'
echo "$passed passed, $((count - passed)) failed"
[ "$passed" = "$count" ]
