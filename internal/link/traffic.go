package link

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/mustardramp/mustardramp"
)

// Traffic counts the bytes of one link in each direction. Its zero value works.
type Traffic struct {
	sent     atomic.Int64
	received atomic.Int64
	heard    atomic.Int64
}

// Sent returns the bytes written so far.
func (t *Traffic) Sent() mustardramp.Bytes {
	return mustardramp.Bytes(t.sent.Load())
}

// Received returns the bytes read so far.
func (t *Traffic) Received() mustardramp.Bytes {
	return mustardramp.Bytes(t.received.Load())
}

// Register shows the counts in a registry as "name.sent" and "name.received".
func (t *Traffic) Register(r metrics.Registry, name string) error {
	if err := r.Register(name+".sent", metrics.NewFunctionalGauge(t.sent.Load)); err != nil {
		return err
	}
	return r.Register(name+".received", metrics.NewFunctionalGauge(t.received.Load))
}

// countedConn counts the bytes of a connection and bounds each write.
type countedConn struct {
	net.Conn
	traffic      *Traffic
	writeTimeout time.Duration
}

// Read counts what it reads.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.traffic.received.Add(int64(n))
		c.traffic.heard.Add(1)
	}
	return n, err
}

// Write counts what it writes, before the peer can have read it. A peer that
// does not read ends the connection.
func (c *countedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	c.traffic.sent.Add(int64(len(p)))
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(int64(n - len(p)))
	if err != nil {
		// A frame may be cut: nothing may follow it.
		_ = c.Close()
	}
	return n, err
}
