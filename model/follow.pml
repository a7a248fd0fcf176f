/* Three VMs of a failure domain, in the order in which they are to watch the store, which crash, start again, lose the store
 * and regain it. Whoever finds no better VM that has the store watches itself; one that the store turns away learns from any
 * that has it. Once the failures end and some VM that runs has the store, all that run have news again and again.
 *
 * Time is counted in turns of each VM; turns of different VMs come in any order. A source that is watched and answers is heard
 * in each turn of its reader.
 *
 * Broken variants:
 *   KEEP_SILENT  a source that has fallen silent is kept
 *   ANY_WORD     a source counts as good though it has no store itself
 *   BETTER_ONLY  one that the store turns away asks only VMs that come before it
 *   NO_RETURN    a source that was avoided once is never tried again
 */
#define N 3
#define NONE 3
#define SILENT 2  /* turns without a word, after which a source is left */
#define GRACE 1   /* turns until the store is watched beside a new source */
#define AVOID 3   /* turns until a source that was left is tried again */
#define FAULTS 2

bool alive[N] = true, access[N] = true; /* access: the store answers this VM */
bool watch[N], heard[N], failing[N];
byte from[N] = NONE, quiet[N];
byte avoided[9]; /* by VM and source, turns left */
byte faults = FAULTS;
bool calm = false;

#define good(j) (alive[j] && watch[j] && access[j])
#define hasNews(i) (!alive[i] || (watch[i] && access[i]) || (from[i] != NONE && heard[i] && good(from[i])))
#define possible ((alive[0] && access[0]) || (alive[1] && access[1]) || (alive[2] && access[2]))
#define allNews (hasNews(0) && hasNews(1) && hasNews(2))

ltl news { [] ((calm && possible) -> <> allNews) }

inline leave(i) {
  avoided[i*N + from[i]] = AVOID;
  from[i] = NONE; heard[i] = false; quiet[i] = 0
}

inline listen(i) {
  if
  :: from[i] == NONE -> skip
#ifdef ANY_WORD
  :: from[i] != NONE && alive[from[i]] -> heard[i] = true; quiet[i] = 0
#else
  :: from[i] != NONE && good(from[i]) -> heard[i] = true; quiet[i] = 0
  :: from[i] != NONE && alive[from[i]] && !good(from[i]) ->
     if
     :: heard[i] || quiet[i] >= SILENT -> leave(i)
     :: else -> quiet[i]++
     fi
#endif
  :: from[i] != NONE && !alive[from[i]] ->
#ifdef KEEP_SILENT
     skip
#else
     if
     :: quiet[i] >= SILENT -> leave(i)
     :: else -> quiet[i]++
     fi
#endif
  fi
}

inline choose(i) {
  if
  :: failing[i] && from[i] != NONE && heard[i] -> skip
  :: else ->
     pick = NONE;
     for (j : 0 .. N-1) {
       if
       :: pick == NONE && j != i && avoided[i*N + j] == 0 && (j < i
#ifndef BETTER_ONLY
          || failing[i]
#endif
          ) -> pick = j
       :: else -> skip
       fi
     }
     if
     :: pick != from[i] -> from[i] = pick; heard[i] = false; quiet[i] = 0
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
         :: avoided[i*N + j] > 0 -> avoided[i*N + j]--
#endif
         :: else -> skip
         fi
       }
       listen(i);
       choose(i);
       watch[i] = (!heard[i] && (watch[i] || quiet[i] >= GRACE)) || from[i] == NONE || from[i] > i;
       if
       :: watch[i] -> failing[i] = !access[i]
       :: else -> skip
       fi;
       pick = 0; j = 0
     }
  od
}

proctype World() {
  byte i;
  do
  :: faults > 0 -> atomic {
       faults--;
       select (i : 0 .. N-1);
       if
       :: alive[i] -> alive[i] = false
       :: !alive[i] -> alive[i] = true; watch[i] = false; heard[i] = false; failing[i] = false; from[i] = NONE; quiet[i] = 0;
          avoided[i*N] = 0; avoided[i*N+1] = 0; avoided[i*N+2] = 0
       :: access[i] = !access[i]
       fi;
       i = 0
     }
  :: calm = true; break
  od
}

init { atomic { run VM(0); run VM(1); run VM(2); run World() } }
