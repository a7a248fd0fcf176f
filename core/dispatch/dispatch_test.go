package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/dispatch"
)

var (
	alarm   = dispatch.Class{Name: "alarm", Priority: 0, Share: 0.5}
	billing = dispatch.Class{Name: "billing", Priority: 5, Share: 0.25}
	start   = time.Unix(1000, 0)
)

func push(t *testing.T, queue *dispatch.Queue[int], class dispatch.Class, value int, within time.Duration) bool {
	t.Helper()
	return queue.Push(start, dispatch.Item[int]{Class: class, StartedMicros: int64(value), Deadline: start.Add(within), Value: value})
}

// order pops and ends calls one after the other.
func order(queue *dispatch.Queue[int], count int) []int {
	var values []int
	for range count {
		next, ok, _ := queue.Pop(start)
		if !ok {
			break
		}
		values = append(values, next.Value)
		queue.Done(0)
	}
	return values
}

func TestQueue(t *testing.T) {
	t.Run("the higher class goes first, the lower gets its share", func(t *testing.T) {
		queue := dispatch.New[int](1)
		for i := range 8 {
			assert.Assert(t, push(t, queue, alarm, i, time.Minute))
			assert.Assert(t, push(t, queue, billing, 100+i, time.Minute))
		}
		served := map[bool]int{}
		for _, value := range order(queue, 8) {
			served[value >= 100]++
		}
		assert.Equal(t, served[true], 2, "a quarter of eight")
	})
	t.Run("older queries go first within a class", func(t *testing.T) {
		queue := dispatch.New[int](1)
		for _, value := range []int{3, 1, 2} {
			push(t, queue, alarm, value, time.Minute)
		}
		assert.DeepEqual(t, order(queue, 3), []int{1, 2, 3})
	})
	t.Run("no more calls in flight than the limit", func(t *testing.T) {
		queue := dispatch.New[int](2)
		for i := range 3 {
			push(t, queue, alarm, i, time.Minute)
		}
		for range 2 {
			_, ok, _ := queue.Pop(start)
			assert.Assert(t, ok)
		}
		_, ok, _ := queue.Pop(start)
		assert.Assert(t, !ok)
	})
	t.Run("a call that cannot end in time is refused at once", func(t *testing.T) {
		queue := dispatch.New[int](1)
		for i := range 10 {
			push(t, queue, alarm, i, time.Minute)
		}
		assert.Assert(t, !push(t, queue, billing, 11, 9*time.Millisecond))
		assert.Assert(t, push(t, queue, alarm, 12, 50*time.Millisecond))
	})
	t.Run("calls that have become late are returned", func(t *testing.T) {
		queue := dispatch.New[int](1)
		push(t, queue, alarm, 1, 10*time.Millisecond)
		_, ok, expired := queue.Pop(start.Add(time.Second))
		assert.Assert(t, !ok)
		assert.Equal(t, len(expired), 1)
	})
	t.Run("withdrawn calls leave the queue", func(t *testing.T) {
		queue := dispatch.New[int](1)
		push(t, queue, alarm, 1, time.Minute)
		assert.Equal(t, len(queue.Remove(func(value int) bool { return value == 1 })), 1)
		assert.Equal(t, queue.Waiting(), 0)
	})
}
