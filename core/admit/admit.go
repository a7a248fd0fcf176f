package admit

import "time"

const (
	firstLimit  = 32.0
	leastLimit  = 1.0
	mostLimit   = 4096.0
	decrease    = 0.85                   // factor on a sign of overload
	cooldown    = 50 * time.Millisecond  // between two decreases of one class
	leastRetry  = 100 * time.Millisecond // retry time at the least
	retryPerHit = 10 * time.Millisecond  // added for each query over the limit
	mostRetry   = 5 * time.Second
)

// Class is what a limiter knows of a request's class.
type Class struct {
	Name            string
	Priority        int
	GuaranteedShare float64
}

// lane is the state of one class.
type lane struct {
	class    Class
	limit    float64 // queries of this class and higher ones in flight
	inFlight int
	lowered  time.Time
	refusals float64
}

// Limiter adapts for each class the number of queries in flight to what a service's targets can take.
type Limiter struct {
	lanes map[string]*lane
}

// New returns a limiter with a moderate limit for each class.
func New() *Limiter { return &Limiter{lanes: map[string]*lane{}} }

func (limiter *Limiter) lane(class Class) *lane {
	found, ok := limiter.lanes[class.Name]
	if !ok {
		found = &lane{limit: firstLimit}
		limiter.lanes[class.Name] = found
	}
	found.class = class
	return found
}

// ClassLimits returns the limit of each class, for dumps.
func (limiter *Limiter) ClassLimits() map[string]float64 {
	limits := map[string]float64{}
	for name, lane := range limiter.lanes {
		limits[name] = lane.limit
	}
	return limits
}

// ahead counts the queries in flight of a class and of those that go before it.
func (limiter *Limiter) ahead(class Class) int {
	sum := 0
	for _, lane := range limiter.lanes {
		if lane.class.Priority <= class.Priority {
			sum += lane.inFlight
		}
	}
	return sum
}

// Admit takes a query in, or says when the caller should come back.
func (limiter *Limiter) Admit(class Class) (ok bool, retryAfter time.Duration) {
	lane := limiter.lane(class)
	guaranteed := float64(lane.inFlight) < class.GuaranteedShare*lane.limit
	if float64(limiter.ahead(class)) >= lane.limit && !guaranteed {
		lane.refusals++
		return false, min(mostRetry, leastRetry+time.Duration(lane.refusals)*retryPerHit)
	}
	lane.refusals = max(0, lane.refusals-1)
	lane.inFlight++
	return true, 0
}

// Done ends a query; overloaded says that targets refused part of it or made it wait too long.
func (limiter *Limiter) Done(now time.Time, class string, overloaded bool) {
	lane, ok := limiter.lanes[class]
	if !ok {
		return
	}
	ahead := float64(limiter.ahead(lane.class))
	lane.inFlight--
	if !overloaded {
		if ahead > lane.limit/2 {
			lane.limit = min(mostLimit, lane.limit+1/lane.limit)
		}
		return
	}
	if now.Sub(lane.lowered) >= cooldown {
		lane.limit = max(leastLimit, min(lane.limit, ahead)*decrease)
		lane.lowered = now
	}
}
