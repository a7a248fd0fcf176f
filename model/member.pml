/* Membership: incarnations, suspicion and refutation.
 *
 * Two observers hold views of one member and exchange them in any order. The member can be suspected although it is up (frozen,
 * or unreachable from one observer), and it can restart with a higher incarnation. Once the events end and the updates have
 * spread, both observers hold the member as up.
 *
 * Broken variants:
 *   NO_REFUTE  a member does not raise its incarnation when it learns that it is held to be suspect or dead
 *   LAST_WINS  the last update received wins, whatever its incarnation
 */
#define UP 0
#define SUSPECT 1
#define DEAD 2

byte incarnation = 1;      /* of the member */
byte viewIncarnation[2];   /* incarnation in each view */
byte viewState[2];         /* state in each view */
byte suspicions = 0;       /* number of suspicions so far */
byte staleDelivered = 0;   /* stale updates delivered so far */
bool regressed = false;    /* a view returned to an older incarnation */

#define supersedes(received, receivedState, known, knownState) (received > known || (received == known && receivedState > knownState))

inline merge(observer, received, receivedState) {
  if
#ifdef LAST_WINS
  :: true ->
#else
  :: supersedes(received, receivedState, viewIncarnation[observer], viewState[observer]) ->
#endif
     regressed = regressed || received < viewIncarnation[observer];
     viewIncarnation[observer] = received; viewState[observer] = receivedState
#ifndef LAST_WINS
  :: else
#endif
  fi
}

proctype Observer(byte me) {
end: do
  :: atomic { suspicions < 2 && viewState[me] == UP && viewIncarnation[me] > 0 -> suspicions++; viewState[me] = SUSPECT }
  :: atomic { viewState[me] == SUSPECT -> viewState[me] = DEAD }
  /* A stale update from the member's first incarnation arrives. */
  :: atomic { staleDelivered < 2 && viewIncarnation[me] > 1 -> staleDelivered++; merge(me, 1, UP) }
  /* The observer merges the other observer's view if that is newer. */
  :: atomic { supersedes(viewIncarnation[1 - me], viewState[1 - me], viewIncarnation[me], viewState[me]) ->
       merge(me, viewIncarnation[1 - me], viewState[1 - me]) }
  /* A probe: the member receives the observer's view of it, refutes it if it is false, and answers with its own incarnation. */
  :: atomic { viewIncarnation[me] < incarnation -> merge(me, incarnation, UP) }
#ifndef NO_REFUTE
  :: atomic { viewState[me] != UP && viewIncarnation[me] == incarnation -> incarnation++; merge(me, incarnation, UP) }
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
  timeout -> assert(viewState[0] == UP && viewState[1] == UP && viewIncarnation[0] == incarnation && viewIncarnation[1] == incarnation)
}

init { atomic { run Observer(0); run Observer(1); run Member(); run Monitor() } }

/* A view never returns to an older incarnation. Monitor checks that both views show the member as up once no process can take a step. */
ltl monotonic { [] !regressed }
