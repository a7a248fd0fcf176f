/* Planned stop of an entry VM, and draining of a target.
 *
 * A load balancer sends requests to the entry VM until a health check reports that the VM is stopping. A peer sends it batches, as
 * to an owner, until it has received the VM's leave message. The VM exits once it has waited for both and nothing is in flight.
 * A draining target refuses new calls; its owner learns of the drain from a refusal, whatever the platform's list and the health
 * check report. The drain may be taken back: the owner calls the target again when the health check reports that it serves, if the
 * check has reported the drain. The health check of some targets reports serving throughout.
 *
 * Broken variants:
 *   CLOSE_EARLY     the VM exits while requests are in flight
 *   NO_WAIT         the VM exits before the load balancer and the peers have stopped sending
 *   KEEP_SENDING    peers keep sending batches after the leave message
 *   IGNORE_REFUSAL  the owner keeps sending calls to a target that has refused one as draining
 *   TRUST_HEALTH    the owner believes a health check that has not reported the drain
 *   KEEP_LEAVING    the owner does not call a target again whose drain has ended
 */
#define REQUESTS 3

bool stopping = false;
bool ended = false;
bool balancerKnows = false;
bool peerKnows = false;
byte inFlight = 0;
byte lostRequests = 0;

bool draining = false;
bool healthLies = false;
bool drainSeen = false;  /* in the health check */
bool ownerKnows = false;
byte refused = 0;       /* calls that the draining target refused */

proctype Balancer() {
  byte sent = 0;
end: do
  :: sent < REQUESTS && !balancerKnows -> atomic { sent++; if :: ended -> lostRequests++ :: else -> inFlight++ fi }
  :: stopping && !balancerKnows -> balancerKnows = true
  od
}

proctype Peer() {
  byte sent = 0;
end: do
#ifdef KEEP_SENDING
  :: sent < REQUESTS -> atomic { sent++; if :: ended -> lostRequests++ :: else -> inFlight++ fi }
#else
  :: sent < REQUESTS && !peerKnows -> atomic { sent++; if :: ended -> lostRequests++ :: else -> inFlight++ fi }
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
       ended = true; lostRequests = lostRequests + inFlight; break
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

proctype HealthCheck() {
end: do
  :: draining && !healthLies -> drainSeen = true
#ifdef TRUST_HEALTH
  :: (!draining || healthLies) && ownerKnows -> atomic { drainSeen = false; ownerKnows = false }
#else
#ifndef KEEP_LEAVING
  :: (!draining || healthLies) && drainSeen -> atomic { drainSeen = false; ownerKnows = false }
#endif
#endif
  od
}

proctype Drain() { draining = true; if :: draining = false :: skip fi }

init {
  if :: healthLies = true :: skip fi;
  atomic { run Balancer(); run Peer(); run VM(); run Owner(); run HealthCheck(); run Drain() }
}

ltl noneLost { [] (lostRequests == 0) }
ltl refusedOnce { [] (refused <= 1) }
ltl usedAgain { [] (drainSeen && !draining -> <> !ownerKnows) }
