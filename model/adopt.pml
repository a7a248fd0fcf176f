/* Distribution and adoption of releases.
 *
 * The platform's head advances; its answers can be stale. Entry VMs get releases from the platform or from a peer in two steps
 * (first the head, then the parts), restart with empty memory, and can be unable to reach the platform.
 * Once no process can take a step, all VMs have the newest release if each reaches a peer that reaches the platform.
 *
 * Broken variants:
 *   ADOPT_ANY   a VM adopts any release that it receives, also an older one
 *   ADOPT_HALF  a VM puts a release in force before it has the parts
 *   NO_PULL     a VM does not pull releases from peers
 */
#define VMS 3
#define RELEASES 3

byte head = 0;
byte inForce[VMS];
byte headSeen[VMS];        /* release whose head was read from the platform and whose parts are being fetched; 0 for none */
byte pulled[VMS];          /* the same from a peer */
byte restarts = 0;
bool hasParts[VMS] = true;

proctype Platform() {
  do
  :: head < RELEASES -> head++
  :: else -> break
  od
}

inline adoptRelease(me, number) {
  before = inForce[me];
  if
#ifdef ADOPT_ANY
  :: true -> inForce[me] = number
#else
  :: number > inForce[me] -> inForce[me] = number
  :: else
#endif
  fi;
  assert(inForce[me] >= before)
}

/* VMs 0 and 1 reach the platform; VM 2 does not, but reaches VM 1. Each VM pulls from the VM before it. */
proctype VM(byte me) {
  byte before;
  byte peer = (me + VMS - 1) % VMS;
end: do
  :: me < 2 && headSeen[me] == 0 && inForce[me] < head -> atomic {
       headSeen[me] = head;
#ifdef ADOPT_HALF
       inForce[me] = head; hasParts[me] = false
#endif
     }
#ifndef NO_PULL
  :: pulled[me] == 0 && inForce[peer] > inForce[me] -> pulled[me] = inForce[peer]
#endif
  :: headSeen[me] > 0 -> atomic { adoptRelease(me, headSeen[me]); headSeen[me] = 0; hasParts[me] = true }
  :: pulled[me] > 0 -> atomic { adoptRelease(me, pulled[me]); pulled[me] = 0; hasParts[me] = true }
  :: restarts < 1 -> atomic { restarts++; inForce[me] = 0; headSeen[me] = 0; pulled[me] = 0; hasParts[me] = true }
  od
}

proctype Monitor() {
  timeout -> assert(inForce[0] == RELEASES && inForce[1] == RELEASES && inForce[2] == RELEASES)
}

init { atomic { run Platform(); run VM(0); run VM(1); run VM(2); run Monitor() } }

/* A release is in force with all its parts or not at all. */
ltl allOrNothing { [] (hasParts[0] && hasParts[1] && hasParts[2]) }
