package tcp

import (
	"io"
	"net"
	"sync"
	"time"
)

// AcknowledgeTime is the longest time in which a machine within reach acknowledges bytes that were sent to it: several round trips between regions.
const AcknowledgeTime = 120 * time.Millisecond

const (
	loopbackAddress = "127.0.0.1:0"
	loopbackTimeout = 2 * time.Second // a round trip is given up after this time, as the connection may be broken
)

// Loopback is a connection of this process to itself. It is safe for concurrent use; the zero value is ready.
type Loopback struct {
	mu   sync.Mutex
	conn net.Conn // nil until it is opened
}

// RoundTrip sends a byte to this process and waits until it has come back. The kernel has then handled all packets that arrived on other connections
// before. Without it, a process that is short of processor may see their state as it was long ago.
func (loopback *Loopback) RoundTrip() error {
	loopback.mu.Lock()
	defer loopback.mu.Unlock()
	if loopback.conn == nil {
		conn, err := openLoopback()
		if err != nil {
			return err
		}
		loopback.conn = conn
	}
	if err := roundTrip(loopback.conn); err != nil {
		_ = loopback.conn.Close() // the next round trip opens another one
		loopback.conn = nil
		return err
	}
	return nil
}

// AwaitAcknowledgements waits until bytes that were written before the returned time are acknowledged in the kernel's view, unless the other machine
// takes longer than AcknowledgeTime. The first round trip shows that the bytes have left, the second that acknowledgements have been handled.
func (loopback *Loopback) AwaitAcknowledgements() (writtenBefore time.Time, err error) {
	writtenBefore = time.Now()
	if err := loopback.RoundTrip(); err != nil {
		return time.Time{}, err
	}
	time.Sleep(AcknowledgeTime)
	return writtenBefore, loopback.RoundTrip()
}

func roundTrip(conn net.Conn) error {
	if err := conn.SetDeadline(time.Now().Add(loopbackTimeout)); err != nil {
		return err
	}
	buffer := make([]byte, 1)
	if _, err := conn.Write(buffer); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, buffer)
	return err
}

// openLoopback connects to a listener of this process, which sends every byte back.
func openLoopback() (net.Conn, error) {
	listener, err := net.Listen("tcp", loopbackAddress)
	if err != nil {
		return nil, err
	}
	defer listener.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		return nil, err
	}
	echo, err := listener.Accept()
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	go func() {
		_, _ = io.Copy(echo, echo) // ends when conn is closed
		_ = echo.Close()
	}()
	return conn, nil
}
