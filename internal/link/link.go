// Package link carries calls between the processes of the fleet as JSON-RPC over
// TCP connections to IP addresses, with optional TLS.
package link

import (
	"time"

	"github.com/zeebo/errs"

	"github.com/mustardramp/mustardramp"
)

// Classes of the errors that Call returns.
var (
	// ErrUnreachable means that no connection could be made: the call was not
	// sent.
	ErrUnreachable = errs.Class("link unreachable")
	// ErrLost means that the connection was lost or the time ran out after the
	// call may have been sent: the peer may have handled it.
	ErrLost = errs.Class("link lost")
	// ErrTooLarge means that a message exceeds the size limit. An oversized
	// request was not sent; an oversized answer means that the call was handled.
	ErrTooLarge = errs.Class("message too large")
	// ErrRemote carries the error that the peer's handler returned.
	ErrRemote = errs.Class("link remote")
)

const (
	// DefaultMaxMessage is the default size limit of one message on the wire.
	DefaultMaxMessage mustardramp.Bytes = 4 << 20
	// DefaultTimeout is the default time limit of a call whose context has no
	// earlier deadline.
	DefaultTimeout = 2 * time.Second
	// DefaultRedialInterval is the default of the least time between two
	// attempts to connect.
	DefaultRedialInterval = 100 * time.Millisecond
	// DefaultConcurrency is the default limit of the calls that are handled at
	// the same time for one connection.
	DefaultConcurrency = 64
)

// orDefault returns v, or def if v is the zero value.
func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}
