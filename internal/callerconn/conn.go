package callerconn

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/callerlimit"
)

const (
	// maxHeadBytes is the limit of net/http below a guard. It must exceed the limits
	// of all routing tables, which the guard applies.
	maxHeadBytes = 1 << 20
	// refusalWriteTimeout bounds the write of a refusal, which fits the socket's
	// buffer unless the caller does not read.
	refusalWriteTimeout = time.Second
)

// Limits on what is read after a response that comes before the end of its request. Closing
// a connection with unread bytes resets it, and the caller may lose the response.
const (
	LingerTime  = 250 * time.Millisecond
	LingerBytes = 256 << 10
)

// errRefused is returned to net/http after a refusal was written. As a network error
// of a read it makes net/http close the connection without a response of its own.
var errRefused error = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the caller exceeds a limit")}

// Conn is the connection of a caller. Reads that may contain the end of a head or body
// return no byte beyond it, so that each head is counted from its first byte.
type Conn struct {
	net.Conn
	guard *Guard

	mu sync.Mutex
	// changed is signaled after each change that a held Read depends on.
	changed sync.Cond
	// head is the head that is awaited, which is the next one while serving is true.
	head callerlimit.Head
	// body is the rest of the body of the current request.
	body callerlimit.Body
	// malformed is true if the end of the body cannot be found. net/http then closes
	// the connection after the request.
	malformed bool
	// serving is true from the end of a head until all responses are written, and served
	// from the end of the first head on.
	serving, served bool
	// active holds the requests in progress. Pipelined requests of the connection may run
	// concurrently.
	active []activeRequest
	// queued holds the charges of complete heads of which net/http has not reported a
	// request yet, in the order of the heads.
	queued []mustardramp.Bytes
	// since is when the connection became idle, or when the first byte of the head
	// arrived.
	since time.Time
	// refused is true once the connection must not deliver any more bytes.
	refused bool
	// pending holds bytes that were read after the end of a head or body, or that are
	// held because they would exceed a limit while serving is true.
	pending []byte
	// isHeld is true if the start of pending exceeds a limit. The caller cannot be
	// refused before the responses to its earlier requests are written.
	isHeld bool
	// readDeadline is the deadline that the server set, which ends a held Read.
	readDeadline time.Time
	// headCharge is the reservation for the head that is being read.
	headCharge mustardramp.Bytes
	// serveCharge is the reservation for one request in progress besides its head. It is
	// kept while serving is true.
	serveCharge mustardramp.Bytes
	closed      bool
}

// activeRequest is a request in progress.
type activeRequest struct {
	// conn is the connection as net/http sees it.
	conn   net.Conn
	charge mustardramp.Bytes
}

func newConn(inner net.Conn, guard *Guard, now time.Time) *Conn {
	c := &Conn{Conn: inner, guard: guard, since: now}
	c.changed.L = &c.mu
	return c
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.guard.config.Encrypted || len(p) == 0 {
		return c.Conn.Read(p)
	}
	for {
		n, cause, err := c.readOnce(p)
		switch {
		case cause != nil:
			c.refuse(*cause, p)
			return 0, errRefused
		case n > 0:
			// An error is returned again by the next read.
			return n, nil
		case err != nil && !c.mayContinue(err):
			return 0, err
		}
	}
}

// readOnce reads from the bytes that are pending or from the connection. It returns 0
// and no error if only empty lines arrived, and the cause if the caller must be
// refused.
func (c *Conn) readOnce(p []byte) (int, *Cause, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refused {
		return 0, nil, errRefused
	}
	if len(c.pending) > 0 {
		if err := c.awaitRelease(); err != nil {
			return 0, nil, err
		}
		n := copy(p, c.pending)
		used, delivered, cause := c.take(p[:n])
		c.pending = c.pending[used:]
		return delivered, cause, nil
	}
	c.pending = nil
	if !c.serving {
		// A failure shows in the read.
		_ = c.Conn.SetReadDeadline(c.deadline())
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.guard.relieve()
	c.mu.Lock()
	if c.refused {
		return 0, nil, errRefused
	}
	if n == 0 {
		return 0, nil, err
	}
	used, delivered, cause := c.take(p[:n])
	if used < n {
		c.pending = append([]byte(nil), p[used:n]...)
	}
	return delivered, cause, nil
}

// awaitRelease waits until held bytes may be counted again: no request is being served
// any more. It returns an error if the connection ends or the server's deadline passes
// before.
func (c *Conn) awaitRelease() error {
	for c.isHeld && c.serving && !c.refused {
		if c.readDeadline.IsZero() {
			c.changed.Wait()
			continue
		}
		remaining := time.Until(c.readDeadline)
		if remaining <= 0 {
			return os.ErrDeadlineExceeded
		}
		timer := time.AfterFunc(remaining, c.wake)
		c.changed.Wait()
		timer.Stop()
	}
	c.isHeld = false
	if c.refused {
		return errRefused
	}
	return nil
}

func (c *Conn) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changed.Broadcast()
}

