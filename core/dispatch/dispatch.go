package dispatch

import (
	"cmp"
	"slices"
	"time"
)

const (
	serviceTimeWeight  = 0.1                  // weight of a new sample in the EWMA of the service time
	initialServiceTime = 2 * time.Millisecond // service time assumed before the first sample
)

// Class is the priority class of a call.
type Class struct {
	Name     string
	Priority int     // 0 is served first
	Share    float64 // guaranteed fraction of the calls served
}

// Item is a queued call; T is what the driver needs to make the call.
type Item[T any] struct {
	Class         Class
	StartedMicros int64 // Unix time of the query's start; older calls go first within a class
	Deadline      time.Time
	Value         T
}

// lane holds the queued calls of one class.
type lane[T any] struct {
	class  Class
	credit float64   // calls that the class is owed for its share
	items  []Item[T] // oldest query first
}

// Queue holds the calls to one target until a slot is free.
type Queue[T any] struct {
	limit       int
	inFlight    int
	serviceTime time.Duration // EWMA of the time that a call occupies a slot
	lanes       []*lane[T]    // by priority, then class name
}

// New returns a queue that allows limit calls in flight.
func New[T any](limit int) *Queue[T] {
	return &Queue[T]{limit: limit, serviceTime: initialServiceTime}
}

// InFlight returns the number of calls in flight.
func (queue *Queue[T]) InFlight() int { return queue.inFlight }

// Waiting returns the number of queued calls.
func (queue *Queue[T]) Waiting() int {
	total := 0
	for _, lane := range queue.lanes {
		total += len(lane.items)
	}
	return total
}

// EstimatedWait estimates the queueing time of a new call: the time to serve its own and higher classes, or less if the class's
// guaranteed share serves it sooner.
func (queue *Queue[T]) EstimatedWait(class Class) time.Duration {
	ahead, ownCalls := queue.inFlight-queue.limit+1, 1
	for _, lane := range queue.lanes {
		if lane.class.Priority <= class.Priority {
			ahead += len(lane.items)
		}
		if lane.class.Name == class.Name {
			ownCalls += len(lane.items)
		}
	}
	perCall := float64(queue.serviceTime) / float64(queue.limit)
	wait := float64(max(0, ahead)) * perCall
	if class.Share > 0 {
		wait = min(wait, float64(ownCalls)*perCall/class.Share)
	}
	return time.Duration(wait)
}

// Push queues a call and returns true, or returns false if the call is estimated to miss its deadline.
func (queue *Queue[T]) Push(now time.Time, item Item[T]) bool {
	if now.Add(queue.EstimatedWait(item.Class) + queue.serviceTime).After(item.Deadline) {
		return false
	}
	lane := queue.lane(item.Class)
	position, _ := slices.BinarySearchFunc(lane.items, item, func(a, b Item[T]) int { return cmp.Compare(a.StartedMicros, b.StartedMicros) })
	lane.items = slices.Insert(lane.items, position, item)
	return true
}

func (queue *Queue[T]) lane(class Class) *lane[T] {
	position, found := slices.BinarySearchFunc(queue.lanes, class, func(lane *lane[T], class Class) int {
		return cmp.Or(cmp.Compare(lane.class.Priority, class.Priority), cmp.Compare(lane.class.Name, class.Name))
	})
	if !found {
		queue.lanes = slices.Insert(queue.lanes, position, &lane[T]{class: class})
	}
	queue.lanes[position].class = class
	return queue.lanes[position]
}

// Pop removes and returns the next call to make and the queued calls that would miss their deadline. If no slot is free, it removes none.
func (queue *Queue[T]) Pop(now time.Time) (next Item[T], ok bool, expired []Item[T]) {
	if queue.inFlight >= queue.limit {
		return next, false, nil
	}
	expired = queue.expire(now)
	lane := queue.nextLane()
	if lane == nil {
		return next, false, expired
	}
	next = lane.items[0]
	lane.items = slices.Delete(lane.items, 0, 1)
	queue.inFlight++
	return next, true, expired
}

// nextLane credits each class that has queued calls with its share of one call; a class without queued calls loses its credit. It returns
// the class with the most credit if that is at least one call, else the first by priority, and deducts one call from its credit.
func (queue *Queue[T]) nextLane() *lane[T] {
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

// expire removes and returns the queued calls whose deadline is less than half the mean service time away.
func (queue *Queue[T]) expire(now time.Time) []Item[T] {
	var expired []Item[T]
	for _, lane := range queue.lanes {
		lane.items = slices.DeleteFunc(lane.items, func(item Item[T]) bool {
			late := now.Add(queue.serviceTime / 2).After(item.Deadline)
			if late {
				expired = append(expired, item)
			}
			return late
		})
	}
	return expired
}

// Done ends a call in flight; took is how long it occupied its slot, or 0 if that is no sample of the service time.
func (queue *Queue[T]) Done(took time.Duration) {
	queue.inFlight--
	if took > 0 {
		queue.serviceTime += time.Duration(serviceTimeWeight * float64(took-queue.serviceTime))
	}
}

// Remove removes the queued calls that match and returns them.
func (queue *Queue[T]) Remove(match func(T) bool) []Item[T] {
	var removed []Item[T]
	for _, lane := range queue.lanes {
		lane.items = slices.DeleteFunc(lane.items, func(item Item[T]) bool {
			matched := match(item.Value)
			if matched {
				removed = append(removed, item)
			}
			return matched
		})
	}
	return removed
}
