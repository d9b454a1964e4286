package entry

import (
	"errors"
	"io"
	"net"
	"sync"

	"github.com/zeebo/errs"

	"github.com/mustardramp/mustardramp"
)

var (
	errFenced = errs.New("the attempt that used this connection has ended")
	errBroken = errs.New("the connection broke before the answer began")
	errReset  = errs.New("the backend reset the connection")
)

// backendConn is a connection to a backend that tracks which attempt uses it.
// It records whether a byte of the attempt may have been sent. It also cancels
// the attempt before the transport notices a broken connection, because the
// transport would otherwise resend some requests by itself.
type backendConn struct {
	net.Conn

	mu sync.Mutex
	// owner is the attempt that the connection was last assigned to, or nil
	// if the connection is unused or fenced.
	owner *attempt
	// reused is true once the connection has served an earlier attempt.
	reused bool
	// mayHaveSent is true once a byte of the attempt may have been sent.
	mayHaveSent bool
	// hasReceived is true once a byte has been received for the attempt.
	hasReceived bool
	header      headerCapture
	// broken is true once the connection must not serve another attempt.
	broken bool
	// fenced is true once no further byte may be sent.
	fenced bool
	// incarnation is that of the backend to which the connection was opened.
	incarnation mustardramp.Incarnation
}

// bind assigns the connection to an attempt. If the connection is broken or leads
// to an earlier incarnation of the backend, it is fenced and the attempt canceled,
// and also if the backend takes no more requests of this host or if the request's key
// has been removed since it arrived.
func (c *backendConn) bind(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owner = a
	c.reused = c.reused || c.mayHaveSent
	c.mayHaveSent = false
	c.hasReceived = false
	c.header.reset()
	if !c.reused {
		c.incarnation = a.backend.Incarnation
	}
	a.keyDenial = a.x.findKeyChange()
	switch {
	case a.slot.Withdrawn():
		c.fenced, c.broken = true, true
		a.cancel(errWithdrawn)
	case a.keyDenial != nil:
		c.fenced, c.broken = true, true
		a.cancel(errKeyChanged)
	case c.broken || c.incarnation != a.backend.Incarnation:
		c.fenced, c.broken = true, true
		a.cancel(errBroken)
	}
}

// fence closes the connection, so that no further byte is sent, and reports
// whether a byte of the attempt may have been sent.
func (c *backendConn) fence() bool {
	c.mu.Lock()
	c.fenced = true
	c.broken = true
	c.owner = nil
	mayHaveSent := c.mayHaveSent
	c.mu.Unlock()
	_ = c.Conn.Close()
	return mayHaveSent
}

// Write sends bytes unless the connection is fenced.
func (c *backendConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.fenced {
		c.mu.Unlock()
		return 0, errFenced
	}
	c.mayHaveSent = true
	c.mu.Unlock()
	// A failed write does not cancel the attempt: the backend may have
	// responded early.
	return c.Conn.Write(p)
}

// Read receives bytes and captures the header of the response. Bytes that arrive on
// a reused connection before the request is sent belong to an earlier one, and
// break the connection. A reset is never reported as the end of a response.
func (c *backendConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.isUnrequested() {
		c.markBroken()
		return 0, errBroken
	}
	if n > 0 {
		c.mu.Lock()
		c.hasReceived = true
		c.header.write(p[:n])
		c.mu.Unlock()
	}
	if err != nil {
		c.markBroken()
	}
	if errors.Is(err, io.EOF) && wasReset(c.Conn) {
		return n, errReset
	}
	return n, err
}

// isUnrequested reports whether bytes that arrive now belong to an earlier request:
// the connection is reused and no byte of the attempt was sent.
func (c *backendConn) isUnrequested() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reused && !c.mayHaveSent
}

// connectionHeader returns the values of the response's Connection header.
func (c *backendConn) connectionHeader() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.header.connectionHeader()
}

// Close closes the connection.
func (c *backendConn) Close() error {
	c.markBroken()
	return c.Conn.Close()
}

// markBroken marks the connection as broken and cancels an attempt that has
// received nothing yet.
func (c *backendConn) markBroken() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = true
	if c.owner != nil && !c.hasReceived {
		c.owner.cancel(errBroken)
	}
}
