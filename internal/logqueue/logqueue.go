// Package logqueue writes log lines without blocking those who log: a reader of
// the log that stops reading stops no request.
package logqueue

import (
	"fmt"
	"io"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// limit bounds the bytes that wait to be written: over a thousand lines of
	// the longest usual kind, that of a refusal.
	limit = 512 << 10
	// flushPause is the time in which lines gather for one write.
	flushPause = 20 * time.Millisecond
	// closeTime bounds the last write of a process that ends.
	closeTime = 500 * time.Millisecond
)

// Queue is a writer that takes each line at once and passes lines on in batches.
// What does not fit is dropped and counted. New makes one.
type Queue struct {
	out   io.Writer
	group errgroup.Group
	// wake has one element while lines wait.
	wake chan struct{}
	stop chan struct{}

	mu sync.Mutex
	// waiting is at most limit bytes long.
	waiting []byte
	dropped int
	err     error
}

// New returns a queue that writes to out until Close.
func New(out io.Writer) *Queue {
	q := &Queue{out: out, wake: make(chan struct{}, 1), stop: make(chan struct{})}
	q.group.Go(q.run)
	return q
}

// Write takes a line. It never blocks on the output and never fails.
func (q *Queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting)+len(line) > limit {
		q.dropped++
		return len(line), nil
	}
	q.waiting = append(q.waiting, line...)
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Close writes what waits, unless the output blocks, and returns the first error
// of the output.
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
	case <-time.After(closeTime):
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.err
}

func (q *Queue) run() error {
	for {
		select {
		case <-q.wake:
			time.Sleep(flushPause)
			q.flush()
		case <-q.stop:
			q.flush()
			return nil
		}
	}
}

// flush writes what waits. A write may block: lines then gather up to the limit.
func (q *Queue) flush() {
	q.mu.Lock()
	batch, dropped := q.waiting, q.dropped
	q.waiting, q.dropped = nil, 0
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
		if q.err == nil {
			q.err = err
		}
	}
}
