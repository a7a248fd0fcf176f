/* Acceptance of release notes.
 *
 * Two operators submit one note each, the first through two entry VMs at once. Updates of the head are conditional on
 * its version; their answers can be lost, and an update without an answer can still take effect later. An acceptor can
 * give up.
 *
 * Broken variants, each the omission of one rule:
 *   NO_ID_CHECK    an acceptor does not look for its note in the head before it proposes it again
 *   UNCONDITIONAL  the head is replaced whatever its version
 *   EARLY_SETTLE   an update without an answer counts as failed once the head was read again
 */
#define NOTES 2
#define ACCEPTORS 3
#define TRIES 2

byte headVersion = 1;      /* grows with each update; the release in the head is headVersion - 1 */
bool accepted[NOTES];      /* the notes in the head */
byte applied[NOTES];       /* how often each note took effect */

/* Updates without an answer that may still take effect: version expected plus 1, or 0. */
byte pending[ACCEPTORS];
byte pendingNote[ACCEPTORS];
bool refused[NOTES];       /* an operator was told that the note was surely not accepted */

inline update(note, expected, took) {
  took = false;
  if
#ifdef UNCONDITIONAL
  :: true ->
#else
  :: headVersion == expected ->
#endif
     /* The proposal was made from the head that was read: other notes accepted since would be lost. */
     if
     :: headVersion != expected -> accepted[1 - note] = false
     :: else
     fi;
     headVersion++; accepted[note] = true; applied[note]++; took = true
#ifndef UNCONDITIONAL
  :: else
#endif
  fi
}

proctype Acceptor(byte me; byte note) {
  byte version; byte tries = 0; bool took; bool stop = false; byte unsure = 0; bool seen;
  do
  :: stop -> break
  :: !stop && tries == TRIES -> /* gives up */
     atomic {
       if
       :: unsure == 0 -> refused[note] = refused[note] || !accepted[note];
          assert(!(refused[note] && pending[me] == headVersion + 1 && pendingNote[me] == note))
       :: else
       fi;
       stop = true
     }
  :: !stop && tries < TRIES ->
     tries++;
     atomic { version = headVersion; seen = accepted[note]; }
#ifndef NO_ID_CHECK
     if
     :: seen -> stop = true; goto next
     :: else
     fi;
#endif
     if
#ifdef EARLY_SETTLE
     :: true -> unsure = 0
#else
     :: unsure != version -> unsure = 0
     :: else
#endif
     fi;
     if
     :: atomic { true; update(note, version, took); if :: took -> stop = true :: else fi }  /* answered */
     :: atomic { true; update(note, version, took); unsure = version; took = false }        /* answer lost */
     :: atomic { pending[me] = version + 1; pendingNote[me] = note; unsure = version }     /* delayed */
     :: skip                                                                           /* not sent */
     fi;
next: skip
  od
}

/* Delivers delayed updates, at any time or never. */
proctype Network() {
  byte i; bool took;
end: do
  :: atomic { i = 0; do :: i < ACCEPTORS && pending[i] == 0 -> i++ :: else -> break od; i < ACCEPTORS ->
       update(pendingNote[i], pending[i] - 1, took); pending[i] = 0 }
  :: atomic { i = 0; do :: i < ACCEPTORS && pending[i] == 0 -> i++ :: else -> break od; i < ACCEPTORS -> pending[i] = 0 }
  od
}

init {
  atomic {
    run Acceptor(0, 0); run Acceptor(1, 0); run Acceptor(2, 1);
    run Network()
  }
}

/* Accepted at most once, never lost again. */
ltl once { [] (applied[0] <= 1 && applied[1] <= 1) }
ltl kept { [] ((applied[0] == 0 || accepted[0]) && (applied[1] == 0 || accepted[1])) }
