/* Planned stop of an entry VM, and draining of a target.
 *
 * A load balancer sends requests to the entry VM until a health check reports that the VM is stopping. A peer sends it batches, as
 * to an owner, until it has received the VM's leave message. The VM exits once it has waited for both and nothing is in flight.
 * A draining target refuses new calls; its owner learns of the drain from a refusal, whatever the platform's list and the health
 * check report.
 *
 * Broken variants:
 *   CLOSE_EARLY     the VM exits while requests are in flight
 *   NO_WAIT         the VM exits before the load balancer and the peers have stopped sending
 *   KEEP_SENDING    peers keep sending batches after the leave message
 *   IGNORE_REFUSAL  the owner keeps sending calls to a target that has refused one as draining
 */
#define REQUESTS 3

bool stopping = false;
bool ended = false;
bool balancerKnows = false;
bool peerKnows = false;
byte inFlight = 0;
byte lostRequests = 0;

bool draining = false;
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

proctype Drain() { draining = true }

init { atomic { run Balancer(); run Peer(); run VM(); run Owner(); run Drain() } }

ltl noneLost { [] (lostRequests == 0) }
ltl refusedOnce { [] (refused <= 1) }
