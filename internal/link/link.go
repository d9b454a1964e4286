// Package link carries calls between the processes of the fleet: JSON-RPC over
// TCP connections, by IP number, with TLS where the settings ask for it.
package link

import (
	"time"

	"github.com/zeebo/errs"

	"github.com/mustardramp/mustardramp"
)

// Error classes of calls.
var (
	// ErrUnreachable means that no connection could be made: the call was not
	// sent.
	ErrUnreachable = errs.Class("link unreachable")
	// ErrLost means that the connection or the time ran out after the call may
	// have been sent: the peer may have handled it.
	ErrLost = errs.Class("link lost")
	// ErrTooLarge means that a message exceeds the limit. An oversized request
	// was not sent; an oversized answer means that the call was handled.
	ErrTooLarge = errs.Class("message too large")
	// ErrRemote carries the error that the peer's handler returned.
	ErrRemote = errs.Class("link remote")
)

const (
	// DefaultMaxMessage bounds one message on the wire.
	DefaultMaxMessage mustardramp.Bytes = 4 << 20
	// DefaultTimeout bounds one call whose context has no earlier deadline.
	DefaultTimeout = 2 * time.Second
	// DefaultRedial is the least time between two attempts to connect.
	DefaultRedial = 100 * time.Millisecond
	// DefaultConcurrency bounds the calls that one connection has in handling.
	DefaultConcurrency = 64
)

// orDefault returns v, or def when v is the zero value.
func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}
