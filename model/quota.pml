/* Loans of quota shares, and tokens.
 *
 * An owner lends its share to one of two pools at a time. A pool sends its clock reading; the owner renews the loan with the last reading
 * that it received (the echo). The pool may produce until echo + LOAN on its own clock. The owner takes its share back LOAN after its last
 * renewal, and only then lends to the other pool. A VM without a share asks a pool for a token with its own clock reading; the grant
 * echoes it, and the token may be used until that reading + TOKEN. Messages are lost, doubled, delayed and reordered; owner, pools and
 * VM restart without memory at any time; one VM at a time is suspended for any time, while its clock advances.
 *
 * Time is counted in ticks that all clocks advance by. Messages and rights hold the age of the reading that they refer to, or the ticks
 * left, so that the run is not bounded in time.
 *
 * Bounds: one share, one owner, two pools, a loan of 2 ticks, a token of 2; at most one reading from each pool in flight, two renewals to
 * each pool, one ask and two grants. Of a message beyond these one is lost. Clocks run at the same speed. Loans and tokens are explored
 * apart: a pool may grant a token at any time, whether it holds a loan or not.
 *
 * Broken variants:
 *   RECEIPT_TIME      a pool measures the loan from when it receives the renewal
 *   EARLY_RETURN      the owner takes its share back before the loan ends
 *   RESTART_PRODUCES  a restarted owner produces or lends at once
 *   CHANGE_EARLY      the owner lends to the other pool before the last loan has ended
 *   STOPPED_CLOCK     the clock of a VM stands still while it is suspended
 *   USE_LATE          a VM uses tokens after their end
 *   TOKEN_RECEIPT     a VM measures a token from when it receives the grant
 */
#define LOAN 2
#define TOKEN 2
#define POOLS 2
#define COPIES 2
#define NONE 9
#define OWNER 2  /* as suspended; pools are 0 and 1 */
#define VM 3

byte suspended = NONE;
bool usedLate = false;

/* Loans. Ages are in ticks, up to LOAN. */
byte reading[POOLS] = NONE;          /* age of the reading in flight from a pool to the owner */
byte known[POOLS] = NONE;            /* age of the last reading that the owner received from a pool */
byte renewal[4] = NONE;              /* age of the echo in flight to a pool, by pool * COPIES + copy */
byte lentTo = NONE, lentLeft = LOAN; /* the pool with the last loan, and the ticks until the owner takes its share back */
byte loanLeft[POOLS];                /* ticks for which a pool may produce */

/* Tokens. Ages are in ticks, up to TOKEN; of a token the age of the ask and that of its issue. */
byte ask = NONE;
byte grantAsked[COPIES] = NONE, grantIssued[COPIES];
byte tokenAsked = NONE, tokenIssued;

#ifdef STOPPED_CLOCK
#define clockRuns(vm) (suspended != vm)
#else
#define clockRuns(vm) true
#endif

#define ownerProduces (lentLeft == 0)
#define poolProduces(p) (loanLeft[p] > 0)

ltl producedOnce { [] !((ownerProduces && poolProduces(0)) || (ownerProduces && poolProduces(1)) || (poolProduces(0) && poolProduces(1))) }
ltl usedInTime { [] !usedLate }

inline age(at, limit) {
  if
  :: at < limit -> at++
  :: else
  fi
}

inline spend(left, vm) {
  if
  :: left > 0 && clockRuns(vm) -> left--
  :: else
  fi
}

/* suspend changes which VM is suspended. */
inline suspend(first, last) {
  if
  :: suspended != NONE -> suspended = NONE
  :: suspended == NONE -> select (i : first .. last); suspended = i
  fi;
  i = 0
}

inline lend(p) {
  renewal[p * COPIES + i] = known[p]; lentTo = p; lentLeft = LOAN
}

