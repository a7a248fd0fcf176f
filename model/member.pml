/* Membership: incarnations, suspicion and refutation.
 *
 * Two observers hold views of one member and pass them on in any order. The member can be suspected although it is up
 * (frozen, or cut off from one observer), and it can restart with a higher incarnation. When the events are over and the
 * news has spread, both observers see the member up.
 *
 * Broken variants:
 *   NO_REFUTE       a member that hears that it is dead does not raise its incarnation
 *   LAST_WINS       the last news wins, whatever its incarnation
 */
#define UP 0
#define SUSPECT 1
#define DEAD 2

byte incarnation = 1;          /* of the member */
byte seen[2];                  /* incarnation in each view */
byte state[2];                 /* state in each view */
byte doubts = 0;               /* suspicions so far */
byte late = 0;                 /* old news delivered so far */
bool backward = false;         /* a view went back to an older incarnation */

#define newer(news, newState, known, knownState) (news > known || (news == known && newState > knownState))

inline learn(who, news, newState) {
  if
#ifdef LAST_WINS
  :: true ->
#else
  :: newer(news, newState, seen[who], state[who]) ->
#endif
     backward = backward || news < seen[who];
     seen[who] = news; state[who] = newState
#ifndef LAST_WINS
  :: else
#endif
  fi
}

proctype Observer(byte me) {
end: do
  :: atomic { doubts < 2 && state[me] == UP && seen[me] > 0 -> doubts++; state[me] = SUSPECT }
  :: atomic { state[me] == SUSPECT -> state[me] = DEAD }
  /* News that was on its way since the member's first incarnation arrives late. */
  :: atomic { late < 2 && seen[me] > 1 -> late++; learn(me, 1, UP) }
  /* The observer takes what the other holds, where that is news. */
  :: atomic { newer(seen[1 - me], state[1 - me], seen[me], state[me]) -> learn(me, seen[1 - me], state[1 - me]) }
  /* A probe: the member hears what the observer holds of it, refutes what is false, and its answer carries its own word. */
  :: atomic { seen[me] < incarnation -> learn(me, incarnation, UP) }
#ifndef NO_REFUTE
  :: atomic { state[me] != UP && seen[me] == incarnation -> incarnation++; learn(me, incarnation, UP) }
#endif
  od
}

proctype Member() {
  if
  :: atomic { incarnation = incarnation + 1 } /* restart */
  :: skip
  fi
}

proctype Monitor() {
  timeout -> assert(state[0] == UP && state[1] == UP && seen[0] == incarnation && seen[1] == incarnation)
}

init { atomic { run Observer(0); run Observer(1); run Member(); run Monitor() } }

/* A view never goes back to an older incarnation; when nothing moves any more, both show the member up (Monitor). */
ltl forward { [] !backward }
