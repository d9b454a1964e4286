package entry

import (
	"net"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// States of a TCP socket.
const (
	// tcpClosed is the state after a reset.
	tcpClosed = 7
	// tcpCloseWait is the state once the peer has ended its side.
	tcpCloseWait = 8
)

// watchInterval is the interval at which a request that waits looks for its caller.
const watchInterval = 100 * time.Millisecond

var errCallerLeft = errs.New("the caller closed its connection")

// callerWatch notices the end of the caller's connection while bytes of the caller are
// unread, such as a further request or the rest of a long body. The server, which notices
// it by reading, does not read on then.
type callerWatch struct {
	mu        sync.Mutex
	timer     *time.Timer
	isStopped bool
}

// watchCaller ends the context of the request once its caller has left.
func (x *exchange) watchCaller() {
	socket := x.callerSocket()
	if x.watch != nil || socket == nil {
		return
	}
	w := &callerWatch{}
	x.watch = w
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(watchInterval, func() {
		if hasLeft(socket) {
			x.cancel(errCallerLeft)
			return
		}
		w.reschedule()
	})
}

// checkCaller ends the context of a request that has waited, in any step, if its caller has
// left meanwhile.
func (x *exchange) checkCaller() {
	if x.h.config.Clock.Now().Sub(x.arrived) < watchInterval {
		return
	}
	if socket := x.callerSocket(); socket != nil && hasLeft(socket) {
		x.cancel(errCallerLeft)
	}
}

// reschedule starts the wait for the next look.
func (w *callerWatch) reschedule() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.isStopped {
		w.timer.Reset(watchInterval)
	}
}

// stop ends the watch.
func (w *callerWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isStopped = true
	w.timer.Stop()
}

// hasLeft reports whether the peer of a socket has ended its side of the connection or
// reset it. Both show although bytes from before are unread, if all of them have arrived.
func hasLeft(socket *net.TCPConn) bool {
	state, ok := tcpState(socket)
	return ok && (state == tcpClosed || state == tcpCloseWait)
}