proctype Loans() {
  byte p, i;
  do
  :: atomic { /* time passes */
       age(reading[0], LOAN); age(reading[1], LOAN); age(known[0], LOAN); age(known[1], LOAN);
       age(renewal[0], LOAN); age(renewal[1], LOAN); age(renewal[2], LOAN); age(renewal[3], LOAN);
       spend(loanLeft[0], 0); spend(loanLeft[1], 1); spend(lentLeft, OWNER)
     }
  :: atomic { suspend(0, OWNER) }
  :: atomic { /* a pool sends its reading */
       select (p : 0 .. 1);
       if
       :: suspended != p -> reading[p] = 0
       :: else
       fi; p = 0
     }
  :: atomic { /* the owner receives a reading, and the message may be delivered again */
       select (p : 0 .. 1);
       if
       :: suspended != OWNER && reading[p] != NONE -> known[p] = reading[p];
          if
          :: reading[p] = NONE
          :: skip
          fi
       :: else
       fi; p = 0
     }
  :: atomic { /* the owner lends or renews */
       select (p : 0 .. 1); select (i : 0 .. 1);
       if
       :: suspended != OWNER && known[p] != NONE && (lentLeft == 0 || lentTo == p) -> lend(p)
#ifdef CHANGE_EARLY
       :: suspended != OWNER && known[p] != NONE && lentTo != NONE -> lend(p)
#endif
       :: else
       fi; p = 0; i = 0
     }
  :: atomic { /* a pool receives a renewal, and the message may be delivered again */
       select (p : 0 .. 1); select (i : 0 .. 1);
       if
       :: suspended != p && renewal[p * COPIES + i] != NONE ->
#ifdef RECEIPT_TIME
          loanLeft[p] = LOAN;
#else
          loanLeft[p] = (LOAN - renewal[p * COPIES + i] > loanLeft[p] -> LOAN - renewal[p * COPIES + i] : loanLeft[p]);
#endif
          if
          :: renewal[p * COPIES + i] = NONE
          :: skip
          fi
       :: else
       fi; p = 0; i = 0
     }
  :: atomic { /* a pool restarts */
       select (p : 0 .. 1); loanLeft[p] = 0; p = 0
     }
  :: atomic { /* the owner restarts */
       known[0] = NONE; known[1] = NONE; lentTo = NONE;
#ifdef RESTART_PRODUCES
       lentLeft = 0
#else
       lentLeft = LOAN /* it does not know when its last renewal was */
#endif
     }
#ifdef EARLY_RETURN
  :: atomic { lentLeft > 1 -> lentLeft = 0 }
#endif
  od
}

proctype Tokens() {
  byte i;
  do
  :: atomic { /* time passes */
       age(ask, TOKEN); age(grantAsked[0], TOKEN); age(grantAsked[1], TOKEN); age(grantIssued[0], TOKEN); age(grantIssued[1], TOKEN);
       if
       :: clockRuns(VM) -> age(tokenAsked, TOKEN)
       :: else
       fi;
       age(tokenIssued, TOKEN)
     }
  :: atomic { suspend(VM, VM) }
  :: atomic { suspended != VM -> ask = 0 }
  :: atomic { /* a pool grants a token; the ask may be delivered again */
       ask != NONE -> select (i : 0 .. 1); grantAsked[i] = ask; grantIssued[i] = 0; i = 0;
       if
       :: ask = NONE
       :: skip
       fi
     }
  :: atomic { /* the VM receives a grant, and the message may be delivered again */
       suspended != VM -> select (i : 0 .. 1);
       if
       :: grantAsked[i] != NONE ->
#ifdef TOKEN_RECEIPT
          tokenAsked = 0;
#else
          tokenAsked = grantAsked[i];
#endif
          tokenIssued = grantIssued[i];
          if
          :: grantAsked[i] = NONE; grantIssued[i] = 0
          :: skip
          fi
       :: else
       fi; i = 0
     }
  :: atomic { /* the VM uses its token, or discards it after its end */
       suspended != VM && tokenAsked != NONE ->
       if
#ifdef USE_LATE
       :: true -> usedLate = usedLate || tokenIssued >= TOKEN
#else
       :: tokenAsked < TOKEN -> usedLate = usedLate || tokenIssued >= TOKEN
       :: else
#endif
       fi;
       tokenAsked = NONE; tokenIssued = 0
     }
  :: atomic { /* the VM restarts */ tokenAsked = NONE; tokenIssued = 0 }
  od
}

init {
  if
  :: run Loans()
  :: run Tokens()
  fi
}
