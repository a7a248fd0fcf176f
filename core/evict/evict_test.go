package evict_test

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"poplarpin.dev/core/evict"
)

const connBytes = 10

func newBudget(conns int) *evict.Budget {
	return evict.New(evict.Limits{Conns: conns, Bytes: 1 << 20, ConnBytes: connBytes})
}

// open opens connections that may be counted.
func open(t *testing.T, budget *evict.Budget, count int) []*evict.Conn {
	t.Helper()
	opened := make([]*evict.Conn, count)
	for i := range opened {
		var ended []*evict.Conn
		opened[i], ended = budget.Open()
		assert.Equal(t, len(ended), 0)
	}
	return opened
}

// serve lets a connection have one request answered with success.
func serve(budget *evict.Budget, conn *evict.Conn) {
	budget.Serve(conn)
	budget.Answered(conn)
	budget.Enter(conn, evict.Idle)
}

// assertEnded checks which connections a new one ends.
func assertEnded(t *testing.T, budget *evict.Budget, want ...*evict.Conn) {
	t.Helper()
	_, ended := budget.Open()
	assert.Assert(t, slices.Equal(ended, want), "%d connections ended", len(ended))
}

// TestEndConns guards against crowds that keep ordinary callers out by their number.
func TestEndConns(t *testing.T) {
	t.Run("silent connections give way, those that have waited longest first", func(t *testing.T) {
		budget := newBudget(8)
		caller := open(t, budget, 1)[0]
		serve(budget, caller)
		silent := open(t, budget, 7)
		assertEnded(t, budget, silent[0])
		assertEnded(t, budget, silent[1])
		assert.Assert(t, !caller.Closed())
	})
	t.Run("a connection without an answer to its requests gives way first", func(t *testing.T) {
		budget := newBudget(8)
		conns := open(t, budget, 8)
		for _, conn := range conns[:4] {
			assert.Assert(t, budget.Serve(conn))
		}
		serve(budget, conns[4])
		budget.Enter(conns[5], evict.Idle)
		serve(budget, conns[6])
		budget.Enter(conns[6], evict.Receiving)
		assertEnded(t, budget, conns[5])
	})
	t.Run("of idle connections the older ones, and those with more answers, stay", func(t *testing.T) {
		budget := newBudget(8)
		conns := open(t, budget, 8)
		for _, conn := range conns {
			serve(budget, conn)
		}
		serve(budget, conns[7])
		assertEnded(t, budget, conns[6])
		assertEnded(t, budget, conns[5])
	})
	t.Run("requests that are served neither end nor keep out old and new callers", func(t *testing.T) {
		budget := newBudget(8)
		conns := open(t, budget, 8)
		serve(budget, conns[0])
		assert.Equal(t, countServed(budget, conns[1:]), 4)
		assertEnded(t, budget, conns[5])
		assert.Assert(t, !conns[0].Closed())
	})
	t.Run("a crowd whose requests fail leaves places to new callers, and both to those who were there before", func(t *testing.T) {
		budget := newBudget(16)
		conns := open(t, budget, 16)
		failed, fresh, caller := conns[:8], conns[8:15], conns[15]
		for _, conn := range failed {
			budget.Enter(conn, evict.Idle)
		}
		serve(budget, caller)
		assert.Equal(t, countServed(budget, failed), 4)
		assert.Equal(t, countServed(budget, fresh), 4)
		assert.Assert(t, budget.Serve(caller))
	})
	t.Run("a client that does not read its answer gives way to others", func(t *testing.T) {
		budget := newBudget(8)
		conns := open(t, budget, 8)
		for _, conn := range conns[:2] {
			serve(budget, conn)
		}
		for _, conn := range conns[2:6] {
			assert.Assert(t, budget.Serve(conn))
		}
		budget.Enter(conns[4], evict.Answering)
		assert.Assert(t, budget.Serve(conns[7]))
		serve(budget, conns[6])
		budget.Enter(conns[6], evict.Receiving)
		assertEnded(t, budget, conns[4])
	})
}

// countServed returns how many of the requests on some connections may be served.
func countServed(budget *evict.Budget, conns []*evict.Conn) int {
	served := 0
	for _, conn := range conns {
		if budget.Serve(conn) {
			served++
		}
	}
	return served
}

