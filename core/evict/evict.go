package evict

import (
	"cmp"
	"math/bits"
	"slices"
)

const (
	shareDivisor = 4       // connections without an answered request, and idle ones, have this fraction of all places each
	batchDivisor = 32      // at the limit, room for this fraction of it is made at once, so that connections are seldom sorted
	largeBytes   = 8 << 10 // a request that holds more leaves a reserve to the smaller ones
)

// Phase is the activity of a connection.
type Phase int

// The phases. A connection begins in Receiving.
const (
	Receiving Phase = iota // its request has not arrived completely
	Serving                // its request is being served
	Answering              // its answer has not been taken by the client
	Idle                   // between two requests
)

// Limits bounds the resources that all connections hold together.
type Limits struct {
	Conns     int
	Bytes     int64
	ConnBytes int64 // held by each connection, also an idle one
}

// Conn is one connection as a Budget knows it.
type Conn struct {
	phase   Phase
	opened  int64 // place in the order of events
	entered int64 // the same for the last change of its phase
	bytes   int64 // beyond ConnBytes
	ended   int   // requests that have ended
	answers int   // of these, answered with success
	index   int   // in Budget.conns, -1 once it is closed
}

// Phase returns the activity of the connection.
func (conn *Conn) Phase() Phase { return conn.phase }

// Entered returns a number that changes whenever the connection enters a phase.
func (conn *Conn) Entered() int64 { return conn.entered }

// Bytes returns the memory that the connection holds beside ConnBytes.
func (conn *Conn) Bytes() int64 { return conn.bytes }

// Closed reports whether the connection is not counted any more, because it was closed or chosen to be.
func (conn *Conn) Closed() bool { return conn.index < 0 }

// isNewcomer reports whether no request of the connection has arrived yet, or none was answered with success.
func (conn *Conn) isNewcomer() bool { return conn.phase == Receiving && conn.answers == 0 }

// Budget knows the connections of one listener and their memory. It is not safe for concurrent use.
type Budget struct {
	limits Limits
	conns  []*Conn
	bytes  int64 // of all requests and answers
	phases [Idle + 1]int
	events int64
}

// New returns a budget without connections.
func New(limits Limits) *Budget { return &Budget{limits: limits} }

// Bytes returns the memory that all connections hold.
func (budget *Budget) Bytes() int64 {
	return budget.bytes + int64(len(budget.conns))*budget.limits.ConnBytes
}

// Len returns the number of connections.
func (budget *Budget) Len() int { return len(budget.conns) }

// Open counts a new connection, and returns those that must be closed for it, possibly itself.
func (budget *Budget) Open() (opened *Conn, ended []*Conn) {
	budget.events++
	opened = &Conn{opened: budget.events, entered: budget.events, index: len(budget.conns)}
	budget.conns = append(budget.conns, opened)
	budget.phases[Receiving]++
	if len(budget.conns) > budget.limits.Conns {
		ended = budget.endConns()
	}
	return opened, ended
}

// Enter changes the phase of a connection. The memory of its request is released when it becomes idle.
func (budget *Budget) Enter(conn *Conn, phase Phase) {
	if conn.Closed() || conn.phase == phase {
		return
	}
	budget.events++
	budget.phases[conn.phase]--
	budget.phases[phase]++
	conn.phase, conn.entered = phase, budget.events
	if phase == Idle {
		conn.ended++
		budget.Release(conn, conn.bytes)
	}
}

// Serve records that a request has arrived completely, and reports whether it may be served. Requests of connections that have had no success so far take
// up a quarter of the places at most, with those of new connections a half, with those of others three quarters. Answers that are not read
// do not count: their connections give way to new ones.
func (budget *Budget) Serve(conn *Conn) bool {
	quarters := 3
	switch {
	case conn.answers > 0:
	case conn.ended > 0:
		quarters = 1
	default:
		quarters = 2
	}
	if budget.phases[Serving] >= quarters*budget.limits.Conns/4 {
		return false
	}
	budget.Enter(conn, Serving)
	return true
}

// Progress records that a connection has made progress in its phase.
func (budget *Budget) Progress(conn *Conn) {
	budget.events++
	conn.entered = budget.events
}

// Answered records that a request was answered with success.
func (budget *Budget) Answered(conn *Conn) { conn.answers++ }

// Release records that a connection holds fewer bytes.
func (budget *Budget) Release(conn *Conn, bytes int64) {
	if conn.Closed() {
		return
	}
	conn.bytes -= bytes
	budget.bytes -= bytes
}

// Close ends the count of a connection.
func (budget *Budget) Close(conn *Conn) {
	if conn.Closed() {
		return
	}
	budget.bytes -= conn.bytes
	budget.phases[conn.phase]--
	last := budget.conns[len(budget.conns)-1]
	budget.conns[conn.index], last.index = last, conn.index
	budget.conns = budget.conns[:len(budget.conns)-1]
	conn.index, conn.bytes = -1, 0
}

