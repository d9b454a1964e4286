package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/zeebo/errs"
)

// Limits of the connections to backends.
const (
	// dialTimeout is many times the way to the other region and back; nothing
	// has left by then, so that another backend may be tried.
	dialTimeout         = 400 * time.Millisecond
	idleTimeout         = 4 * time.Second
	continueTimeout     = 5 * time.Second
	maxAnswerHeader     = 256 << 10
	maxIdlePerBackend   = 64
	transportBufferSize = 4 << 10
)

// errDial is the class of errors for a backend that was not reached.
var errDial = errs.Class("dial")

// transport sends attempts over two kinds of connections.
type transport struct {
	// kept reuses connections.
	kept *http.Transport
	// fresh opens a connection for each attempt. It serves non-idempotent
	// work and bodies that cannot be sent a second time.
	fresh *http.Transport
}

func newTransport(dial DialFunc) transport {
	if dial == nil {
		dialer := &net.Dialer{Timeout: dialTimeout}
		dial = dialer.DialContext
	}
	kept := &http.Transport{
		DialContext:            dialWire(dial),
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerBackend,
		IdleConnTimeout:        idleTimeout,
		ExpectContinueTimeout:  continueTimeout,
		MaxResponseHeaderBytes: maxAnswerHeader,
		ReadBufferSize:         transportBufferSize,
		WriteBufferSize:        transportBufferSize,
	}
	fresh := kept.Clone()
	fresh.DisableKeepAlives = true
	return transport{kept: kept, fresh: fresh}
}

func dialWire(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, errDial.Wrap(err)
		}
		return &wire{Conn: conn}, nil
	}
}

func (t *transport) closeIdle() {
	t.kept.CloseIdleConnections()
	t.fresh.CloseIdleConnections()
}
