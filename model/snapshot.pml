/* Index versions change while a query runs. Its answer is from one snapshot, has the correct coverage, holds no shard twice and
 * nothing of another request.
 *
 * A query is pinned to an index version and calls two shards; each shard's call can be hedged to a second replica. Targets load new
 * versions at any time and answer with the version that they used. Answers can be late, duplicated by the hedge, or belong to
 * another query with the same id after a restart of an entry VM.
 *
 * Broken variants:
 *   NO_VERSION   answers are merged whatever their version
 *   NO_MERGED    a shard is merged each time it is answered
 *   NO_REQUEST   answers are merged whatever their request
 *   COUNT_SENT   coverage counts the shards that were called, not those that were merged
 */
#define SHARDS 2
#define REPLICAS 2

chan answers = [4] of { byte, byte, byte };  /* shard, version, request */
byte version[4];                                /* held by each target */
byte mergedCount[SHARDS];
byte mergedVersion[SHARDS];
bool wrongRequest = false;
byte coverage = 0;
bool finished = false;
byte sent = 0;

proctype Target(byte shard; byte me) {
  byte request = 1;
  /* The target can load the new version before it serves the call, and the call can belong to another query. */
  if :: version[me] = 1 :: version[me] = 2 fi;
  if :: request = 1 :: request = 2 fi;
  if
  :: answers!shard, version[me], request
  :: skip /* lost */
  fi
}

proctype Entry() {
  byte shard, answerVersion, request; byte i = 0;
  do
  :: i < SHARDS -> run Target(i, i * REPLICAS); sent++;
     if
     :: run Target(i, i * REPLICAS + 1) /* hedge */
     :: skip
     fi;
     i++
  :: else -> break
  od;
  do
  :: answers?shard, answerVersion, request ->
     if
#ifndef NO_REQUEST
     :: request != 1 -> skip
#endif
#ifndef NO_VERSION
     :: answerVersion != 1 -> skip
#endif
#ifndef NO_MERGED
     :: mergedCount[shard] > 0 -> skip
#endif
     :: else ->
        mergedCount[shard]++; mergedVersion[shard] = answerVersion;
        wrongRequest = wrongRequest || request != 1
     fi
  :: true -> break /* deadline, or all shards are merged */
  od;
#ifdef COUNT_SENT
  coverage = sent;
#else
  coverage = (mergedCount[0] > 0) + (mergedCount[1] > 0);
#endif
  finished = true
}

init { run Entry() }

ltl sameRequest { [] !wrongRequest }
ltl notDoubled { [] (mergedCount[0] <= 1 && mergedCount[1] <= 1) }
ltl oneSnapshot { [] ((mergedVersion[0] == 0 || mergedVersion[0] == 1) && (mergedVersion[1] == 0 || mergedVersion[1] == 1)) }
ltl trueCoverage { [] (finished -> (coverage == (mergedCount[0] > 0) + (mergedCount[1] > 0))) }
