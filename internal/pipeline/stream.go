package pipeline

import (
	"io"
	"net"
	"os"
	"time"
)

// stream is a connection as net/http's server sees it: the first stream of a caller's
// connection carries its requests one after the other, an internal one carries a single
// pipelined request. All fields are guarded by conn.mu.
type stream struct {
	conn *conn
	// input holds the bytes of an internal stream's request that the server has not
	// read.
	input []byte
	// output holds the bytes of an answer whose turn has not come.
	output []byte
	// isAnswered is true once the server has finished the answer. Of the first stream
	// it refers to the latest request.
	isAnswered bool
	// isClosed is true once the server has closed the stream.
	isClosed bool
	// isWritten is true once the whole answer of an internal stream is written.
	isWritten bool
	// isReleased is true once the listener has stopped counting an internal stream.
	isReleased bool
	// isCanceled is true if an earlier answer has closed the connection.
	isCanceled bool

	readDeadline time.Time
	// readLimit is the time from the setting of readDeadline to readDeadline.
	readLimit time.Duration
	// writeLimit is the time allowed for writing output, from the start of its turn.
	// Zero sets no limit.
	writeLimit time.Duration
	// clearWriteLimit is true if the server wants no deadline after output is written.
	clearWriteLimit bool
	// writeExpired is true if a deadline in the past was set.
	writeExpired bool
}

// Read reads the next bytes of a request.
func (s *stream) Read(p []byte) (int, error) {
	if s == &s.conn.first {
		return s.conn.readFirst(p)
	}
	c := s.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		switch {
		case s.isClosed:
			return 0, net.ErrClosed
		case s.isCanceled || s.isAnswered || c.callerGone:
			return 0, io.EOF
		case len(s.input) > 0:
			n := copy(p, s.input)
			s.input = s.input[n:]
			return n, nil
		case s.readExpired():
			return 0, os.ErrDeadlineExceeded
		}
		c.wait(s.readDeadline)
	}
}

// readExpired reports whether the read deadline has passed.
func (s *stream) readExpired() bool {
	return !s.readDeadline.IsZero() && !time.Now().Before(s.readDeadline)
}

// Write writes a part of an answer. While earlier answers are not complete, it holds
// the bytes back.
func (s *stream) Write(p []byte) (int, error) {
	c := s.conn
	written := 0
	c.mu.Lock()
	for {
		switch {
		case s.isClosed || s.isCanceled:
			c.mu.Unlock()
			return written, net.ErrClosed
		case c.hasTurn(s):
			c.mu.Unlock()
			n, err := c.inner.Write(p)
			return written + n, err
		case s.writeExpired:
			c.mu.Unlock()
			return written, os.ErrDeadlineExceeded
		}
		if space := c.listener.limits.Buffer - len(s.output); space > 0 && !c.isFlushing(s) {
			n := min(space, len(p))
			s.output = append(s.output, p[:n]...)
			written += n
			p = p[n:]
			if len(p) == 0 {
				c.mu.Unlock()
				return written, nil
			}
		}
		c.wait(time.Time{})
	}
}

// Close ends the stream. Before the end of an answer it also closes the caller's
// connection when the turn of the answer comes.
func (s *stream) Close() error {
	return s.conn.closeStream(s)
}

// CloseWrite closes the caller's connection for writing if it is the stream's turn.
func (s *stream) CloseWrite() error {
	c := s.conn
	c.mu.Lock()
	hasTurn := c.hasTurn(s)
	c.mu.Unlock()
	if closer, ok := c.inner.(interface{ CloseWrite() error }); ok && hasTurn {
		return closer.CloseWrite()
	}
	return nil
}

// NetConn returns the caller's connection.
func (s *stream) NetConn() net.Conn { return s.conn.inner }

// LocalAddr returns the local address of the caller's connection.
func (s *stream) LocalAddr() net.Addr { return s.conn.inner.LocalAddr() }

// RemoteAddr returns the caller's address.
func (s *stream) RemoteAddr() net.Addr { return s.conn.inner.RemoteAddr() }

// SetDeadline sets both deadlines.
func (s *stream) SetDeadline(t time.Time) error {
	if err := s.SetReadDeadline(t); err != nil {
		return err
	}
	return s.SetWriteDeadline(t)
}

// SetReadDeadline sets the deadline of Read.
func (s *stream) SetReadDeadline(t time.Time) error {
	c := s.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	s.readDeadline, s.readLimit = t, 0
	if !t.IsZero() {
		s.readLimit = time.Until(t)
	}
	c.changed.Broadcast()
	if s == &c.first && !c.isSplit {
		return c.inner.SetReadDeadline(t)
	}
	return nil
}

// SetWriteDeadline sets the deadline of Write. For an answer whose turn has not come,
// the time counts from the start of its turn: until then the caller cannot read it.
func (s *stream) SetWriteDeadline(t time.Time) error {
	c := s.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hasTurn(s) {
		return c.inner.SetWriteDeadline(t)
	}
	// The server clears the deadline at the end of an answer. Output held back by
	// then keeps its limit.
	s.clearWriteLimit = t.IsZero()
	if !t.IsZero() {
		s.writeLimit = time.Until(t)
	}
	s.writeExpired = !t.IsZero() && s.writeLimit <= 0
	c.changed.Broadcast()
	return nil
}
