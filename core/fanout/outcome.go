package fanout

// Outcome is how a call ended. Its values also travel between entry VMs.
type Outcome string

// Call outcomes.
const (
	Answered        Outcome = "answered"    // the target processed the call and responded
	Failed          Outcome = "failed"      // the target processed the call and reported an application error
	Refused         Outcome = "refused"     // the target rejected the call without processing it
	Displaced       Outcome = "displaced"   // another target now uses the address; the call was not processed
	NotSent         Outcome = "notSent"     // nothing was sent
	ConnectionLimit Outcome = "crowded"     // the target accepts no more connections; nothing was sent
	NoCapacity      Outcome = "noRoom"      // no spare connection to the target, or a relay refused or has no target for the part; nothing was sent
	Unreached       Outcome = "unreached"   // the relay does not reach the failure domain of the target; nothing was sent
	Unpaid          Outcome = "noBudget"    // the relay's own budget of extra calls does not allow the call; nothing was sent
	Lost            Outcome = "lost"        // the connection broke; the call may have been processed
	Undelivered     Outcome = "undelivered" // given up before the machine of the target or relay had acknowledged any of it; processed only if acknowledgements were lost
	InvalidResponse Outcome = "spoilt"      // the response was unusable; the call may have been processed
)

// possiblyRan reports whether the target may have processed a call with this outcome. A peer may report an outcome that this build does not know.
func (outcome Outcome) possiblyRan() bool {
	switch outcome {
	case Refused, Displaced, NotSent, ConnectionLimit, NoCapacity, Unreached, Unpaid:
		return false
	}
	return true
}

// concernsPath reports whether a call with this outcome has not reached the target, so that it may reach it on another path.
func (outcome Outcome) concernsPath() bool {
	return outcome == NotSent || outcome == ConnectionLimit || outcome == NoCapacity || outcome == Unreached
}