// take counts the start of p up to the end of the current head or body and moves the
// bytes to deliver to the start of p. It uses none of them if they must be held.
func (c *Conn) take(p []byte) (used, delivered int, cause *Cause) {
	if c.malformed {
		return len(p), len(p), nil
	}
	if !c.body.Complete() {
		n, ok := c.body.Scan(p)
		if !ok {
			c.malformed = true
			return len(p), len(p), nil
		}
		return n, n, nil
	}
	if !c.head.Started() {
		c.since = time.Now()
	}
	before := c.head
	skipped, end, complete := c.head.Scan(p)
	if cause := c.check(complete); cause != nil {
		if c.serving {
			c.head, c.isHeld = before, true
			return 0, 0, nil
		}
		c.refused = true
		return len(p), 0, cause
	}
	if complete {
		c.serving, c.served = true, true
		c.head = callerlimit.Head{}
		c.queued = append(c.queued, c.headCharge)
		c.headCharge = 0
	}
	return end, copy(p, p[skipped:end]), nil
}

// check reserves what the head costs so far. It returns the cause if the head must be
// refused.
func (c *Conn) check(complete bool) *Cause {
	limits := c.guard.limits()
	cost := callerlimit.HeadCost(c.head.Size, c.head.Lines)
	headMore, serveMore := cost-c.headCharge, mustardramp.Bytes(0)
	if complete && !c.serving {
		serveMore = callerlimit.RequestCost
	}
	cause := NoRoom
	switch {
	case c.head.Blank > 2*c.guard.config.EmptyLines:
		cause = EmptyLines
	case mustardramp.Bytes(c.head.Size) > min(limits.HeadBytes, maxHeadBytes):
		cause = HeadTooLarge
	case c.guard.config.Account.Reserve(headMore+serveMore, cost):
		c.headCharge += headMore
		c.serveCharge += serveMore
		return nil
	}
	return &cause
}

// deadline returns when the wait for the next byte of a head ends.
func (c *Conn) deadline() time.Time {
	limits := c.guard.limits()
	if c.head.Started() {
		return c.since.Add(limits.HeadTime)
	}
	return c.since.Add(limits.IdleTime)
}

// mayContinue reports whether a read that failed is repeated: it timed out although the
// limits in force now allow more time.
func (c *Conn) mayContinue(err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.serving || c.refused:
		return false
	case time.Now().Before(c.deadline()):
		return true
	case c.head.Started():
		// net/http may read once more before it closes the connection.
		c.refused = true
		c.guard.count(HeadTimeout, c.Conn)
	}
	return false
}

// beginBody is called when the handler of a request begins. length is the length of
// its body, or -1 if it is chunked.
func (c *Conn) beginBody(length int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.body = callerlimit.NewBody(length)
	if length == 0 {
		return
	}
	// What was read ahead as a head is the start of the body.
	c.guard.config.Account.Release(c.headCharge)
	c.head, c.headCharge, c.isHeld = callerlimit.Head{}, 0, false
	c.changed.Broadcast()
}

// follow handles a change of the state that net/http reports for conn, which is this
// connection or one that serves a pipelined request of it.
func (c *Conn) follow(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		c.begin(conn)
	case http.StateHijacked, http.StateClosed:
		c.end(conn)
	case http.StateIdle:
		c.end(conn)
		if len(c.active) > 0 {
			return
		}
		if !c.guard.config.Encrypted && (c.malformed || !c.body.Complete()) {
			// The next head could not be told from the rest of the body.
			c.refused = true
			c.changed.Broadcast()
			_ = c.Conn.Close()
		}
		if len(c.queued) > 0 {
			return
		}
		c.guard.config.Account.Release(c.serveCharge)
		c.serveCharge = 0
		c.serving = false
		c.since = time.Now()
		if !c.guard.config.Encrypted {
			// A Read that began before was not limited by the time for a head.
			_ = c.Conn.SetReadDeadline(c.deadline())
		}
		c.changed.Broadcast()
	}
}

