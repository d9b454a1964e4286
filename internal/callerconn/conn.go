package callerconn

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
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
	// lingerTime and lingerBytes bound how much is read after a refusal. Closing a
	// connection with unread bytes resets it, and the caller may lose the refusal.
	lingerTime  = 250 * time.Millisecond
	lingerBytes = 256 << 10
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
	// head is the head that is awaited, which is the next one while serving is true.
	head callerlimit.Head
	// body is the rest of the body of the current request.
	body callerlimit.Body
	// malformed is true if the end of the body cannot be found. net/http then closes
	// the connection after the request.
	malformed bool
	// serving is true from the end of a head to the end of its response, and served
	// from the end of the first head on.
	serving, served bool
	// active is the number of requests in progress. Pipelined requests of the connection
	// may run concurrently.
	active int
	// since is when the connection became idle, or when the first byte of the head
	// arrived.
	since time.Time
	// refused is true once the connection must not deliver any more bytes.
	refused bool
	// pending holds bytes that were read after the end of a head or body.
	pending []byte
	// headCharge and requestCharge are reservations for the head that is being read
	// and for the request that is being served.
	headCharge, requestCharge mustardramp.Bytes
	closed                    bool
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

// take counts the start of p up to the end of the current head or body and moves the
// bytes to deliver to the start of p.
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
	skipped, end, complete := c.head.Scan(p)
	if !c.serving {
		// While a request is being served, net/http reads at most one byte ahead.
		if cause := c.check(complete); cause != nil {
			return len(p), 0, cause
		}
	}
	if complete {
		c.serving, c.served = true, true
		c.head = callerlimit.Head{}
		c.requestCharge += c.headCharge
		c.headCharge = 0
	}
	return end, copy(p, p[skipped:end]), nil
}

// check reserves what the head costs so far. It returns the cause if the head must be
// refused.
func (c *Conn) check(complete bool) *Cause {
	limits := c.guard.limits()
	cost := callerlimit.HeadCost(c.head.Size, c.head.Lines)
	more := cost - c.headCharge
	if complete {
		more += callerlimit.RequestCost
	}
	cause := NoRoom
	switch {
	case c.head.Blank > 2*c.guard.config.EmptyLines:
		cause = EmptyLines
	case mustardramp.Bytes(c.head.Size) > min(limits.HeadBytes, maxHeadBytes):
		cause = HeadTooLarge
	case c.guard.config.Account.Reserve(more, cost):
		c.headCharge += more
		return nil
	}
	c.refused = true
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
}

// follow handles a change of the state that net/http reports.
func (c *Conn) follow(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateIdle:
		if c.active--; c.active > 0 {
			return
		}
		c.guard.config.Account.Release(c.requestCharge)
		c.requestCharge = 0
		c.serving = false
		c.since = time.Now()
		if !c.guard.config.Encrypted && (c.malformed || !c.body.Complete()) {
			// The next head could not be told from the rest of the body.
			c.refused = true
			_ = c.Conn.Close()
		}
	case http.StateActive:
		c.active++
		c.serving, c.served = true, true
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
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	for total := 0; total < lingerBytes; {
		n, err := c.Conn.Read(buffer)
		if err != nil {
			return
		}
		total += n
	}
}

// Close implements net.Conn. It releases all reservations of the connection.
func (c *Conn) Close() error {
	c.mu.Lock()
	charge := callerlimit.ConnectionCost + c.headCharge + c.requestCharge
	wasClosed := c.closed
	c.closed, c.refused = true, true
	c.headCharge, c.requestCharge = 0, 0
	c.mu.Unlock()
	if !wasClosed {
		c.guard.config.Account.Release(charge)
		c.guard.remove(c)
	}
	return c.Conn.Close()
}

// CloseWrite lets net/http end its responses before it closes the connection.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
