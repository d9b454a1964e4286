package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/zeebo/errs"
)

// Limits on connections to backends.
const (
	// dialTimeout is many times the round trip to the other region. No byte has
	// been sent by then, so another backend may be tried.
	dialTimeout            = 400 * time.Millisecond
	backendIdleTimeout     = 4 * time.Second
	continueTimeout        = 5 * time.Second
	maxResponseHeaderBytes = 128 << 10
	maxIdlePerBackend      = 64
	transportBufferSize    = 4 << 10
)

// errDial is the class of errors for a backend that could not be reached.
var errDial = errs.Class("dial")

// transports holds an HTTP transport for each way of using connections.
type transports struct {
	// pooled reuses connections.
	pooled *http.Transport
	// fresh opens a connection for each attempt. It serves non-idempotent
	// requests and uploads, which may become too long to be sent again.
	fresh *http.Transport
}

func newTransports(dial DialFunc) transports {
	if dial == nil {
		dialer := &net.Dialer{Timeout: dialTimeout}
		dial = dialer.DialContext
	}
	pooled := &http.Transport{
		DialContext:            dialBackendConn(dial),
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerBackend,
		IdleConnTimeout:        backendIdleTimeout,
		ExpectContinueTimeout:  continueTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		ReadBufferSize:         transportBufferSize,
		WriteBufferSize:        transportBufferSize,
	}
	fresh := pooled.Clone()
	fresh.DisableKeepAlives = true
	return transports{pooled: pooled, fresh: fresh}
}

func dialBackendConn(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, errDial.Wrap(err)
		}
		return &backendConn{Conn: conn}, nil
	}
}

func (t *transports) closeIdle() {
	t.pooled.CloseIdleConnections()
	t.fresh.CloseIdleConnections()
}
