// Package pipeline lets net/http's server run the pipelined requests of a connection
// concurrently. A Listener in front of the server hands each further GET or HEAD
// request that arrives before the answer to an earlier one to an internal connection of
// its own, and writes the answers in the order of the requests.
package pipeline

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// DefaultRequests is the default of Limits.Requests. Callers pipeline up to four
	// requests.
	DefaultRequests = 4
	// DefaultInternal is the default of Limits.Internal. With full buffers 64 internal
	// connections take 4 MiB, 3 % of an entry host of 136 MB.
	DefaultInternal = 64
	// DefaultBuffer is the default of Limits.Buffer. It holds any answer that the
	// entry host buffers in full before it releases the backend's slot.
	DefaultBuffer = 64 << 10
	// maxHead is the length of the longest head that is split off, in bytes, and the
	// number of bytes that are read ahead of the requests in progress. It is bounded
	// because these bytes are held beside net/http's own buffers.
	maxHead      = 8 << 10
	waitInterval = 10 * time.Millisecond
)

// Limits bounds the work in progress of pipelined requests. Zero values mean defaults.
type Limits struct {
	// Requests is the largest number of requests in progress of one connection. With 1
	// requests are not run concurrently.
	Requests int
	// Internal is the largest number of internal connections of all connections.
	Internal int
	// Buffer is the largest number of bytes of an answer that are held until the
	// earlier answers are written. The handler's writes block beyond it.
	Buffer int
}

// withDefaults replaces zero values by defaults.
func (l Limits) withDefaults() Limits {
	if l.Requests == 0 {
		l.Requests = DefaultRequests
	}
	if l.Internal == 0 {
		l.Internal = DefaultInternal
	}
	if l.Buffer == 0 {
		l.Buffer = DefaultBuffer
	}
	return l
}

// Listener splits the pipelined requests of the connections that another listener
// accepts. It serves one http.Server, whose ConnState field must be or call ConnState.
// Handlers must not hijack connections of requests without an Upgrade header.
type Listener struct {
	net.Listener
	limits Limits

	group    errgroup.Group
	start    sync.Once
	accepted chan acceptResult
	// internal carries internal connections to Accept. Its capacity is
	// Limits.Internal, so that a send never blocks.
	internal chan *stream
	closed   chan struct{}

	// unwritten is the number of connections with pipelined answers in progress.
	unwritten atomic.Int64

	mu sync.Mutex
	// internalCount is the number of internal connections that are open or hold output.
	internalCount int
	isClosed      bool
}

type acceptResult struct {
	conn net.Conn
	err  error
}

// NewListener returns a Listener on top of inner.
func NewListener(inner net.Listener, limits Limits) *Listener {
	limits = limits.withDefaults()
	return &Listener{
		Listener: inner,
		limits:   limits,
		accepted: make(chan acceptResult),
		internal: make(chan *stream, limits.Internal),
		closed:   make(chan struct{}),
	}
}

// Accept returns the next connection of a caller, or an internal connection.
func (l *Listener) Accept() (net.Conn, error) {
	l.start.Do(func() { l.group.Go(l.acceptCallers) })
	select {
	case s := <-l.internal:
		return s, nil
	case r := <-l.accepted:
		if r.err != nil {
			return nil, r.err
		}
		return newConn(l, r.conn), nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// acceptCallers accepts callers' connections until the listener is closed.
func (l *Listener) acceptCallers() error {
	for {
		conn, err := l.Listener.Accept()
		select {
		case l.accepted <- acceptResult{conn, err}:
		case <-l.closed:
			if conn != nil {
				_ = conn.Close()
			}
			return nil
		}
	}
}

// Close stops accepting. Requests that have not begun are dropped; their connections
// close after the earlier answers.
func (l *Listener) Close() error {
	l.mu.Lock()
	wasClosed := l.isClosed
	l.isClosed = true
	l.mu.Unlock()
	if wasClosed {
		return nil
	}
	close(l.closed)
	err := l.Listener.Close()
	for {
		select {
		case s := <-l.internal:
			_ = s.Close()
		default:
			return err
		}
	}
}

// open passes an internal connection to Accept. It reports false if the listener is
// closed or the bound on internal connections is reached.
func (l *Listener) open(s *stream) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isClosed || l.internalCount >= l.limits.Internal {
		return false
	}
	l.internalCount++
	l.internal <- s
	return true
}

// Wait waits until all answers in progress are written, or the context ends.
// http.Server.Shutdown does not wait for answers that were held back until the earlier
// ones were complete.
func (l *Listener) Wait(ctx context.Context) {
	ticker := time.NewTicker(waitInterval)
	defer ticker.Stop()
	for l.unwritten.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// release counts an internal connection as closed.
func (l *Listener) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.internalCount--
}

// streamKey is the context key of the stream of a request.
type streamKey struct{}

// ConnContext adds the connection to the context of its requests, for MayClose. It is
// the http.Server.ConnContext hook.
func (l *Listener) ConnContext(ctx context.Context, c net.Conn) context.Context {
	if s, ok := c.(*stream); ok {
		return context.WithValue(ctx, streamKey{}, s)
	}
	return ctx
}

// MayClose reports whether the answer to a request may close its connection: no request
// after it is in progress, whose answer would be lost. If so, no further request of the
// connection is started.
func MayClose(ctx context.Context) bool {
	s, ok := ctx.Value(streamKey{}).(*stream)
	return !ok || s.conn.endsWith(s)
}

// ConnState notes the end of an answer. It is the http.Server.ConnState hook.
func (l *Listener) ConnState(c net.Conn, state http.ConnState) {
	s, ok := c.(*stream)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		s.conn.answered(s)
	case http.StateHijacked:
		s.conn.passThrough()
	}
}
