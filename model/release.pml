/* Acceptance of release notes.
 *
 * Two operators submit one note each, the first at two entry VMs at once. Updates of the head are conditional on its version.
 * Their answers can be lost, and an update without an answer can still take effect later. An acceptor can give up.
 *
 * Broken variants, each without one rule:
 *   NO_ID_CHECK    an acceptor does not look for its note in the head before it proposes the note again
 *   UNCONDITIONAL  the head is updated whatever its version
 *   EARLY_SETTLE   an update without an answer counts as failed once the head has been read again
 */
#define NOTES 2
#define ACCEPTORS 3
#define TRIES 2

byte headVersion = 1;      /* incremented by each update; the head's release is headVersion - 1 */
bool accepted[NOTES];      /* the notes in the head */
byte applied[NOTES];       /* how many times each note took effect */

/* Delayed updates that can still take effect: the expected version plus 1, or 0 for none. */
byte pending[ACCEPTORS];
byte pendingNote[ACCEPTORS];
bool refused[NOTES];       /* an operator was told definitely that the note is not accepted */

inline update(note, expected, succeeded) {
  succeeded = false;
  if
#ifdef UNCONDITIONAL
  :: true ->
#else
  :: headVersion == expected ->
#endif
     /* The proposal is based on the head that was read; notes accepted since then would be lost. */
     if
     :: headVersion != expected -> accepted[1 - note] = false
     :: else
     fi;
     headVersion++; accepted[note] = true; applied[note]++; succeeded = true
#ifndef UNCONDITIONAL
  :: else
#endif
  fi
}

proctype Acceptor(byte me; byte note) {
  byte version; byte tries = 0; bool succeeded; bool stop = false; byte unconfirmed = 0; bool seen;
  do
  :: stop -> break
  :: !stop && tries == TRIES -> /* gives up */
     atomic {
       if
       :: unconfirmed == 0 -> refused[note] = refused[note] || !accepted[note];
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
     :: true -> unconfirmed = 0
#else
     :: unconfirmed != version -> unconfirmed = 0
     :: else
#endif
     fi;
     if
     :: atomic { true; update(note, version, succeeded); if :: succeeded -> stop = true :: else fi }  /* answered */
     :: atomic { true; update(note, version, succeeded); unconfirmed = version; succeeded = false }   /* answer lost */
     :: atomic { pending[me] = version + 1; pendingNote[me] = note; unconfirmed = version }           /* delayed */
     :: skip                                                                                          /* not sent */
     fi;
next: skip
  od
}

/* Delivers delayed updates at any time, or drops them. */
proctype Network() {
  byte i; bool succeeded;
end: do
  :: atomic { i = 0; do :: i < ACCEPTORS && pending[i] == 0 -> i++ :: else -> break od; i < ACCEPTORS ->
       update(pendingNote[i], pending[i] - 1, succeeded); pending[i] = 0 }
  :: atomic { i = 0; do :: i < ACCEPTORS && pending[i] == 0 -> i++ :: else -> break od; i < ACCEPTORS -> pending[i] = 0 }
  od
}

init {
  atomic {
    run Acceptor(0, 0); run Acceptor(1, 0); run Acceptor(2, 1);
    run Network()
  }
}

/* A note is accepted at most once, and an accepted note is never lost. */
ltl once { [] (applied[0] <= 1 && applied[1] <= 1) }
ltl kept { [] ((applied[0] == 0 || accepted[0]) && (applied[1] == 0 || accepted[1])) }
