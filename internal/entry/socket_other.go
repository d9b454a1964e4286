//go:build !linux

package entry

import "net"

// wasReset reports false: only Linux is asked for the state of a connection.
func wasReset(net.Conn) bool { return false }

// tcpState reports that the state is not known.
func tcpState(*net.TCPConn) (state uint8, ok bool) { return 0, false }
