package fanout

import (
	"time"

	"poplarpin.dev/core/place"
)

// minOffloadedHedges is the number of hedges from which on a message to another VM takes less of the processor than the calls.
const minOffloadedHedges = 3

// shareHedges returns how many parts of a slow call this VM would hedge by itself, and whether larger VMs make the other hedges: those of a relayed
// call that need new connections. A new connection takes this VM several times the processor of a call; a larger VM next to the target calls it
// often, and most often has a connection to it.
func (run *Run) shareHedges(now time.Time, slow *call) (own int, offload bool) {
	connections := 0
	larger := slow.viaRelay && run.shared.Fleet.HasLargerRelay(now)
	for _, part := range slow.parts {
		if !run.canHedgePart(part) {
			continue
		}
		own++
		if !larger {
			continue
		}
		excluded := run.possibleTargets(slow, part)
		if alternative, ok := run.choose(now, part, excluded, excluded); ok && run.needsConnection(alternative) {
			connections++
		}
	}
	if connections < minOffloadedHedges {
		return own, false
	}
	return own - connections, true
}

// needsConnection reports whether this VM would open a connection for a call.
func (run *Run) needsConnection(chosen chosen) bool {
	return chosen.path == place.Direct && run.shared.Fleet.NeedsConnection(chosen.target.ID)
}

// offloadHedge has a larger VM next to a target make the hedge of a part, if it would need a new connection, and reports whether there is such a VM
// that answers.
func (run *Run) offloadHedge(now time.Time, part *partState, alternative chosen) bool {
	if !run.needsConnection(alternative) {
		return false
	}
	relay, ok := run.chooseRelay(now, part, alternative.target.FailureDomain)
	if !ok || !run.shared.Fleet.IsLarger(relay) || run.shared.Fleet.Stuck(now, relay.ID) {
		return false
	}
	if !run.forward(now, part, chosen{alternative.target, relay, place.Relayed}, ConnectionNeeded, "hedge") {
		return false
	}
	run.extraCalls++
	return true
}
