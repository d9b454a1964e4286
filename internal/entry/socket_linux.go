package entry

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

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
	state := uint8(0)
	err = raw.Control(func(fd uintptr) { state = socketState(fd) })
	return err != nil || state == tcpClosed
}

// tcpState returns the state of a socket, and false if it is not known.
func tcpState(socket *net.TCPConn) (state uint8, ok bool) {
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, false
	}
	err = raw.Control(func(fd uintptr) { state = socketState(fd) })
	return state, err == nil
}

// socketState returns the state of a TCP socket, or 0, which is no state, if the system
// does not tell it.
func socketState(fd uintptr) uint8 {
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0
	}
	return info.State
}
