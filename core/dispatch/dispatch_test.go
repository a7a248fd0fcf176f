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

// serve pops and ends up to count calls, one at a time, and returns their values in order.
func serve(queue *dispatch.Queue[int], count int) []int {
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
	t.Run("the higher class goes first and the lower class gets its share", func(t *testing.T) {
		queue := dispatch.New[int](1)
		for i := range 8 {
			assert.Assert(t, push(t, queue, alarm, i, time.Minute))
			assert.Assert(t, push(t, queue, billing, 100+i, time.Minute))
		}
		served := map[bool]int{}
		for _, value := range serve(queue, 8) {
			served[value >= 100]++
		}
		assert.Equal(t, served[true], 2, "billing has a share of 0.25 of 8 calls")
	})
	t.Run("older queries go first within a class", func(t *testing.T) {
		queue := dispatch.New[int](1)
		for _, value := range []int{3, 1, 2} {
			push(t, queue, alarm, value, time.Minute)
		}
		assert.DeepEqual(t, serve(queue, 3), []int{1, 2, 3})
	})
	t.Run("limits the calls in flight", func(t *testing.T) {
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
	t.Run("refuses a call that can't meet its deadline", func(t *testing.T) {
		queue := dispatch.New[int](1)
		for i := range 10 {
			push(t, queue, alarm, i, time.Minute)
		}
		assert.Assert(t, !push(t, queue, billing, 11, 9*time.Millisecond))
		assert.Assert(t, push(t, queue, alarm, 12, 50*time.Millisecond))
	})
	t.Run("returns expired calls", func(t *testing.T) {
		queue := dispatch.New[int](1)
		push(t, queue, alarm, 1, 10*time.Millisecond)
		_, ok, expired := queue.Pop(start.Add(time.Second))
		assert.Assert(t, !ok)
		assert.Equal(t, len(expired), 1)
	})
	t.Run("removes cancelled calls", func(t *testing.T) {
		queue := dispatch.New[int](1)
		push(t, queue, alarm, 1, time.Minute)
		assert.Equal(t, len(queue.Remove(func(value int) bool { return value == 1 })), 1)
		assert.Equal(t, queue.Waiting(), 0)
	})
}
