package link

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/mustardramp/mustardramp"
)

// Traffic counts the bytes of a client or server in each direction. The zero
// value is ready to use.
type Traffic struct {
	sent     atomic.Int64
	received atomic.Int64
	// reads counts the reads that returned data.
	reads atomic.Int64
}

// Sent returns the number of bytes written so far.
func (t *Traffic) Sent() mustardramp.Bytes {
	return mustardramp.Bytes(t.sent.Load())
}

// Received returns the number of bytes read so far.
func (t *Traffic) Received() mustardramp.Bytes {
	return mustardramp.Bytes(t.received.Load())
}

// Register adds gauges of both counts to r, as "name.sent" and "name.received".
func (t *Traffic) Register(r metrics.Registry, name string) error {
	if err := r.Register(name+".sent", metrics.NewFunctionalGauge(t.sent.Load)); err != nil {
		return err
	}
	return r.Register(name+".received", metrics.NewFunctionalGauge(t.received.Load))
}

// countingConn counts the bytes of a connection and sets a deadline for each write.
type countingConn struct {
	net.Conn
	traffic      *Traffic
	writeTimeout time.Duration
}

// Read counts the bytes that it reads.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.traffic.received.Add(int64(n))
		c.traffic.reads.Add(1)
	}
	return n, err
}

// Write counts the bytes before it writes them, so that the count includes them
// by the time the peer reads them. It closes the connection if a write fails, for
// example because the peer does not read.
func (c *countingConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	c.traffic.sent.Add(int64(len(p)))
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(int64(n - len(p)))
	if err != nil {
		// Part of a frame may have been written, so nothing may follow it.
		_ = c.Close()
	}
	return n, err
}
