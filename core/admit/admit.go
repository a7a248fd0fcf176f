package admit

import "time"

const (
	firstLimit  = 32.0
	leastLimit  = 2.0
	mostLimit   = 4096.0
	decrease    = 0.85                   // factor on a sign of overload
	cooldown    = 50 * time.Millisecond  // between two decreases
	leastRetry  = 100 * time.Millisecond // retry time at the least
	retryPerHit = 10 * time.Millisecond  // added for each query over the limit
	mostRetry   = 5 * time.Second
)

// Class is what a limiter knows of a request's class.
type Class struct {
	Name     string
	Priority int
	Share    float64
}

// Limiter adapts the number of queries in flight to what a service's targets can take.
type Limiter struct {
	limit    float64
	inFlight map[string]int
	classes  map[string]Class
	lowered  time.Time
	refusals float64
}

// New returns a limiter with a moderate limit.
func New() *Limiter {
	return &Limiter{limit: firstLimit, inFlight: map[string]int{}, classes: map[string]Class{}}
}

// Limit returns the number of queries that may be in flight.
func (limiter *Limiter) Limit() float64 { return limiter.limit }

// Admit takes a query in, or says when the caller should come back.
func (limiter *Limiter) Admit(class Class) (ok bool, retryAfter time.Duration) {
	limiter.classes[class.Name] = class
	ahead := 0
	for name, count := range limiter.inFlight {
		if limiter.classes[name].Priority <= class.Priority {
			ahead += count
		}
	}
	guaranteed := float64(limiter.inFlight[class.Name]) < class.Share*limiter.limit
	if float64(ahead) >= limiter.limit && !guaranteed {
		limiter.refusals++
		return false, min(mostRetry, leastRetry+time.Duration(limiter.refusals)*retryPerHit)
	}
	limiter.refusals = max(0, limiter.refusals-1)
	limiter.inFlight[class.Name]++
	return true, 0
}

// Done ends a query; overloaded says that targets refused part of it or made it wait too long.
func (limiter *Limiter) Done(now time.Time, class string, overloaded bool) {
	total := 0
	for _, count := range limiter.inFlight {
		total += count
	}
	limiter.inFlight[class]--
	if !overloaded {
		if float64(total) > limiter.limit/2 {
			limiter.limit = min(mostLimit, limiter.limit+1/limiter.limit)
		}
		return
	}
	if now.Sub(limiter.lowered) >= cooldown {
		limiter.limit = max(leastLimit, min(limiter.limit, float64(total))*decrease)
		limiter.lowered = now
	}
}