// Grow lets a connection hold more bytes, and returns those that must be closed for it, possibly itself.
func (budget *Budget) Grow(conn *Conn, bytes int64) (ended []*Conn) {
	if conn.Closed() {
		return []*Conn{conn}
	}
	conn.bytes += bytes
	budget.bytes += bytes
	limit := budget.limitFor(conn)
	if budget.bytes <= limit {
		return nil
	}
	return budget.endLargest(limit - limit/batchDivisor)
}

// Reserve is Grow for a connection whose request is being served: it reports whether there is room, and lets the connection hold nothing more otherwise.
func (budget *Budget) Reserve(conn *Conn, bytes int64) (ended []*Conn, ok bool) {
	ended = budget.Grow(conn, bytes)
	if conn.Closed() {
		return ended, false
	}
	if budget.bytes <= budget.limitFor(conn) {
		return ended, true
	}
	budget.Release(conn, bytes)
	return ended, false
}

// limitFor returns the limit on the bytes of all requests when one of them wants to hold more: large requests leave a quarter of it to the others, and
// connections without a success so far leave a quarter to those that were served before.
func (budget *Budget) limitFor(conn *Conn) int64 {
	quarters := int64(4)
	if conn.bytes > largeBytes {
		quarters--
	}
	if conn.answers == 0 {
		quarters--
	}
	return (budget.limits.Bytes - int64(budget.limits.Conns)*budget.limits.ConnBytes) * quarters / 4
}

// endLargest ends connections until the others hold at most a number of bytes: those with most bytes first, except those that are being served. Among
// equals, those without an answered request come first, then the ones that have made no progress for longest.
func (budget *Budget) endLargest(bytes int64) (ended []*Conn) {
	candidates := budget.those(func(conn *Conn) bool { return conn.bytes > 0 && (conn.phase == Receiving || conn.phase == Answering) })
	slices.SortFunc(candidates, func(a, b *Conn) int {
		return cmp.Or(cmp.Compare(bits.Len64(uint64(b.bytes)), bits.Len64(uint64(a.bytes))), cmp.Compare(min(a.answers, 1), min(b.answers, 1)),
			cmp.Compare(a.entered, b.entered))
	})
	for _, conn := range candidates {
		if budget.bytes <= bytes {
			break
		}
		budget.Close(conn)
		ended = append(ended, conn)
	}
	return ended
}

// endConns ends connections so that their number is within the limit. Connections that wait for a first request and idle ones have a share of the places
// each, so that neither a crowd of the one nor of the other, nor requests that last long, keep new or old callers out. Of those that have no request the
// oldest go first, as an ordinary caller sends one soon; of the idle ones those with fewer answers and then the younger ones, as ordinary callers were
// there before a crowd.
func (budget *Budget) endConns() (ended []*Conn) {
	count := max(len(budget.conns)-budget.limits.Conns, budget.limits.Conns/batchDivisor)
	ended = budget.connsToEnd()
	ended = ended[:min(count, len(ended))]
	for _, conn := range ended {
		budget.Close(conn)
	}
	return ended
}

// connsToEnd returns the connections that may be ended for others, the first of them first.
func (budget *Budget) connsToEnd() []*Conn {
	byEntry := func(a, b *Conn) int { return cmp.Compare(a.entered, b.entered) }
	useless := budget.those(func(conn *Conn) bool { return conn.phase == Idle && conn.answers == 0 })
	if len(useless) > 0 {
		slices.SortFunc(useless, byEntry)
		return useless
	}
	newcomers := budget.those((*Conn).isNewcomer)
	slices.SortFunc(newcomers, byEntry)
	if len(newcomers) > budget.limits.Conns/shareDivisor {
		return newcomers
	}
	if idle := budget.those(func(conn *Conn) bool { return conn.phase == Idle }); len(idle) > budget.limits.Conns/shareDivisor {
		slices.SortFunc(idle, func(a, b *Conn) int {
			return cmp.Or(cmp.Compare(bits.Len(uint(a.answers)), bits.Len(uint(b.answers))), cmp.Compare(b.opened, a.opened))
		})
		return idle
	}
	slow := budget.those(func(conn *Conn) bool { return conn.phase == Answering || conn.phase == Receiving && conn.answers > 0 })
	slices.SortFunc(slow, byEntry)
	return append(slow, newcomers...)
}

// those returns the connections that meet a condition.
func (budget *Budget) those(meet func(*Conn) bool) []*Conn {
	var found []*Conn
	for _, conn := range budget.conns {
		if meet(conn) {
			found = append(found, conn)
		}
	}
	return found
}
