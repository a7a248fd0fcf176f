package admit

import "time"

const (
	initialLimit     = 32.0                  // queries in flight
	minLimit         = 1.0                   // queries in flight
	maxLimit         = 4096.0                // queries in flight
	decreaseFactor   = 0.85                  // multiplies the limit on a sign of overload
	decreaseInterval = 50 * time.Millisecond // minimum time between two decreases for one class
)

// Class holds the admission settings of a request class.
type Class struct {
	Name            string
	Priority        int     // 0 is the highest priority
	GuaranteedShare float64 // fraction of the class's limit that higher classes can't use up
}

// classState is the admission state of one class.
type classState struct {
	class        Class
	limit        float64    // maximum queries in flight of this class and those of the same or a higher priority
	pacer        RetryPacer // also counts the queries in flight of this class
	lastDecrease time.Time
}

// Limiter adapts the number of queries in flight of each class to the capacity of a service's targets. It raises the limit additively
// while more than half of it is used, and lowers it multiplicatively on overload. Among the accounts of one priority it divides the
// limit by weight once most of it is in use.
type Limiter struct {
	classes map[string]*classState
	shares  map[int]*shares // by priority; only of requests with an account
	latest  time.Time       // of the times that the limiter was told
}

// New returns a limiter that starts each class at the initial limit.
func New() *Limiter { return &Limiter{classes: map[string]*classState{}, shares: map[int]*shares{}} }

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
		sum += state.pacer.InFlight()
	}
	return sum
}

// inFlightUpTo returns the number of queries in flight of a class and of those with the same or a higher priority.
func (limiter *Limiter) inFlightUpTo(class Class) int {
	sum := 0
	for _, state := range limiter.classes {
		if state.class.Priority <= class.Priority {
			sum += state.pacer.InFlight()
		}
	}
	return sum
}

// Admit admits a query without an account at the latest time that the limiter was told, or returns how long the caller should wait before
// it retries.
func (limiter *Limiter) Admit(class Class) (ok bool, retryAfter time.Duration) {
	return limiter.AdmitFrom(limiter.latest, class, nil)
}

// AdmitFrom admits a query of an account, nil where there are no accounts, or returns how long the caller should wait before it retries.
func (limiter *Limiter) AdmitFrom(now time.Time, class Class, account *Account) (ok bool, retryAfter time.Duration) {
	limiter.advance(now)
	state := limiter.state(class)
	usable := state.limit
	var use *accountUse
	competing := float64(limiter.inFlightUpTo(class))
	if account != nil {
		shares := limiter.sharesOf(class.Priority)
		use = shares.request(now, account)
		if competing > 0 && competing+1 > fairFraction*state.limit { // a VM without requests has room for any account
			usable = shares.usable(now, use, state.limit)
		}
	}
	guaranteed := float64(state.pacer.InFlight()) < class.GuaranteedShare*state.limit
	if competing >= usable && !guaranteed {
		ends := int(competing-usable) + 1 // until less than usable is in use
		return false, state.pacer.retryAfter(now, ends, limiter.endRate(now, state))
	}
	state.pacer.Begin(now)
	if use != nil {
		use.admitted++
	}
	return true, 0
}

// advance records that the limiter was told a time.
func (limiter *Limiter) advance(now time.Time) {
	if now.After(limiter.latest) {
		limiter.latest = now
	}
}

func (limiter *Limiter) sharesOf(priority int) *shares {
	found, ok := limiter.shares[priority]
	if !ok {
		found = newShares()
		limiter.shares[priority] = found
	}
	return found
}

// endRate returns the number of queries of a class that end per second. If the class has none in flight, that of the classes with the same
// or a higher priority counts, since their ends make room for it.
func (limiter *Limiter) endRate(now time.Time, state *classState) float64 {
	state.pacer.advance(now)
	if rate := state.pacer.rate(); rate > 0 {
		return rate
	}
	sum := 0.0
	for _, other := range limiter.classes {
		if other.class.Priority <= state.class.Priority {
			other.pacer.advance(now)
			sum += other.pacer.rate()
		}
	}
	return sum
}

// RefuseStarted returns when the client of an admitted query should retry that targets refused. Done must be called for the query too.
func (limiter *Limiter) RefuseStarted(now time.Time, class string) time.Duration {
	state, ok := limiter.classes[class]
	if !ok {
		return minRetryAfter
	}
	return state.pacer.RefuseStarted(now)
}

// Done records the end of a query. overloaded is true if targets refused part of it or kept it waiting too long.
func (limiter *Limiter) Done(now time.Time, class string, overloaded bool) {
	limiter.advance(now)
	state, ok := limiter.classes[class]
	if !ok {
		return
	}
	competing := float64(limiter.inFlightUpTo(state.class))
	state.pacer.End(now)
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
