package peer

import (
	"net"
	"sync/atomic"
	"time"
)

// countingConn counts the bytes written and limits how long a write may take.
type countingConn struct {
	net.Conn
	counts *writeCounts
}

// writeCounts counts the bytes of writes that have begun and of those that have returned. In between, a process that is short of processor may not
// have passed them to its kernel.
type writeCounts struct{ begun, returned atomic.Int64 }

// Write implements io.Writer.
func (countingConn countingConn) Write(data []byte) (int, error) {
	if err := countingConn.SetWriteDeadline(time.Now().Add(pingTimeout)); err != nil {
		return 0, err
	}
	countingConn.counts.begun.Add(int64(len(data)))
	count, err := countingConn.Conn.Write(data)
	countingConn.counts.returned.Add(int64(count))
	sentBytes.Add(int64(count))
	return count, err
}
