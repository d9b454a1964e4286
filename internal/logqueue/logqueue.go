// Package logqueue writes log lines in the background, so that a reader of the log
// that stops reading does not block the goroutines that log.
package logqueue

import (
	"fmt"
	"io"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// maxBufferedBytes limits the bytes that wait to be written. It holds over a
	// thousand lines of refusals, the longest kind that is common.
	maxBufferedBytes = 512 << 10
	// flushDelay is the time during which lines are collected for one write.
	flushDelay = 20 * time.Millisecond
	// closeTimeout is how long Close waits for the last write.
	closeTimeout = 500 * time.Millisecond
)

// Queue is a writer that buffers lines and writes them in batches. Lines that do
// not fit into the buffer are dropped and counted. Use New to create one.
type Queue struct {
	out   io.Writer
	group errgroup.Group
	// wake has one element while lines wait for a flush.
	wake chan struct{}
	stop chan struct{}

	mu sync.Mutex
	// buffer is at most maxBufferedBytes long.
	buffer []byte
	// dropped counts the lines dropped since the last flush.
	dropped  int
	firstErr error
}

// New returns a queue that writes to out until it is closed.
func New(out io.Writer) *Queue {
	q := &Queue{out: out, wake: make(chan struct{}, 1), stop: make(chan struct{})}
	q.group.Go(q.run)
	return q
}

// Write buffers a line, or drops it if the buffer is full. It never waits for the
// output and never returns an error.
func (q *Queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.buffer)+len(line) > maxBufferedBytes {
		q.dropped++
		return len(line), nil
	}
	q.buffer = append(q.buffer, line...)
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Close writes the buffered lines and returns the first error of the output. It
// gives up after closeTimeout if the output blocks.
func (q *Queue) Close() error {
	close(q.stop)
	done := make(chan struct{})
	var group errgroup.Group
	group.Go(func() error {
		_ = q.group.Wait()
		close(done)
		return nil
	})
	select {
	case <-done:
	case <-time.After(closeTimeout):
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.firstErr
}

// run flushes the buffer whenever lines wait, until stop is closed.
func (q *Queue) run() error {
	for {
		select {
		case <-q.wake:
			time.Sleep(flushDelay)
			q.flush()
		case <-q.stop:
			q.flush()
			return nil
		}
	}
}

// flush writes the buffered lines. While a write blocks, new lines are buffered up
// to maxBufferedBytes.
func (q *Queue) flush() {
	q.mu.Lock()
	batch, dropped := q.buffer, q.dropped
	q.buffer, q.dropped = nil, 0
	q.mu.Unlock()
	if dropped > 0 {
		batch = fmt.Appendf(batch, "\"log-lines-dropped\" lines=%d\n", dropped)
	}
	if len(batch) == 0 {
		return
	}
	if _, err := q.out.Write(batch); err != nil {
		q.mu.Lock()
		defer q.mu.Unlock()
		if q.firstErr == nil {
			q.firstErr = err
		}
	}
}
