package admit

import "time"

const (
	initialLimit         = 32.0                  // queries in flight
	minLimit             = 1.0                   // queries in flight
	maxLimit             = 4096.0                // queries in flight
	decreaseFactor       = 0.85                  // multiplies the limit on a sign of overload
	decreaseInterval     = 50 * time.Millisecond // minimum time between two decreases for one class
	minRetryAfter        = 100 * time.Millisecond
	retryAfterPerRefusal = 10 * time.Millisecond // added per recent refusal
	maxRetryAfter        = 5 * time.Second
)

// Class holds the admission settings of a request class.
type Class struct {
	Name            string
	Priority        int     // 0 is the highest priority
	GuaranteedShare float64 // fraction of the class's limit that higher classes can't use up
}

// classState is the admission state of one class.
type classState struct {
	class          Class
	limit          float64 // maximum queries in flight of this class and those of the same or a higher priority
	inFlight       int
	lastDecrease   time.Time
	recentRefusals float64 // incremented by each refusal, decremented by each admission
}

// Limiter adapts the number of queries in flight of each class to the capacity of a service's targets. It raises the limit additively
// while more than half of it is used, and lowers it multiplicatively on overload.
type Limiter struct {
	classes map[string]*classState
}

// New returns a limiter that starts each class at the initial limit.
func New() *Limiter { return &Limiter{classes: map[string]*classState{}} }

func (limiter *Limiter) state(class Class) *classState {
	found, ok := limiter.classes[class.Name]
	if !ok {
		found = &classState{limit: initialLimit}
		limiter.classes[class.Name] = found
	}
	found.class = class
	return found
}

// ClassLimits returns the limit of each class, for dumps.
func (limiter *Limiter) ClassLimits() map[string]float64 {
	limits := map[string]float64{}
	for name, state := range limiter.classes {
		limits[name] = state.limit
	}
	return limits
}

// InFlight returns the number of queries in flight of all classes.
func (limiter *Limiter) InFlight() int {
	sum := 0
	for _, state := range limiter.classes {
		sum += state.inFlight
	}
	return sum
}

// inFlightUpTo returns the number of queries in flight of a class and of those with the same or a higher priority.
func (limiter *Limiter) inFlightUpTo(class Class) int {
	sum := 0
	for _, state := range limiter.classes {
		if state.class.Priority <= class.Priority {
			sum += state.inFlight
		}
	}
	return sum
}

// Admit admits a query, or returns how long the caller should wait before it retries.
func (limiter *Limiter) Admit(class Class) (ok bool, retryAfter time.Duration) {
	state := limiter.state(class)
	guaranteed := float64(state.inFlight) < class.GuaranteedShare*state.limit
	if float64(limiter.inFlightUpTo(class)) >= state.limit && !guaranteed {
		state.recentRefusals++
		return false, min(maxRetryAfter, minRetryAfter+time.Duration(state.recentRefusals)*retryAfterPerRefusal)
	}
	state.recentRefusals = max(0, state.recentRefusals-1)
	state.inFlight++
	return true, 0
}

// Done records the end of a query. overloaded is true if targets refused part of it or kept it waiting too long.
func (limiter *Limiter) Done(now time.Time, class string, overloaded bool) {
	state, ok := limiter.classes[class]
	if !ok {
		return
	}
	competing := float64(limiter.inFlightUpTo(state.class))
	state.inFlight--
	if !overloaded {
		if competing > state.limit/2 {
			state.limit = min(maxLimit, state.limit+1/state.limit)
		}
		return
	}
	if now.Sub(state.lastDecrease) >= decreaseInterval {
		state.limit = max(minLimit, min(state.limit, competing)*decreaseFactor)
		state.lastDecrease = now
	}
}
