/* How the VMs of a failure domain choose who watches the store.
 *
 * Three VMs, in order of preference for watching the store, crash, restart, lose access to the store and regain it. A VM follows
 * a preferred VM that has access and otherwise watches the store itself. A VM without access follows any VM that has it. Once the
 * faults end and some running VM has access, every running VM receives store updates infinitely often.
 *
 * Time is counted in turns of each VM; the turns of different VMs interleave in any order. A VM receives an update in each of its
 * turns while its source is alive, watches the store and has access.
 *
 * Broken variants:
 *   KEEP_SILENT  a VM keeps a source that no longer sends
 *   ANY_MESSAGE  any message counts as an update, also from a source without access to the store
 *   BETTER_ONLY  a VM without access follows only VMs that are preferred to it
 *   NO_RETURN    a source that was dropped once is never tried again
 */
#define N 3
#define NONE 3
#define MAX_SILENT_TURNS 2  /* turns without a message until a source is dropped */
#define GRACE_TURNS 1       /* turns without a message from a new source until a VM watches the store itself as well */
#define AVOID_TURNS 3       /* turns until a dropped source is tried again */
#define FAULTS 2

bool alive[N] = true, storeReachable[N] = true; /* storeReachable: the store answers this VM */
bool watching[N], heard[N], failing[N];
byte source[N] = NONE, silentTurns[N];
byte avoidTurns[9]; /* turns left, indexed by VM * N + source */
byte faults = FAULTS;
bool faultsEnded = false;

#define canServe(j) (alive[j] && watching[j] && storeReachable[j])
#define receivesUpdates(i) (!alive[i] || (watching[i] && storeReachable[i]) || (source[i] != NONE && heard[i] && canServe(source[i])))
#define storeAvailable ((alive[0] && storeReachable[0]) || (alive[1] && storeReachable[1]) || (alive[2] && storeReachable[2]))
#define allReceiveUpdates (receivesUpdates(0) && receivesUpdates(1) && receivesUpdates(2))

ltl eventuallyUpdated { [] ((faultsEnded && storeAvailable) -> <> allReceiveUpdates) }

inline dropSource(i) {
  avoidTurns[i*N + source[i]] = AVOID_TURNS;
  source[i] = NONE; heard[i] = false; silentTurns[i] = 0
}

inline receive(i) {
  if
  :: source[i] == NONE -> skip
#ifdef ANY_MESSAGE
  :: source[i] != NONE && alive[source[i]] -> heard[i] = true; silentTurns[i] = 0
#else
  :: source[i] != NONE && canServe(source[i]) -> heard[i] = true; silentTurns[i] = 0
  :: source[i] != NONE && alive[source[i]] && !canServe(source[i]) ->
     if
     :: heard[i] || silentTurns[i] >= MAX_SILENT_TURNS -> dropSource(i)
     :: else -> silentTurns[i]++
     fi
#endif
  :: source[i] != NONE && !alive[source[i]] ->
#ifdef KEEP_SILENT
     skip
#else
     if
     :: silentTurns[i] >= MAX_SILENT_TURNS -> dropSource(i)
     :: else -> silentTurns[i]++
     fi
#endif
  fi
}

inline chooseSource(i) {
  if
  :: failing[i] && source[i] != NONE && heard[i] -> skip
  :: else ->
     pick = NONE;
     for (j : 0 .. N-1) {
       if
       :: pick == NONE && j != i && avoidTurns[i*N + j] == 0 && (j < i
#ifndef BETTER_ONLY
          || failing[i]
#endif
          ) -> pick = j
       :: else -> skip
       fi
     }
     if
     :: pick != source[i] -> source[i] = pick; heard[i] = false; silentTurns[i] = 0
     :: else -> skip
     fi
  fi
}

proctype VM(byte i) {
  byte pick, j;
end:
  do
  :: alive[i] -> d_step {
       for (j : 0 .. N-1) {
         if
#ifndef NO_RETURN
         :: avoidTurns[i*N + j] > 0 -> avoidTurns[i*N + j]--
#endif
         :: else -> skip
         fi
       }
       receive(i);
       chooseSource(i);
       watching[i] = (!heard[i] && (watching[i] || silentTurns[i] >= GRACE_TURNS)) || source[i] == NONE || source[i] > i;
       if
       :: watching[i] -> failing[i] = !storeReachable[i]
       :: else -> skip
       fi;
       pick = 0; j = 0
     }
  od
}

proctype Environment() {
  byte i;
  do
  :: faults > 0 -> atomic {
       faults--;
       select (i : 0 .. N-1);
       if
       :: alive[i] -> alive[i] = false
       :: !alive[i] -> alive[i] = true; watching[i] = false; heard[i] = false; failing[i] = false; source[i] = NONE; silentTurns[i] = 0;
          avoidTurns[i*N] = 0; avoidTurns[i*N+1] = 0; avoidTurns[i*N+2] = 0
       :: storeReachable[i] = !storeReachable[i]
       fi;
       i = 0
     }
  :: faultsEnded = true; break
  od
}

init { atomic { run VM(0); run VM(1); run VM(2); run Environment() } }
