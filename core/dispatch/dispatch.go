package dispatch

import (
	"cmp"
	"slices"
	"time"
)

const (
	serviceAlpha = 0.1                  // weight of a new sample in the moving average of the service time
	firstService = 2 * time.Millisecond // service time until a call has ended
)

// Class orders the calls of a queue.
type Class struct {
	Name     string
	Priority int     // 0 is served first
	Share    float64 // guaranteed part of the calls
}

// Item is a call that waits; T is what the driver needs to make it.
type Item[T any] struct {
	Class         Class
	StartedMicros int64 // age order within a class, microseconds since the epoch
	Deadline      time.Time
	Value         T
}

type lane[T any] struct {
	class  Class
	credit float64
	items  []Item[T]
}

// Queue holds the calls to one target until one of its slots is free.
type Queue[T any] struct {
	limit    int
	inFlight int
	service  time.Duration // moving average of the time that a call occupies a slot
	lanes    []*lane[T]    // by priority
}

// New returns a queue that lets limit calls be in flight at once.
func New[T any](limit int) *Queue[T] {
	return &Queue[T]{limit: limit, service: firstService}
}

// InFlight returns the number of calls in flight.
func (queue *Queue[T]) InFlight() int { return queue.inFlight }

// Waiting returns the number of calls that wait.
func (queue *Queue[T]) Waiting() int {
	sum := 0
	for _, lane := range queue.lanes {
		sum += len(lane.items)
	}
	return sum
}

// EstimatedWait estimates how long a new call of a class would wait behind its own and higher classes, or for its share.
func (queue *Queue[T]) EstimatedWait(class Class) time.Duration {
	ahead, own := queue.inFlight-queue.limit+1, 1
	for _, lane := range queue.lanes {
		if lane.class.Priority <= class.Priority {
			ahead += len(lane.items)
		}
		if lane.class.Name == class.Name {
			own += len(lane.items)
		}
	}
	perCall := float64(queue.service) / float64(queue.limit)
	wait := float64(max(0, ahead)) * perCall
	if class.Share > 0 {
		wait = min(wait, float64(own)*perCall/class.Share)
	}
	return time.Duration(wait)
}

// Push adds a call unless it could not end in time; it reports whether it did.
func (queue *Queue[T]) Push(now time.Time, item Item[T]) bool {
	if now.Add(queue.EstimatedWait(item.Class) + queue.service).After(item.Deadline) {
		return false
	}
	lane := queue.lane(item.Class)
	at, _ := slices.BinarySearchFunc(lane.items, item, func(a, b Item[T]) int { return cmp.Compare(a.StartedMicros, b.StartedMicros) })
	lane.items = slices.Insert(lane.items, at, item)
	return true
}

func (queue *Queue[T]) lane(class Class) *lane[T] {
	at, found := slices.BinarySearchFunc(queue.lanes, class, func(lane *lane[T], class Class) int {
		return cmp.Or(cmp.Compare(lane.class.Priority, class.Priority), cmp.Compare(lane.class.Name, class.Name))
	})
	if !found {
		queue.lanes = slices.Insert(queue.lanes, at, &lane[T]{class: class})
	}
	queue.lanes[at].class = class
	return queue.lanes[at]
}

// Pop returns the next call to make, if a slot is free, and the calls that have become too late.
func (queue *Queue[T]) Pop(now time.Time) (next Item[T], ok bool, expired []Item[T]) {
	if queue.inFlight >= queue.limit {
		return next, false, nil
	}
	expired = queue.expire(now)
	lane := queue.choose()
	if lane == nil {
		return next, false, expired
	}
	next = lane.items[0]
	lane.items = slices.Delete(lane.items, 0, 1)
	queue.inFlight++
	return next, true, expired
}

// choose earns each waiting class its share of a call, and serves the class that is owed a whole one, else the first by priority.
func (queue *Queue[T]) choose() *lane[T] {
	var first, owed *lane[T]
	for _, lane := range queue.lanes {
		if len(lane.items) == 0 {
			lane.credit = 0
			continue
		}
		lane.credit += lane.class.Share
		if first == nil {
			first = lane
		}
		if lane.credit >= 1 && (owed == nil || lane.credit > owed.credit) {
			owed = lane
		}
	}
	if owed == nil {
		owed = first
	}
	if owed != nil {
		owed.credit = max(0, owed.credit-1)
	}
	return owed
}

func (queue *Queue[T]) expire(now time.Time) []Item[T] {
	var expired []Item[T]
	for _, lane := range queue.lanes {
		lane.items = slices.DeleteFunc(lane.items, func(item Item[T]) bool {
			late := now.Add(queue.service / 2).After(item.Deadline)
			if late {
				expired = append(expired, item)
			}
			return late
		})
	}
	return expired
}

// Done ends a call in flight; took is how long it occupied its slot, 0 if that says nothing of the service time.
func (queue *Queue[T]) Done(took time.Duration) {
	queue.inFlight--
	if took > 0 {
		queue.service += time.Duration(serviceAlpha * float64(took-queue.service))
	}
}

// Remove takes out the waiting calls that match and returns them.
func (queue *Queue[T]) Remove(match func(T) bool) []Item[T] {
	var removed []Item[T]
	for _, lane := range queue.lanes {
		lane.items = slices.DeleteFunc(lane.items, func(item Item[T]) bool {
			hit := match(item.Value)
			if hit {
				removed = append(removed, item)
			}
			return hit
		})
	}
	return removed
}
