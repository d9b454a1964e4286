package entry

import (
	"context"
	"net"
	"net/http"
)

// callerConnKey is the context key of the connection of a request.
type callerConnKey struct{}

// withCallerConn adds the connection to the context of its requests. It is an
// http.Server.ConnContext hook.
func withCallerConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, conn)
}

// callerSocket returns the TCP connection of the caller, or nil if it is not known.
func (x *exchange) callerSocket() *net.TCPConn {
	conn, _ := x.r.Context().Value(callerConnKey{}).(net.Conn)
	for conn != nil {
		if socket, ok := conn.(*net.TCPConn); ok {
			return socket
		}
		outer, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		conn = outer.NetConn()
	}
	return nil
}

// isUnframed reports whether the caller knows the end of a response from the end of the
// connection alone, because the caller speaks HTTP/1.0 and the length is not known.
func (x *exchange) isUnframed(response *http.Response) bool {
	return !x.r.ProtoAtLeast(1, 1) && response.ContentLength < 0 && x.r.Method != http.MethodHead
}

// mayHideCut reports whether a cut of the response may look like its end although the
// connection is reset: a caller that still sends its body may learn of the reset from
// there.
func (x *exchange) mayHideCut(response *http.Response) bool {
	return x.isUnframed(response) && !x.body.isWhole()
}

// resetUnlessWhole prepares an unframed response. Until markWhole is called, the end of
// the connection is a reset, even if this process is killed. It must be called before the
// first byte of the body.
func (x *exchange) resetUnlessWhole(response *http.Response) {
	if !x.isUnframed(response) {
		return
	}
	if x.unframedSocket = x.callerSocket(); x.unframedSocket != nil {
		_ = x.unframedSocket.SetLinger(0)
	}
}

// markWhole lets the connection end regularly, unless a part of the response could not be
// written.
func (x *exchange) markWhole() {
	if x.unframedSocket != nil && !x.writeFailed {
		_ = x.unframedSocket.SetLinger(-1)
	}
}

// resetCaller resets the connection of a response that resetUnlessWhole has prepared. The
// server would end TLS regularly before it closes the connection.
func (x *exchange) resetCaller() {
	if x.unframedSocket != nil {
		_ = x.unframedSocket.Close()
	}
}
