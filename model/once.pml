/* At-most-once execution and the outcome "not run".
 *
 * A non-idempotent request is submitted at two entry VMs. Each claims it by a conditional create in the platform, whose answer
 * can be lost, and sends it to an owner, which sends it to the target. Entry VM and owner can crash or freeze at any point (a
 * freeze is an interleaving), messages can be lost, and calls can arrive late.
 *
 * Broken variants:
 *   NO_CLAIM        the request is sent without a claim
 *   TAKE_HELD       a claim that another VM holds counts as released
 *   RESEND          the call is sent again when its result is lost
 *   LOST_NOTRUN     a lost result is reported as "not run"
 *   RELEASE_LOST    a lost result releases the claim
 *   ASSUME_CREATED  a create without an answer counts as successful
 *   TRUST_REFUSAL   an answer that does not prove that the call has not run counts as a refusal
 */
#define SUBMISSIONS 2
#define FREE 0
#define HELD 1
#define RELEASED 2

#define NONE 0
#define RAN 1
#define NOTRUN 2
#define UNKNOWN 3

byte claim = FREE;
byte holder = 9;
byte runs = 0;
byte answer[SUBMISSIONS];
byte calls[SUBMISSIONS];   /* calls in flight to the target */
byte result[SUBMISSIONS];  /* 0 none, 1 ran, 2 proven not run */

/* The path through the owner to the target: the call can be refused before it runs, run, run late, or be lost. */
proctype Path(byte me) {
end: do
  :: calls[me] > 0 -> atomic {
       calls[me]--;
       if
       :: runs++; result[me] = 1            /* ran and answered */
       :: runs++                            /* ran, answer lost */
       :: result[me] = 2                    /* refused before it ran */
#ifdef TRUST_REFUSAL
       :: runs++; result[me] = 2            /* ran; a proxy's 503, or an outcome that the entry VM does not know */
#endif
       :: skip                              /* owner crashed or unreachable */
       fi }
  od
}

proctype Entry(byte me) {
  byte tries = 0; bool claimed = false;
  if
  :: skip                                   /* no crash */
  :: goto crashed
  fi;
#ifdef NO_CLAIM
  claimed = true;
#else
  do
  :: claimed -> break
  :: !claimed && tries == 3 -> answer[me] = UNKNOWN; goto done
  :: !claimed && tries < 3 -> tries++;
     if
     :: atomic { /* create or take over, answered */
          true;
          if
          :: claim == FREE || claim == RELEASED -> claim = HELD; holder = me; claimed = true
#ifdef TAKE_HELD
          :: claim == HELD && holder != me -> holder = me; claimed = true
#else
          :: claim == HELD && holder != me -> answer[me] = UNKNOWN
#endif
          :: claim == HELD && holder == me -> claimed = true
          fi }
     :: atomic { /* took effect or was refused, answer lost */
          true;
          if
          :: claim == FREE || claim == RELEASED -> claim = HELD; holder = me
          :: else
          fi;
#ifdef ASSUME_CREATED
          claimed = true
#endif
        }
     :: skip /* not sent */
     fi;
     if :: answer[me] == UNKNOWN -> goto done :: else fi
  od;
#endif
  if
  :: skip
  :: goto crashed                           /* crash after the claim */
  fi;
  calls[me]++;
  do
  :: result[me] == 1 -> answer[me] = RAN; break
  :: result[me] == 2 ->
     if
     :: atomic { holder == me -> claim = RELEASED }; answer[me] = NOTRUN
     :: answer[me] = NOTRUN;                          /* the platform does not answer in time */
        if
        :: atomic { claim == HELD && holder == me -> claim = RELEASED } /* released later */
        :: skip                                                         /* the claim stays held */
        fi
     fi;
     break
  :: true -> /* deadline, or the link to the owner broke */
#ifdef LOST_NOTRUN
     answer[me] = NOTRUN;
#else
     answer[me] = UNKNOWN;
#endif
#ifdef RESEND
     if :: tries < 4 -> tries = 4; calls[me]++; goto waitAgain :: else fi;
#endif
#ifdef RELEASE_LOST
     atomic { if :: holder == me -> claim = RELEASED :: else fi };
#endif
     break;
#ifdef RESEND
waitAgain: skip
#endif
  od;
  goto done;
crashed: skip;
done: skip
}

init { atomic { run Entry(0); run Entry(1); run Path(0); run Path(1) } }

ltl atMostOnce { [] (runs <= 1) }
/* If both submissions end as "not run", the request has not run and never will. */
ltl allNotRun { [] ((answer[0] == NOTRUN && answer[1] == NOTRUN) -> (runs == 0)) }
/* If a submission ends as "not run", its own call has not run and never will. Checked for submission 0; both are alike. */
ltl ownNotRun0 { [] (answer[0] == NOTRUN -> (calls[0] == 0 && result[0] != 1)) }