// begin notes a request that net/http has begun to serve.
func (c *Conn) begin(conn net.Conn) {
	c.serving, c.served = true, true
	r := activeRequest{conn: conn}
	if len(c.queued) > 0 {
		// Pipelined requests may begin in another order than their heads arrived. Only
		// the sum of the charges matters.
		r.charge, c.queued = c.queued[0], c.queued[1:]
	}
	if len(c.active) > 0 {
		// serveCharge covers one request. The number of the others has a bound in
		// internal/pipeline.
		c.guard.config.Account.Hold(callerlimit.RequestCost)
		r.charge += callerlimit.RequestCost
	}
	c.active = append(c.active, r)
}

// end notes that net/http has ended the request of conn, if there is one.
func (c *Conn) end(conn net.Conn) {
	for i, r := range c.active {
		if r.conn == conn {
			c.guard.config.Account.Release(r.charge)
			c.active = slices.Delete(c.active, i, i+1)
			return
		}
	}
}

// waiting returns the state of a connection whose caller the host waits for.
func (c *Conn) waiting() (callerlimit.Waiting, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return callerlimit.Waiting{Since: c.since, Unfinished: !c.served || c.head.Started(), Cost: c.headCharge}, !c.serving && !c.refused
}

// evict makes the connection deliver no more bytes and releases what its head holds,
// which is garbage as soon as net/http sees the end of the connection. It returns false
// if a request is being served.
func (c *Conn) evict() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.serving || c.refused {
		return false
	}
	c.refused = true
	c.guard.config.Account.Release(c.headCharge)
	c.headCharge = 0
	return true
}

// refusal is the response to a caller that is refused.
type refusal struct {
	status int
	header map[string]string
	text   string
}

// refusals holds the response for each cause that has one. The requests were not passed
// on, so the verdict is always the same.
var refusals = map[Cause]refusal{
	HeadTooLarge: {http.StatusRequestHeaderFieldsTooLarge, refusalHeader, "the request line and the headers exceed the limit"},
	EmptyLines:   {http.StatusBadRequest, refusalHeader, "too many empty lines precede the request"},
	NoRoom:       {http.StatusServiceUnavailable, retryHeader, "the host has no memory left for the request"},
}

var (
	refusalHeader = map[string]string{
		"Content-Type":        "text/plain; charset=utf-8",
		"Mustardramp-Verdict": "operation=not-run, sending=not-run",
	}
	retryHeader = map[string]string{
		"Content-Type":        refusalHeader["Content-Type"],
		"Mustardramp-Verdict": refusalHeader["Mustardramp-Verdict"],
		"Retry-After":         "1",
	}
)

// encode returns the refusal as a response that ends its connection.
func (r refusal) encode() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\nConnection: close\r\n", r.status, http.StatusText(r.status), len(r.text))
	for name, value := range r.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	b.WriteString("\r\n" + r.text)
	return b.Bytes()
}

// refuse writes the refusal for a cause and then discards what the caller still sends,
// within bounds. It uses buffer for that.
func (c *Conn) refuse(cause Cause, buffer []byte) {
	c.guard.count(cause, c.Conn)
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	if _, err := c.Conn.Write(refusals[cause].encode()); err != nil {
		return
	}
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(LingerTime))
	for total := 0; total < LingerBytes; {
		n, err := c.Conn.Read(buffer)
		if err != nil {
			return
		}
		total += n
	}
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	c.changed.Broadcast()
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn. It releases all reservations of the connection but those of
// requests in progress, which are released when net/http ends them.
func (c *Conn) Close() error {
	c.mu.Lock()
	charge := callerlimit.ConnectionCost + c.headCharge
	if len(c.active) > 0 {
		c.active[0].charge += c.serveCharge
	} else {
		charge += c.serveCharge
	}
	for _, queued := range c.queued {
		charge += queued
	}
	wasClosed := c.closed
	c.closed, c.refused = true, true
	c.headCharge, c.serveCharge, c.queued, c.pending = 0, 0, nil, nil
	c.changed.Broadcast()
	c.mu.Unlock()
	if !wasClosed {
		c.guard.config.Account.Release(charge)
		c.guard.remove(c)
	}
	return c.Conn.Close()
}

// NetConn returns the connection below the guard.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// CloseWrite lets net/http end its responses before it closes the connection.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
