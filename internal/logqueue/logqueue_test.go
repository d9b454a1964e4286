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

// stuck is an output whose reader does not read until released.
type stuck struct {
	release chan struct{}
	// entered gets an element at the first write, unless it is nil.
	entered chan struct{}

	mu   sync.Mutex
	text bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	select {
	case s.entered <- struct{}{}:
	default:
	}
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

func (s *stuck) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.String()
}

func TestLinesArriveInOrder(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
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
		t.Errorf("got %d bytes, want the %d of all lines in order", len(got), want.Len())
	}
}

// TestStuckReaderStopsNobody logs far more than the queue holds while nobody
// reads: each line is taken, the memory stays within its limit, and the number of
// the lost lines is told once the reader goes on.
func TestStuckReaderStopsNobody(t *testing.T) {
	out := &stuck{release: make(chan struct{}), entered: make(chan struct{}, 1)}
	q := New(out)
	line := bytes.Repeat([]byte("x"), 1023)
	line = append(line, '\n')
	const lines = 4 * limit / 1024
	for i := range lines {
		if i == lines/2 {
			// A batch was taken, and its write waits for the reader.
			<-out.entered
		}
		if n, err := q.Write(line); n != len(line) || err != nil {
			t.Fatalf("got %d, %v, want the line taken", n, err)
		}
	}
	q.mu.Lock()
	held := len(q.waiting)
	q.mu.Unlock()
	if held > limit {
		t.Errorf("got %d bytes waiting, want at most %d", held, limit)
	}
	close(out.release)
	if err := q.Close(); err != nil {
		t.Fatal(err)
	}
	text := out.String()
	written := strings.Count(text, string(line))
	dropped, words := 0, 0
	for _, told := range strings.Split(text, `"log-lines-dropped" lines=`)[1:] {
		var n int
		if _, err := fmt.Sscanf(told, "%d", &n); err != nil {
			t.Fatal(err)
		}
		dropped += n
		words++
	}
	if words == 0 {
		t.Fatal("got no word of the dropped lines, want their number")
	}
	if written+dropped != lines {
		t.Errorf("got %d lines written and %d told as dropped, want %d together", written, dropped, lines)
	}
}

func TestCloseDoesNotWaitForAStuckReader(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	q := New(out)
	fmt.Fprintln(q, "never read")
	ended := make(chan error, 1)
	timer := time.AfterFunc(30*time.Second, func() { close(out.release) })
	ended <- q.Close()
	if !timer.Stop() {
		t.Error("got a close that waited for the reader, want one that ends by itself")
	} else {
		close(out.release)
	}
	<-ended
	_ = q.group.Wait()
}
