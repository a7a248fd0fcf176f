/* Spread and adoption of releases.
 *
 * The platform's head moves on; its answers can lag. Entry VMs take releases from the platform or from each other, in two
 * steps (the head is seen, then the parts come), restart with an empty memory, and can be cut off from the platform.
 * At the end, when nothing moves any more and every VM reaches some peer that reaches the platform, all have the newest.
 *
 * Broken variants:
 *   ADOPT_ANY   a VM takes whatever release it is shown
 *   ADOPT_HALF  a VM puts a head in force before it has its parts
 *   NO_PULL     a VM does not take releases from peers
 */
#define VMS 3
#define RELEASES 3

byte head = 0;
byte inForce[VMS];
byte shown[VMS];        /* a head that the platform showed and whose parts are on their way; 0 for none */
byte pulled[VMS];       /* the same from a peer */
byte restarts = 0;
bool whole[VMS] = true;

proctype Platform() {
  do
  :: head < RELEASES -> head++
  :: else -> break
  od
}

inline adopt(me, number) {
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

/* VMs 0 and 1 reach the platform; VM 2 is cut off from it and reaches VM 1. Each takes from the VM before it. */
proctype VM(byte me) {
  byte before;
  byte peer = (me + VMS - 1) % VMS;
end: do
  :: me < 2 && shown[me] == 0 && inForce[me] < head -> atomic {
       shown[me] = head;
#ifdef ADOPT_HALF
       inForce[me] = head; whole[me] = false
#endif
     }
#ifndef NO_PULL
  :: pulled[me] == 0 && inForce[peer] > inForce[me] -> pulled[me] = inForce[peer]
#endif
  :: shown[me] > 0 -> atomic { adopt(me, shown[me]); shown[me] = 0; whole[me] = true }
  :: pulled[me] > 0 -> atomic { adopt(me, pulled[me]); pulled[me] = 0; whole[me] = true }
  :: restarts < 1 -> atomic { restarts++; inForce[me] = 0; shown[me] = 0; pulled[me] = 0; whole[me] = true }
  od
}

proctype Monitor() {
  timeout -> assert(inForce[0] == RELEASES && inForce[1] == RELEASES && inForce[2] == RELEASES)
}

init { atomic { run Platform(); run VM(0); run VM(1); run VM(2); run Monitor() } }

/* A release is in force whole or not at all. */
ltl wholeOrNot { [] (whole[0] && whole[1] && whole[2]) }
