package peer

import (
	"net"
	"sync/atomic"
	"time"
)

// countingConn counts the bytes written and limits how long a write may take.
type countingConn struct {
	net.Conn
	written *atomic.Int64
}

// Write implements io.Writer.
func (countingConn countingConn) Write(data []byte) (int, error) {
	if err := countingConn.SetWriteDeadline(time.Now().Add(pingTimeout)); err != nil {
		return 0, err
	}
	countingConn.written.Add(int64(len(data)))
	count, err := countingConn.Conn.Write(data)
	sentBytes.Add(int64(count))
	return count, err
}
