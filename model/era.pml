/* How VMs follow a store that is restored from an older copy.
 *
 * The store holds a configuration, which has a version, and the entry of one target, whose writes are numbered: 1 registers it, 2
 * deletes it, and the last one registers it again or deletes it. A restore starts a new era with an older copy, and issues revisions
 * again. Two watchers list and watch the store. A subscriber gets updates from both, and any of them may arrive late. At the end the
 * operator writes a new configuration and the target's entry is written again.
 *
 * No VM serves an older configuration than before, or a target by an entry older than one that it has seen. Once nothing is left to
 * read or to send after the last writes, every VM serves what the store holds; that this is reached is not checked. Restarts of VMs are not part of the model: a VM that starts knows nothing that could go back.
 *
 * Bounds: two configurations before the last one, one deletion of the target, one restore, or two with -DRESTORES=2, of the first contents; one position
 * of a watch for both objects; one update with the target in flight from each watcher.
 *
 * Broken variants:
 *   REVISION_ONLY  revisions are compared across eras
 *   KEEP_WATCHING  a watch continues in a new era from the old revision
 *   NO_VERSION     a configuration of a newer position replaces one of a higher version
 *   TAKE_LISTED    a target that was seen deleted returns with the first list of an era
 *   ANY_ERA        a subscriber applies targets of a lower era
 *   NO_FULL_LIST   a subscriber enters an era with the changes after its old revision
 *   KEEP_STAMP     a deletion keeps its position of a lower era
 */
#ifndef RESTORES
#define RESTORES 1
#endif
#define VERSIONS 2
#define SUBSCRIBER 2

#define UNKNOWN 0
#define LIVE 1
#define DELETED 2
#define LAPSED 3

#ifdef REVISION_ONLY
#define after(e, r, otherE, otherR) ((r) > (otherR))
#else
#define after(e, r, otherE, otherR) ((e) > (otherE) || ((e) == (otherE) && (r) > (otherR)))
#endif

byte storeEra = 1, restores;
byte lastVersion = 1, lastNumber = 1; /* written so far */
byte storeRev = 2, storeVersion = 1, storeVersionRev = 1, storeNumber = 1, storeNumberRev = 2;
bool storeLive = true;
byte copiedRev, copiedVersion, copiedVersionRev, copiedNumber, copiedNumberRev;
bool copiedLive;
/* What each VM knows. */
byte viewEra[3], viewRev[3], viewFirst[3], viewVersion[3], viewVersionEra[3], viewVersionRev[3], viewState[3], viewNumber[3], viewStateEra[3], viewStateRev[3];
/* In flight from each watcher. */
byte updateEra[2], updateRev[2], updateFirst[2], updateState[2], updateNumber[2], updateStateEra[2], updateStateRev[2], since[2];
bool isFull[2];
bool done, wentBack, settled;

#define sameTarget(i) ((viewState[i] == LIVE && storeLive && viewNumber[i] == storeNumber) || (viewState[i] != LIVE && !storeLive))
#define equal(i) (viewVersion[i] == storeVersion && sameTarget(i))

ltl neverBack { [] !wentBack }
ltl settledEqual { [] (settled -> (done && equal(0) && equal(1) && equal(2))) }

inline takeCopy() {
  copiedRev = storeRev; copiedVersion = storeVersion; copiedVersionRev = storeVersionRev; copiedNumber = storeNumber; copiedNumberRev = storeNumberRev; copiedLive = storeLive
}

inline restoreCopy() {
  storeRev = copiedRev; storeVersion = copiedVersion; storeVersionRev = copiedVersionRev; storeNumber = copiedNumber; storeNumberRev = copiedNumberRev; storeLive = copiedLive
}

inline applyConfig(i, e, r, v) {
  if
  :: after(e, r, viewVersionEra[i], viewVersionRev[i]) ->
     viewVersionEra[i] = e; viewVersionRev[i] = r;
     if
#ifdef NO_VERSION
     :: v < viewVersion[i] -> wentBack = true; viewVersion[i] = v
#endif
     :: v > viewVersion[i] -> viewVersion[i] = v
     :: else -> skip
     fi
  :: else -> skip
  fi
}