// TestGrow guards against crowds that use up memory.
func TestGrow(t *testing.T) {
	const large = 100 << 10
	t.Run("the largest request ends", func(t *testing.T) {
		budget := newBudget(100)
		conns := open(t, budget, 3)
		assert.Equal(t, len(budget.Grow(conns[0], 3*large)), 0)
		assert.Equal(t, len(budget.Grow(conns[1], large)), 0)
		assert.DeepEqual(t, indexes(conns, budget.Grow(conns[2], 2*large)), []int{0})
	})
	t.Run("a connection holds nothing more once its request has ended", func(t *testing.T) {
		budget := newBudget(100)
		conn := open(t, budget, 1)[0]
		budget.Grow(conn, large)
		serve(budget, conn)
		assert.Equal(t, conn.Bytes(), int64(0))
		assert.Equal(t, budget.Bytes(), int64(connBytes))
	})
	t.Run("new connections leave memory to those that were served before, also if all are open", func(t *testing.T) {
		budget := evict.New(evict.Limits{Conns: 100, Bytes: 2 << 20, ConnBytes: 10 << 10})
		conns := open(t, budget, 50)
		caller := conns[49]
		serve(budget, caller)
		for _, conn := range conns[:49] {
			if len(budget.Grow(conn, 4<<10)) == 0 && len(budget.Grow(conn, 60<<10)) == 0 {
				budget.Serve(conn)
			}
		}
		open(t, budget, 99-budget.Len())
		fresh, _ := budget.Open()
		assert.Equal(t, len(budget.Grow(fresh, 4<<10)), 0)
		assert.Equal(t, len(budget.Grow(caller, 100<<10)), 0)
		assert.Assert(t, budget.Serve(caller))
	})
	t.Run("a request that is served does not end, and a large one leaves room to small ones", func(t *testing.T) {
		budget := newBudget(100)
		conns := open(t, budget, 100)
		for _, conn := range conns[:50] {
			budget.Grow(conn, large)
			if !conn.Closed() {
				assert.Assert(t, budget.Serve(conn))
			}
		}
		small := conns[99]
		assert.Equal(t, len(budget.Grow(small, 1<<10)), 0)
		assert.Assert(t, budget.Serve(small))
		_, ok := budget.Reserve(small, 1<<10)
		assert.Assert(t, ok)
		_, ok = budget.Reserve(small, 1<<20)
		assert.Assert(t, !ok)
		assert.Equal(t, small.Bytes(), int64(2<<10))
	})
}

// indexes returns which of some connections are in a list.
func indexes(conns, list []*evict.Conn) []int {
	var found []int
	for i, conn := range conns {
		if slices.Contains(list, conn) {
			found = append(found, i)
		}
	}
	return found
}

// TestBudget checks random histories: the limits hold after each step, no request that is served is ended, and the budget's bytes are the sum of all
// connections.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := evict.Limits{Conns: rapid.IntRange(4, 40).Draw(t, "conns"), Bytes: 1 << 20, ConnBytes: 1 << 10}
		budget := evict.New(limits)
		var conns []*evict.Conn
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			serving := slices.DeleteFunc(slices.Clone(conns), func(conn *evict.Conn) bool { return conn.Phase() != evict.Serving })
			var ended []*evict.Conn
			if len(conns) == 0 || rapid.IntRange(0, 2).Draw(t, "open") == 0 {
				var opened *evict.Conn
				opened, ended = budget.Open()
				conns = append(conns, opened)
			} else {
				conn := rapid.SampledFrom(conns).Draw(t, "conn")
				switch rapid.IntRange(0, 5).Draw(t, "event") {
				case 0:
					if conn.Phase() == evict.Receiving {
						ended = budget.Grow(conn, rapid.Int64Range(1, 1<<18).Draw(t, "bytes"))
					}
				case 1:
					if conn.Phase() == evict.Receiving {
						budget.Serve(conn)
					}
				case 2:
					serve(budget, conn)
				case 3:
					budget.Enter(conn, evict.Receiving)
				case 4:
					if conn.Phase() == evict.Serving {
						ended, _ = budget.Reserve(conn, rapid.Int64Range(1, 1<<18).Draw(t, "bytes"))
					}
				case 5:
					budget.Close(conn)
				}
			}
			for _, conn := range ended {
				assert.Assert(t, conn.Closed() && !slices.Contains(serving, conn))
			}
			conns = slices.DeleteFunc(conns, (*evict.Conn).Closed)
			held := int64(len(conns)) * limits.ConnBytes
			for _, conn := range conns {
				held += conn.Bytes()
			}
			assert.Equal(t, budget.Bytes(), held)
			assert.Equal(t, budget.Len(), len(conns))
			assert.Assert(t, budget.Bytes() <= limits.Bytes && len(conns) <= limits.Conns)
		}
	})
}
