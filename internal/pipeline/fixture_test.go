package pipeline

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// memoryListener accepts connections that dial opens, without a network.
type memoryListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newMemoryListener() *memoryListener {
	return &memoryListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *memoryListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *memoryListener) dial() net.Conn {
	near, far := net.Pipe()
	l.conns <- far
	return near
}

// fixture is a server behind a Listener.
type fixture struct {
	memory   *memoryListener
	listener *Listener
	server   *http.Server

	mu      sync.Mutex
	streams []*stream
}

// note records the streams that the server serves.
func (f *fixture) note(c net.Conn, state http.ConnState) {
	if state == http.StateNew {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.streams = append(f.streams, c.(*stream))
	}
	f.listener.ConnState(c, state)
}

// inspect applies read to the stream with the given number, and returns the result, or
// a zero value if there is no such stream yet.
func inspect[T any](f *fixture, number int, read func(s *stream) T) (result T) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if number < len(f.streams) {
		s := f.streams[number]
		s.conn.mu.Lock()
		defer s.conn.mu.Unlock()
		result = read(s)
	}
	return result
}

// conns returns the connections of the callers. An internal stream of one may be served
// before the first stream of another.
func (f *fixture) conns() (conns []*conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.streams {
		if s == &s.conn.first {
			conns = append(conns, s.conn)
		}
	}
	return conns
}

func newFixture(t *testing.T, limits Limits, handler http.HandlerFunc, configure ...func(*http.Server)) *fixture {
	t.Helper()
	f := &fixture{memory: newMemoryListener()}
	f.listener = NewListener(f.memory, limits)
	f.server = &http.Server{Handler: handler, ConnState: f.note}
	for _, set := range configure {
		set(f.server)
	}
	var group errgroup.Group
	group.Go(func() error { return f.server.Serve(f.listener) })
	t.Cleanup(func() {
		_ = f.server.Close()
		_ = group.Wait()
	})
	return f
}

// caller is a connection with answers read from it.
type caller struct {
	net.Conn
	reader *bufio.Reader
	group  errgroup.Group
}

func (f *fixture) dial(t *testing.T) *caller {
	t.Helper()
	c := &caller{Conn: f.memory.dial()}
	// A hang fails by this limit instead of by the limit of the whole test run.
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	c.reader = bufio.NewReader(c)
	t.Cleanup(func() {
		_ = c.Close()
		_ = c.group.Wait()
	})
	return c
}

// send writes requests in the background: the pipe holds no bytes.
func (c *caller) send(text string) {
	c.group.Go(func() error {
		_, err := io.WriteString(c, text)
		return err
	})
}

// answer returns the body of the next answer, or the text of the error.
func (c *caller) answer() string {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return "error: " + err.Error()
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return "error: " + err.Error()
	}
	return string(body)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

func gets(paths ...string) string {
	var b strings.Builder
	for _, path := range paths {
		b.WriteString(get(path))
	}
	return b.String()
}

// receive returns the next value of a channel, or fails the test.
func receive[T any](t *testing.T, from <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(10 * time.Second):
		t.Fatalf("got no %s", what)
		panic("unreachable")
	}
}

// waitForRelease waits until no internal connection is counted.
func waitForRelease(t *testing.T, l *Listener) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		l.mu.Lock()
		n := l.internalCount
		l.mu.Unlock()
		if n == 0 {
			return
		}
	}
	t.Fatal("got internal connections counted after their end, want none")
}