/* Takes an entry or a deletion of the target. */
inline take(i, s, n, e, r) {
  if
  :: s == LIVE && n < viewNumber[i] -> wentBack = true
  :: else -> skip
  fi;
  viewState[i] = s; viewNumber[i] = n; viewStateEra[i] = e; viewStateRev[i] = r
}

inline change(i, s, n, e, r) {
  if
  :: after(e, r, viewStateEra[i], viewStateRev[i]) -> take(i, s, n, e, r)
  :: else -> skip
  fi
}

/* Enters an era with its first full list, in which the target is LIVE or missing. */
inline enterEra(i, e, r, f, s, n, nr) {
  viewEra[i] = e; viewRev[i] = r; viewFirst[i] = f;
  if
  :: s == LIVE && (nr > f || n > viewNumber[i]) -> change(i, s, n, e, nr)
#ifdef TAKE_LISTED
  :: s == LIVE && nr <= f && n <= viewNumber[i] -> take(i, s, n, e, nr)
#else
  :: s == LIVE && nr <= f && n <= viewNumber[i] ->
     if
     :: viewState[i] == DELETED -> viewStateEra[i] = e; viewStateRev[i] = f
     :: viewState[i] != DELETED && n < viewNumber[i] -> viewState[i] = LIVE; viewStateEra[i] = e; viewStateRev[i] = f
     :: else -> viewState[i] = LIVE; viewStateEra[i] = e; viewStateRev[i] = nr
     fi
#endif
  :: s != LIVE ->
     if
     :: viewState[i] == LIVE -> viewState[i] = LAPSED
     :: else -> skip
     fi;
#ifdef KEEP_STAMP
     if
     :: viewState[i] == LAPSED -> viewStateEra[i] = e; viewStateRev[i] = r
     :: else -> skip
     fi
#else
     viewStateEra[i] = e; viewStateRev[i] = r
#endif
  :: else -> skip
  fi
}

inline list(i) {
  applyConfig(i, storeEra, storeVersionRev, storeVersion);
  enterEra(i, storeEra, storeRev, storeRev, (storeLive -> LIVE : UNKNOWN), storeNumber, storeNumberRev)
}

proctype Watcher(byte i) {
end:
  do
#ifdef KEEP_WATCHING
  :: atomic { viewEra[i] == 0 || (viewEra[i] < storeEra && viewRev[i] > storeRev) -> list(i) }
  :: atomic { viewEra[i] > 0 && viewEra[i] < storeEra && viewRev[i] <= storeRev -> viewEra[i] = storeEra }
#else
  :: atomic { viewEra[i] < storeEra -> list(i) }
#endif
  :: atomic { viewEra[i] == storeEra && storeRev > viewRev[i] ->
       if
       :: storeVersionRev > viewRev[i] -> applyConfig(i, storeEra, storeVersionRev, storeVersion)
       :: else -> skip
       fi;
       if
       :: storeNumberRev > viewRev[i] -> change(i, (storeLive -> LIVE : DELETED), storeNumber, storeEra, storeNumberRev)
       :: else -> skip
       fi;
       viewRev[i] = storeRev
     }
  od
}

#define hasMore(w) (after(viewVersionEra[w], viewVersionRev[w], viewVersionEra[SUBSCRIBER], viewVersionRev[SUBSCRIBER]) || after(viewEra[w], viewRev[w], viewEra[SUBSCRIBER], viewRev[SUBSCRIBER]))

