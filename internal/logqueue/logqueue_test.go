package logqueue

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// blockedWriter is an output that blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	// writing receives an element at the first write, unless it is nil.
	writing chan struct{}

	mu   sync.Mutex
	text bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	select {
	case s.writing <- struct{}{}:
	default:
	}
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

func (s *blockedWriter) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.String()
}

func TestLinesArriveInOrder(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	close(out.release)
	q := New(out)
	var want strings.Builder
	for i := range 1000 {
		fmt.Fprintf(q, "line %d\n", i)
		fmt.Fprintf(&want, "line %d\n", i)
	}
	if err := q.Close(); err != nil {
		t.Fatal(err)
	}
	if got := out.String(); got != want.String() {
		t.Errorf("got %d bytes, want the %d bytes of all lines in order", len(got), want.Len())
	}
}

// TestBlockedOutputDoesNotBlockWrites guards against an output that blocks those
// who log, or that lets the buffer grow without limit. It writes four times what
// the buffer holds while the output blocks. The number of dropped lines must be
// logged once the output is released.
func TestBlockedOutputDoesNotBlockWrites(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{}), writing: make(chan struct{}, 1)}
	q := New(out)
	line := bytes.Repeat([]byte("x"), 1023)
	line = append(line, '\n')
	const lines = 4 * maxBufferedBytes / 1024
	for i := range lines {
		if i == lines/2 {
			// The write of the first batch blocks from here on.
			<-out.writing
		}
		if n, err := q.Write(line); n != len(line) || err != nil {
			t.Fatalf("got %d, %v, want the length of the line and no error", n, err)
		}
	}
	q.mu.Lock()
	buffered := len(q.buffer)
	q.mu.Unlock()
	if buffered > maxBufferedBytes {
		t.Errorf("got %d bytes buffered, want at most %d", buffered, maxBufferedBytes)
	}
	close(out.release)
	if err := q.Close(); err != nil {
		t.Fatal(err)
	}
	text := out.String()
	written := strings.Count(text, string(line))
	dropped, reports := 0, 0
	for _, report := range strings.Split(text, `"log-lines-dropped" lines=`)[1:] {
		var n int
		if _, err := fmt.Sscanf(report, "%d", &n); err != nil {
			t.Fatal(err)
		}
		dropped += n
		reports++
	}
	if reports == 0 {
		t.Fatal("got no log-lines-dropped event, want at least one")
	}
	if written+dropped != lines {
		t.Errorf("got %d lines written and %d reported as dropped, want a sum of %d", written, dropped, lines)
	}
}

func TestCloseDoesNotWaitForBlockedOutput(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	q := New(out)
	fmt.Fprintln(q, "never read")
	closed := make(chan error, 1)
	timer := time.AfterFunc(30*time.Second, func() { close(out.release) })
	closed <- q.Close()
	if !timer.Stop() {
		t.Error("Close waited until the output was released, want it to return by itself")
	} else {
		close(out.release)
	}
	<-closed
	_ = q.group.Wait()
}
