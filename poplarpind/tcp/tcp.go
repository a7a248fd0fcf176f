package tcp

import (
	"net"

	"golang.org/x/sys/unix"
)

// States of a TCP connection, which package unix does not name.
const (
	stateClose     = 7 // the other end has reset it
	stateCloseWait = 8 // the other end has closed it
)

// Info is the kernel's state of a connection, the zero value if it is unknown.
type Info struct{ unix.TCPInfo }

// InfoOf returns the kernel's state of a connection, and reports whether this process has not closed it.
func InfoOf(conn net.Conn) (info Info, open bool) {
	tcp, ok := under(conn)
	if !ok {
		return info, true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return info, false
	}
	err = raw.Control(func(fd uintptr) { // fails only on a closed connection
		if read, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			info.TCPInfo = *read
		}
	})
	return info, err == nil
}

// under returns the TCP connection under one that wraps it.
func under(conn net.Conn) (*net.TCPConn, bool) {
	for {
		if tcp, ok := conn.(*net.TCPConn); ok {
			return tcp, true
		}
		wrapping, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil, false
		}
		conn = wrapping.NetConn()
	}
}

// Unacknowledged returns how many of the bytes written to a connection the kernel has no acknowledgement of, and reports whether that is known.
func Unacknowledged(conn net.Conn) (bytes int, known bool) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return 0, false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0, false
	}
	err = raw.Control(func(fd uintptr) { // fails only on a closed connection
		bytes, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		known = err == nil
	})
	return bytes, known && err == nil
}

// Finished reports whether the other end has closed the connection and it has not been reset since.
func (info Info) Finished() bool { return info.State == stateCloseWait }

// Ended reports whether the other end has closed or reset the connection.
func (info Info) Ended() bool { return info.State == stateCloseWait || info.State == stateClose }

// HasUnread reports whether bytes have arrived on a connection that this process has not read.
func HasUnread(conn net.Conn) bool {
	tcp, ok := under(conn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	unread := 0
	_ = raw.Control(func(fd uintptr) { // fails only on a closed connection
		unread, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) // 0 where the kernel does not say
	})
	return unread > 0
}