/* The updates of one watcher to the subscriber. */
proctype Link(byte w) {
  byte s;
end:
  do
  :: atomic { hasMore(w) -> /* the watcher answers a subscription */
       updateEra[w] = viewEra[w]; updateRev[w] = viewRev[w]; updateFirst[w] = viewFirst[w];
       applyConfig(SUBSCRIBER, viewVersionEra[w], viewVersionRev[w], viewVersion[w]);
       updateState[w] = viewState[w]; updateNumber[w] = viewNumber[w];
       updateStateEra[w] = viewStateEra[w]; updateStateRev[w] = viewStateRev[w];
       since[w] = viewRev[SUBSCRIBER];
       isFull[w] = viewRev[SUBSCRIBER] == 0;
#ifndef NO_FULL_LIST
       if
       :: viewEra[SUBSCRIBER] != viewEra[w] -> isFull[w] = true
       :: else -> skip
       fi;
#endif
     };
     atomic {
       if
#ifndef ANY_ERA
       :: updateEra[w] < viewEra[SUBSCRIBER] -> skip
#else
       :: updateEra[w] < viewEra[SUBSCRIBER] && updateState[w] == LIVE -> take(SUBSCRIBER, LIVE, updateNumber[w], updateStateEra[w], updateStateRev[w])
       :: updateEra[w] < viewEra[SUBSCRIBER] && updateState[w] != LIVE -> skip
#endif
       :: updateEra[w] > viewEra[SUBSCRIBER] && isFull[w] ->
          s = UNKNOWN;
          if
          :: updateState[w] == LIVE -> s = LIVE
          :: else -> skip
          fi;
          enterEra(SUBSCRIBER, updateEra[w], updateRev[w], updateFirst[w], s, updateNumber[w], updateStateRev[w])
       :: updateEra[w] > viewEra[SUBSCRIBER] && !isFull[w] ->
#ifdef NO_FULL_LIST
          viewEra[SUBSCRIBER] = updateEra[w];
          if
          :: updateStateRev[w] > since[w] -> change(SUBSCRIBER, updateState[w], updateNumber[w], updateStateEra[w], updateStateRev[w])
          :: else -> skip
          fi;
          viewRev[SUBSCRIBER] = updateRev[w]
#else
          skip
#endif
       :: updateEra[w] == viewEra[SUBSCRIBER] ->
          if
          :: updateStateEra[w] == updateEra[w] && (isFull[w] || updateStateRev[w] > since[w]) ->
             change(SUBSCRIBER, updateState[w], updateNumber[w], updateStateEra[w], updateStateRev[w])
          :: else -> skip
          fi;
          if
          :: updateRev[w] > viewRev[SUBSCRIBER] && (isFull[w] || since[w] <= viewRev[SUBSCRIBER]) -> viewRev[SUBSCRIBER] = updateRev[w]
          :: else -> skip
          fi
       fi;
       s = 0; isFull[w] = false; since[w] = 0;
       updateEra[w] = 0; updateRev[w] = 0; updateFirst[w] = 0;
       updateState[w] = 0; updateNumber[w] = 0; updateStateEra[w] = 0; updateStateRev[w] = 0
     }
  od
}

inline writeConfig() {
  lastVersion++; storeRev++; storeVersion = lastVersion; storeVersionRev = storeRev
}

inline writeTarget(isLive) {
  lastNumber++; storeRev++; storeNumber = lastNumber; storeNumberRev = storeRev; storeLive = isLive
}

proctype Environment() {
  do
  :: atomic { lastVersion < VERSIONS -> writeConfig() }
  :: atomic { lastNumber == 1 && storeLive -> writeTarget(false) }
  :: atomic { restores < RESTORES -> restores++; storeEra++; restoreCopy() }
  :: break
  od;
  atomic { writeConfig() };
  atomic {
    if
    :: writeTarget(true)
    :: storeLive -> writeTarget(false)
    fi;
    done = true
  }
}

/* Nothing is left to read, to send or to apply. */
proctype Observer() {
  timeout -> settled = true
}

init {
  atomic {
    takeCopy();
    run Watcher(0); run Watcher(1); run Link(0); run Link(1); run Environment(); run Observer()
  }
}
