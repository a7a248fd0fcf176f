/* A relay gathers two parts, and each part also has a direct call as a hedge. In whatever order results arrive, the answer holds
 * each part at most once, and its part count is correct.
 *
 * The relay reports both parts in one merged report, which cannot be split, or each in a report of its own. The answer can be
 * sent at any time.
 *
 * Broken variants:
 *   KEEP_DIRECT  a direct result of a part is kept next to a relay report that also holds the part
 *   COUNT_BOTH   a part is counted once per path on which it arrives
 *   LATE_MERGE   a report that arrives after the answer was sent is still counted
 */
#define DIRECT 1
#define RELAYED 2

byte source[2];      /* path by which the answer holds each part; 0 for none */
bool used[4];        /* relay reports in the answer, by parts as bits: 1 is part 0, 2 is part 1, 3 is both */
byte counted = 0;
bool finished = false;
byte holds[2];       /* how many times the answer holds each part */
chan reports = [4] of { byte, byte }; /* path, parts as bits */

proctype Relay() {
  if
  :: reports!RELAYED, 3
  :: reports!RELAYED, 1; if :: reports!RELAYED, 2 :: skip fi
  :: reports!RELAYED, 2; if :: reports!RELAYED, 1 :: skip fi
  :: skip
  fi
}

proctype Direct(byte part) { if :: reports!DIRECT, part + 1 :: skip fi }

inline count(part) {
#ifdef COUNT_BOTH
  counted++
#else
  if :: source[part] == 0 -> counted++ :: else -> skip fi
#endif
}

inline deliver() {
  holds[0] = (source[0] == DIRECT -> 1 : 0) + (used[1] -> 1 : 0) + (used[3] -> 1 : 0);
  holds[1] = (source[1] == DIRECT -> 1 : 0) + (used[2] -> 1 : 0) + (used[3] -> 1 : 0);
  finished = true
}

proctype Entry() {
  byte path, parts;
  run Relay(); run Direct(0); run Direct(1);
  do
  :: atomic { reports?path, parts ->
#ifndef LATE_MERGE
     if :: finished -> goto ended :: else -> skip fi;
#endif
     if
     :: path == RELAYED ->
        used[parts] = true;
        if :: parts & 1 -> count(0);
#ifdef KEEP_DIRECT
           if :: source[0] == 0 -> source[0] = RELAYED :: else -> skip fi
#else
           source[0] = RELAYED
#endif
        :: else -> skip fi;
        if :: parts & 2 -> count(1);
#ifdef KEEP_DIRECT
           if :: source[1] == 0 -> source[1] = RELAYED :: else -> skip fi
#else
           source[1] = RELAYED
#endif
        :: else -> skip fi
     :: path == DIRECT && source[parts - 1] == 0 -> count(parts - 1); source[parts - 1] = DIRECT
     :: else -> skip
     fi }
  :: atomic { !finished -> deliver() }
  :: finished && empty(reports) -> break
  od;
ended: skip
}

init { run Entry() }

ltl onceEach { [] (holds[0] <= 1 && holds[1] <= 1) }
ltl countTrue { [] (finished -> counted == holds[0] + holds[1]) }
