/* Retries of a non-idempotent request: two targets, and an entry VM that can be stopped between any of its steps.
 *
 * A call ends as not sent or refused by the target (both prove that it has not run and will not run), as answered, or as lost (the
 * target can run it, also later). The VM may send the request again only after such a proof, and may report "not run" only if every
 * call has ended with one.
 *
 * Broken variants:
 *   RESEND_LOST  a lost call is sent again
 *   HEDGE        a second target is called while the first call is open
 *   REFUSE_LOST  a request whose only call was lost is reported as not run
 *   REFUSE_OPEN  a request whose call is open at the deadline is reported as not run
 */
#define CALLS 2

mtype = { none, open, notRun, answered, lost };
mtype call[CALLS];
byte ran = 0;
bool refused = false;
bool gaveUp = false;

/* The target runs the call or not, at any time while the call is in flight. */
proctype Target(byte me) {
  if
  :: atomic { call[me] == open -> call[me] = notRun }             /* refused, or never sent */
  :: atomic { ran++; if :: call[me] == open -> call[me] = answered :: else -> skip fi }
  :: atomic { ran++; if :: call[me] == open -> call[me] = lost :: else -> skip fi }
  :: atomic { call[me] == open -> call[me] = lost } -> if :: ran++ :: skip fi /* runs after the connection broke */
  fi
}

proctype Entry() {
  byte sent = 0;
  call[0] = open; run Target(0); sent = 1;
  do
  :: sent == 1 && call[0] == notRun -> call[1] = open; run Target(1); sent = 2
#ifdef RESEND_LOST
  :: sent == 1 && call[0] == lost -> call[1] = open; run Target(1); sent = 2
#endif
#ifdef HEDGE
  :: sent == 1 && call[0] == open -> call[1] = open; run Target(1); sent = 2
#endif
  :: call[0] == answered || call[1] == answered -> break
  :: call[0] == notRun && (sent == 1 || call[1] == notRun) -> refused = true; break
  :: call[0] == lost || call[1] == lost ->
#ifdef REFUSE_LOST
     refused = true;
#else
     gaveUp = true;
#endif
     break
  :: call[0] == open || call[1] == open -> /* deadline */
#ifdef REFUSE_OPEN
     refused = true;
#else
     gaveUp = true;
#endif
     break
  od
}

init { call[0] = none; call[1] = none; run Entry() }

ltl runsOnce { [] (ran <= 1) }
ltl refusedTrue { [] !(refused && ran > 0) }
