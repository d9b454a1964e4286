package entry

import (
	"net"
	"sync"

	"github.com/zeebo/errs"
)

var (
	errFenced = errs.New("the attempt that used this connection has ended")
	errBroken = errs.New("the connection broke before the answer began")
)

// wire is a connection to a backend that knows which attempt uses it. It
// serves two ends. It proves whether a byte of an attempt may have left. And
// it ends the attempt before the transport learns of a broken connection: the
// transport would else send some requests again by itself.
type wire struct {
	net.Conn

	mu sync.Mutex
	// user is the attempt that the connection serves, or nil when idle.
	user *attempt
	// wrote is true once a byte for user may have left.
	wrote bool
	// answered is true once a byte came back for user.
	answered bool
	head     head
	// broken connections take no further attempt.
	broken bool
	// fenced connections let no further byte leave.
	fenced bool
}

// bind gives the connection to an attempt. A broken one lets no byte leave.
func (c *wire) bind(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.user = a
	c.wrote = false
	c.answered = false
	c.head.reset()
	if c.broken {
		c.fenced = true
		a.cancel(errBroken)
	}
}

// fence ends the attempt's use of the connection and reports whether a byte
// may have left for it. No byte leaves afterwards.
func (c *wire) fence() bool {
	c.mu.Lock()
	c.fenced = true
	c.broken = true
	c.user = nil
	wrote := c.wrote
	c.mu.Unlock()
	_ = c.Conn.Close()
	return wrote
}

// Write sends bytes unless the connection is fenced.
func (c *wire) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.fenced {
		c.mu.Unlock()
		return 0, errFenced
	}
	c.wrote = true
	c.mu.Unlock()
	// A failed write ends no attempt: the backend may have answered early.
	return c.Conn.Write(p)
}

// Read receives bytes.
func (c *wire) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		c.answered = true
		c.head.take(p[:n])
		c.mu.Unlock()
	}
	if err != nil {
		c.broke()
	}
	return n, err
}

// connection returns the values of the answer's Connection header.
func (c *wire) connection() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.connection()
}

// Close closes the connection.
func (c *wire) Close() error {
	c.broke()
	return c.Conn.Close()
}

// broke marks the connection and ends an attempt that has no answer yet.
func (c *wire) broke() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = true
	if c.user != nil && !c.answered {
		c.user.cancel(errBroken)
	}
}
