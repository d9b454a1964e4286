package pipeline

import (
	"bytes"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"time"
)

// phase is what the server is expected to read next from the first stream.
type phase int

const (
	// phaseHead: the head of a request, or the rest of one.
	phaseHead phase = iota
	// phaseBody: the rest of a body of known length.
	phaseBody
	// phaseAnswer: nothing; the request is complete and the server answers it. A Read
	// is the server's background read, which notices that the caller is gone.
	phaseAnswer
	// phaseOpaque: bytes that are passed on without a judgment, until the end of the
	// connection.
	phaseOpaque
)

// conn is a connection of a caller. Usually the first stream reads from and writes to
// it directly. While pipelined requests are in progress the connection is split: a
// goroutine (readAhead) reads from it, and the answers take turns in writing to it.
type conn struct {
	listener *Listener
	inner    net.Conn
	// first is the connection that Accept returned for the caller.
	first stream

	mu sync.Mutex
	// changed is signaled after each change that a waiting goroutine may depend on.
	changed sync.Cond

	phase phase
	// partialHead is the part of a head that the server has read in phaseHead.
	partialHead []byte
	// bodyLeft is the number of bytes of the body that the server has not read.
	bodyLeft int64
	// current is the head of the first stream's latest request.
	current head

	// pending holds bytes that were read from the caller and belong to no request in
	// progress.
	pending []byte
	// isSplit is true while readAhead runs.
	isSplit bool
	// isJoining is true if readAhead must return because all requests are answered.
	isJoining bool
	// stopped is true if no further request may start before all are answered.
	stopped bool
	// turns holds the streams of the requests whose answers are not written, in the
	// order of the requests. It is empty unless the connection is split.
	turns []*stream
	// flushing is true while the output that the first of turns held back is written.
	flushing bool
	// callerGone is true if reading from the caller failed.
	callerGone bool
	// isEnding is true if the connection closes after the requests in progress.
	isEnding bool
	// isLastNamed is true once the server was told which request is the last. No other
	// is started then.
	isLastNamed bool
}

func newConn(l *Listener, inner net.Conn) net.Conn {
	c := &conn{listener: l, inner: inner}
	c.changed.L = &c.mu
	c.first.conn = c
	if l.limits.Requests <= 1 {
		c.phase = phaseOpaque
	}
	return &c.first
}

// wait waits for a change or until the deadline, if it is not zero.
func (c *conn) wait(deadline time.Time) {
	if !deadline.IsZero() {
		timer := time.AfterFunc(time.Until(deadline), func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.changed.Broadcast()
		})
		defer timer.Stop()
	}
	c.changed.Wait()
}

// readFirst is the Read of the first stream.
func (c *conn) readFirst(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		switch {
		case c.first.isClosed:
			return 0, net.ErrClosed
		case c.first.isCanceled || c.callerGone:
			return 0, io.EOF
		case c.isSplit:
			// After its answer the first stream waits for the others. Its idle time
			// starts when they are answered too.
			if !c.first.isAnswered && c.first.readExpired() {
				return 0, os.ErrDeadlineExceeded
			}
			deadline := c.first.readDeadline
			if c.first.isAnswered {
				deadline = time.Time{}
			}
			c.wait(deadline)
		case c.phase == phaseAnswer:
			if err := c.readDuringAnswer(p); err != nil {
				return 0, err
			}
		default:
			return c.readRequest(p)
		}
	}
}

// readRequest reads bytes of a request for the first stream.
func (c *conn) readRequest(p []byte) (int, error) {
	if c.phase == phaseBody {
		p = p[:min(int64(len(p)), c.bodyLeft)]
	}
	n, err := c.readInto(p)
	switch c.phase {
	case phaseHead:
		end := c.passHead(p[:n])
		if end < n {
			c.pending = slices.Concat(p[end:n], c.pending)
			n = end
		}
	case phaseBody:
		c.passBody(n)
	}
	return n, err
}

// readInto reads pending bytes, or else from the caller.
func (c *conn) readInto(p []byte) (int, error) {
	if len(c.pending) > 0 {
		n := copy(p, c.pending)
		c.pending = c.pending[n:]
		if len(c.pending) == 0 {
			c.pending = nil
		}
		return n, nil
	}
	c.mu.Unlock()
	defer c.mu.Lock()
	return c.inner.Read(p)
}

