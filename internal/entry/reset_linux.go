package entry

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpClosed is the state of a TCP socket after a reset. After the peer's regular end of
// its data the state is another one.
const tcpClosed = 7

// wasReset reports whether the data of a connection has come to an end by a reset. The
// system returns the error of a reset to one call only; if that is a write, reads just
// come to an end. A connection that this host has closed meanwhile, as the transport does
// after a failed write, counts as reset.
func wasReset(conn net.Conn) bool {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	isClosed := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		isClosed = err == nil && info.State == tcpClosed
	})
	return err != nil || isClosed
}
