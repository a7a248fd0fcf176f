/* Planned stop of an entry VM and draining of a target.
 *
 * A balancer sends requests to the entry VM until its health check has shown that the VM is stopping. A peer sends it
 * batches as an owner until it has heard the farewell. The VM ends when it has waited for both and nothing is in flight.
 * A target that drains refuses new calls; its owner learns that from the refusal, whatever list and health say.
 *
 * Broken variants:
 *   CLOSE_EARLY     the VM ends while requests are in flight
 *   NO_WAIT         the VM ends before the balancer and the peers have turned away
 *   KEEP_OWNING     peers go on sending batches after the farewell
 *   IGNORE_REFUSAL  the owner goes on sending calls to a target that refused one as draining
 */
#define REQUESTS 3

bool stopping = false;
bool ended = false;
bool balancerKnows = false;
bool peerKnows = false;
byte inFlight = 0;
byte cut = 0;

bool draining = false;
bool ownerKnows = false;
byte refused = 0;       /* calls that a draining target had to refuse */

proctype Balancer() {
  byte sent = 0;
end: do
  :: sent < REQUESTS && !balancerKnows -> atomic { sent++; if :: ended -> cut++ :: else -> inFlight++ fi }
  :: stopping && !balancerKnows -> balancerKnows = true
  od
}

proctype Peer() {
  byte sent = 0;
end: do
#ifdef KEEP_OWNING
  :: sent < REQUESTS -> atomic { sent++; if :: ended -> cut++ :: else -> inFlight++ fi }
#else
  :: sent < REQUESTS && !peerKnows -> atomic { sent++; if :: ended -> cut++ :: else -> inFlight++ fi }
#endif
  :: stopping && !peerKnows -> peerKnows = true
  od
}

proctype VM() {
  do
  :: inFlight > 0 -> inFlight--
  :: !stopping -> stopping = true
  :: stopping ->
     atomic {
#ifdef NO_WAIT
       inFlight == 0 ->
#else
#ifdef CLOSE_EARLY
       balancerKnows && peerKnows ->
#else
       balancerKnows && peerKnows && inFlight == 0 ->
#endif
#endif
       ended = true; cut = cut + inFlight; break
     }
  od
}

proctype Owner() {
  byte calls = 0;
  do
  :: calls == REQUESTS -> break
  :: calls < REQUESTS -> calls++;
     if
     :: ownerKnows -> skip
     :: !ownerKnows -> atomic {
          if
          :: draining -> refused++;
#ifndef IGNORE_REFUSAL
             ownerKnows = true
#endif
          :: else
          fi }
     fi
  od
}

proctype Drain() { draining = true }

init { atomic { run Balancer(); run Peer(); run VM(); run Owner(); run Drain() } }

ltl nothingCut { [] (cut == 0) }
ltl refusedOnce { [] (refused <= 1) }