// passHead judges bytes in phaseHead and returns how many of them the server may read.
func (c *conn) passHead(p []byte) int {
	text, before := p, len(c.partialHead)
	if before > 0 {
		c.partialHead = append(c.partialHead, p...)
		text = c.partialHead
	}
	from := max(0, before-len(headEnd)+1)
	end := bytes.Index(text[from:], headEnd)
	if end < 0 {
		if len(text) > maxHead {
			c.passOpaque()
		} else if before == 0 {
			c.partialHead = bytes.Clone(p)
		}
		return len(p)
	}
	end += from + len(headEnd)
	c.current = parseHead(text[:end])
	c.partialHead = nil
	if c.current.kind == opaqueHead {
		c.passOpaque()
		return len(p)
	}
	c.first.isAnswered = false
	end -= before
	c.phase, c.bodyLeft = phaseBody, c.current.bodyLength
	length := min(int64(len(p)-end), c.bodyLeft)
	c.passBody(int(length))
	return end + int(length)
}

// passBody counts bytes of a body that the server reads.
func (c *conn) passBody(n int) {
	c.bodyLeft -= int64(n)
	if c.bodyLeft == 0 {
		c.phase = phaseAnswer
	}
}

// passOpaque ends the judgment of this connection's bytes.
func (c *conn) passOpaque() {
	c.phase, c.partialHead = phaseOpaque, nil
}

func (c *conn) passThrough() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.passOpaque()
}

// readDuringAnswer waits for the caller to send ahead, and splits the connection then.
// The server's background read gets no byte, only errors.
func (c *conn) readDuringAnswer(p []byte) error {
	if len(c.pending) == 0 {
		// A single byte shows that the caller sends ahead. It needs no buffer as long
		// as none arrives.
		n, err := c.readInto(p[:min(len(p), 1)])
		c.pending = append(c.pending, p[:n]...)
		return err
	}
	if c.first.readExpired() {
		return os.ErrDeadlineExceeded
	}
	if c.current.kind == plainHead && !c.current.last {
		c.split()
		return nil
	}
	c.wait(c.first.readDeadline)
	return nil
}

// split starts to read ahead.
func (c *conn) split() {
	c.isSplit, c.stopped = true, false
	c.listener.unwritten.Add(1)
	c.turns = append(c.turns, &c.first)
	_ = c.inner.SetReadDeadline(time.Time{})
	c.startRequests()
	c.listener.group.Go(c.readAhead)
}

// readAhead reads further requests until all are answered or the caller is gone. It
// goes on reading while no request may start, so that it notices that the caller is
// gone, up to the bound of pending bytes or to a head that a body may follow.
func (c *conn) readAhead() error {
	buf := make([]byte, maxHead/2)
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.isJoining && !c.callerGone {
		space := maxHead - len(c.pending)
		if space <= 0 || c.mayAwaitBody() {
			c.wait(time.Time{})
			continue
		}
		c.mu.Unlock()
		n, err := c.inner.Read(buf[:min(space, len(buf))])
		c.mu.Lock()
		c.pending = append(c.pending, buf[:n]...)
		c.callerGone = c.callerGone || err != nil && !c.isJoining
		c.startRequests()
	}
	if c.isJoining {
		c.join()
	}
	c.changed.Broadcast()
	return nil
}

// mayAwaitBody reports whether a pending head may have a body. The listener below counts
// heads, and learns of a body only when its request begins.
func (c *conn) mayAwaitBody() bool {
	for rest := c.pending; ; {
		end := bytes.Index(rest, headEnd)
		if end < 0 {
			return false
		}
		end += len(headEnd)
		if parseHead(rest[:end]).kind != plainHead {
			return true
		}
		rest = rest[end:]
	}
}

// join ends the split: the first stream reads directly again.
func (c *conn) join() {
	c.isSplit, c.isJoining = false, false
	deadline := c.first.readDeadline
	if c.first.readLimit > 0 {
		// The idle time counts from the end of the last answer.
		deadline = time.Now().Add(c.first.readLimit)
	}
	_ = c.inner.SetReadDeadline(deadline)
}

// startRequests starts pending requests within the limits.
func (c *conn) startRequests() {
	for !c.stopped && !c.isEnding && !c.isLastNamed && !c.callerGone && len(c.turns) > 0 && len(c.turns) < c.listener.limits.Requests {
		end := bytes.Index(c.pending, headEnd)
		if end < 0 {
			return
		}
		end += len(headEnd)
		h := parseHead(c.pending[:end])
		if h.kind != plainHead {
			c.stopped = true
			return
		}
		s := &stream{conn: c, input: bytes.Clone(c.pending[:end])}
		if !c.listener.open(s) {
			return
		}
		c.pending = c.pending[end:]
		c.turns = append(c.turns, s)
		c.stopped = h.last
		c.changed.Broadcast()
	}
}

// endsWith reports whether no request after that of the stream is in progress. If so, none
// is started any more.
func (c *conn) endsWith(s *stream) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.turns); n > 0 && c.turns[n-1] != s {
		return false
	}
	c.isLastNamed = true
	return true
}

// hasTurn reports whether the stream writes to the caller directly.
func (c *conn) hasTurn(s *stream) bool {
	if len(c.turns) == 0 {
		return s == &c.first
	}
	return c.turns[0] == s && !c.flushing
}

// isFlushing reports whether the output of the stream is being written.
func (c *conn) isFlushing(s *stream) bool {
	return c.flushing && c.turns[0] == s
}

// answered notes that the server has finished the answer of a stream and keeps the
// stream open.
func (c *conn) answered(s *stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s == &c.first {
		switch c.phase {
		case phaseAnswer:
			c.phase = phaseHead
		default:
			// The server saw the end of the request elsewhere.
			c.passOpaque()
		}
	}
	s.isAnswered = true
	c.advance()
}

// closeStream notes that the server has closed a stream.
func (c *conn) closeStream(s *stream) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.isClosed {
		return net.ErrClosed
	}
	s.isClosed = true
	c.changed.Broadcast()
	c.releaseIfDone(s)
	if len(c.turns) == 0 {
		if s == &c.first {
			return c.inner.Close()
		}
		return nil
	}
	if s == &c.first && s.isAnswered {
		c.isEnding = true
	}
	c.advance()
	return nil
}

// releaseIfDone gives back the place of an internal stream that is closed and holds no
// output.
func (c *conn) releaseIfDone(s *stream) {
	if s != &c.first && s.isClosed && (s.isWritten || s.isCanceled) && !s.isReleased {
		s.isReleased = true
		c.listener.release()
	}
}

// advance gives the turn to the next streams while the answers before them are
// complete. It writes the output that they held back.
func (c *conn) advance() {
	for len(c.turns) > 0 && !c.flushing {
		s := c.turns[0]
		if !s.isAnswered {
			if s.isClosed {
				c.cancel()
			}
			return
		}
		c.turns = slices.Delete(c.turns, 0, 1)
		s.isWritten = true
		c.releaseIfDone(s)
		if len(c.turns) == 0 {
			c.listener.unwritten.Add(-1)
			break
		}
		if !c.flush(c.turns[0]) {
			c.cancel()
			return
		}
		c.startRequests()
	}
	c.changed.Broadcast()
	if !c.isSplit || len(c.turns) > 0 {
		return
	}
	if c.isEnding {
		c.cancel()
		return
	}
	c.isJoining = true
	// Ends a read of readAhead.
	_ = c.inner.SetReadDeadline(time.Unix(1, 0))
}

// flush writes the output that a stream held back, and reports success.
func (c *conn) flush(s *stream) bool {
	c.flushing = true
	var err error
	if output := s.output; len(output) > 0 {
		s.output = nil
		if s.writeLimit > 0 {
			_ = c.inner.SetWriteDeadline(time.Now().Add(s.writeLimit))
		}
		c.mu.Unlock()
		_, err = c.inner.Write(output)
		c.mu.Lock()
	}
	switch {
	case s.clearWriteLimit:
		_ = c.inner.SetWriteDeadline(time.Time{})
	case s.writeLimit > 0:
		_ = c.inner.SetWriteDeadline(time.Now().Add(s.writeLimit))
	}
	c.flushing = false
	c.changed.Broadcast()
	return err == nil
}

// cancel closes the caller's connection and ends the requests in progress.
func (c *conn) cancel() {
	for _, s := range c.turns {
		s.isCanceled, s.output = true, nil
		c.releaseIfDone(s)
	}
	c.first.isCanceled = true
	if len(c.turns) > 0 {
		c.turns = nil
		c.listener.unwritten.Add(-1)
	}
	c.isEnding, c.callerGone, c.pending = true, true, nil
	_ = c.inner.Close()
	c.changed.Broadcast()
}
