package entry

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mustardramp/mustardramp"
)

// serverFixture is a fixture behind a Server that a test can stop.
type serverFixture struct {
	*fixture
	entryServer *Server
	address     string
	group       errgroup.Group
}

func newServerFixture(t *testing.T, delay time.Duration, backends ...string) *serverFixture {
	t.Helper()
	return startServerFixture(t, newFixture(t, backends...), delay, func(*Server) {})
}

// startServerFixture starts a server that configure has prepared.
func startServerFixture(t *testing.T, f *fixture, delay time.Duration, configure func(*Server)) *serverFixture {
	t.Helper()
	s := &serverFixture{fixture: f}
	s.entryServer = NewServer(s.handler, delay, nil)
	configure(s.entryServer)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = listener.Addr().String()
	s.server.URL = "http://" + s.address
	s.group.Go(func() error { return s.entryServer.Serve(listener) })
	eventually(t, "readiness", s.entryServer.Ready)
	return s
}

func (s *serverFixture) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn, bufio.NewReader(conn)
}

// waitForSlots waits until n slots are in use.
func (s *serverFixture) waitForSlots(t *testing.T, n int) {
	t.Helper()
	eventually(t, "slots", func() bool {
		s.pool.mu.Lock()
		defer s.pool.mu.Unlock()
		return s.pool.heldSlots == n
	})
}

// TestStopLetsRequestsFinish stops a host during an upload and a download, with
// one idle connection open, and checks that both requests complete.
func TestStopLetsRequestsFinish(t *testing.T) {
	release := make(chan struct{})
	backend := startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if r.Method == http.MethodGet {
			_, _ = io.WriteString(w, "begun ")
			_ = http.NewResponseController(w).Flush()
			<-release
		}
		_, _ = io.WriteString(w, string(body[max(0, len(body)-4):])+"ended")
	})
	s := newServerFixture(t, 0, backend)
	upload, uploaded := s.dial(t)
	_, _ = io.WriteString(upload, "PUT /uploads/a HTTP/1.1\r\nHost: mohor.example\r\nContent-Length: 100004\r\n\r\n"+strings.Repeat("x", 50_000))
	download, downloaded := s.dial(t)
	_, _ = io.WriteString(download, "GET /plain/a HTTP/1.1\r\nHost: mohor.example\r\n\r\n")
	s.waitForSlots(t, 2)
	idle, _ := s.dial(t)
	var stopped errgroup.Group
	stopped.Go(func() error { return s.entryServer.Stop(context.Background()) })
	eventually(t, "end of readiness", func() bool { return !s.entryServer.Ready() })
	if err := s.group.Wait(); err != nil {
		t.Errorf("Serve: got %v, want nil", err)
	}
	if conn, err := net.Dial("tcp", s.address); err == nil {
		_ = conn.Close()
		t.Error("a new connection: got it accepted, want it refused")
	}
	_, _ = io.WriteString(upload, strings.Repeat("x", 50_000)+"last")
	close(release)
	for name, reader := range map[string]*bufio.Reader{"lastended": uploaded, "begun ended": downloaded} {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("response %q: got %v, want a complete response", name, err)
		}
		if got := readBody(t, response); got != name {
			t.Errorf("response: got %q, want %q", got, name)
		}
	}
	_ = idle.Close()
	if err := stopped.Wait(); err != nil {
		t.Errorf("Stop: got %v, want nil", err)
	}
}

// TestStopDelayServesWithoutKeepAlive checks that during the stop delay the server
// reports not ready but still serves, and closes each connection.
func TestStopDelayServesWithoutKeepAlive(t *testing.T) {
	backend := startBackend(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	s := newServerFixture(t, time.Hour, backend)
	if response := s.send(t, "GET", "/plain/a", ""); response.Close || readBody(t, response) != "ok" {
		t.Error("before the stop: got the connection closed, want it kept open")
	}
	ctx, cancel := context.WithCancel(context.Background())
	var stopped errgroup.Group
	stopped.Go(func() error { return s.entryServer.Stop(ctx) })
	eventually(t, "draining", s.handler.draining.Load)
	w := httptest.NewRecorder()
	s.entryServer.Readiness(w, nil)
	if w.Code != http.StatusServiceUnavailable {
		t.Errorf("readiness: got %d, want 503", w.Code)
	}
	if response := s.send(t, "GET", "/plain/a", ""); !response.Close || readBody(t, response) != "ok" {
		t.Error("during the stop delay: got the connection kept open, want a response and a close")
	}
	cancel()
	_ = stopped.Wait()
	_ = s.group.Wait()
}

func TestStoppingHostRefuses(t *testing.T) {
	f := newFixture(t)
	f.handler.stopping.Store(true)
	response := f.send(t, "POST", "/stamps", "")
	f.wantRefusal(t, response, mustardramp.KindStopping, mustardramp.VerdictNotRun())
	if !response.Close || response.Header.Get("Retry-After") == "" {
		t.Errorf("got close %v, Retry-After %q, want the connection closed and a retry elsewhere", response.Close, response.Header.Get("Retry-After"))
	}
}

// TestAbortedRequestsRecordVerdicts checks that each request that the operator
// aborts leaves a refusal with its verdict.
func TestAbortedRequestsRecordVerdicts(t *testing.T) {
	hang := make(chan struct{})
	t.Cleanup(func() { close(hang) })
	var arrived atomic.Int64
	backend := startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		arrived.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/plain/begun" {
			_, _ = io.WriteString(w, "begun")
			_ = http.NewResponseController(w).Flush()
		}
		select {
		case <-hang:
		case <-r.Context().Done():
		}
	})
	s := newServerFixture(t, 0, backend)
	requests := map[string]string{
		"once":    "POST /stamps HTTP/1.1\r\nContent-Length: 1\r\n",
		"plain":   "GET /plain/a HTTP/1.1\r\n",
		"answer":  "GET /plain/begun HTTP/1.1\r\n",
		"upload":  "PUT /uploads/a HTTP/1.1\r\nContent-Length: 100000\r\n",
		"reading": "POST /stamps HTTP/1.1\r\nContent-Length: 50\r\n",
	}
	verdicts := map[string]mustardramp.Verdict{
		"once": mustardramp.VerdictMayHaveRun(), "plain": mustardramp.VerdictMayHaveRun(), "answer": mustardramp.VerdictRan(),
		"upload": mustardramp.VerdictMayHaveRun(), "reading": mustardramp.VerdictNotRun(),
	}
	for id, request := range requests {
		conn, reader := s.dial(t)
		_, _ = io.WriteString(conn, request+"Host: mohor.example\r\nX-Request-Id: "+id+"\r\n\r\nx")
		if id == "answer" {
			if _, err := http.ReadResponse(reader, nil); err != nil {
				t.Fatal(err)
			}
		}
	}
	eventually(t, "requests at the backend", func() bool { return arrived.Load() == 4 })
	eventually(t, "requests in flight", func() bool { return s.handler.InFlight() == 5 })
	ctx, cancel := context.WithCancel(context.Background())
	var stopped errgroup.Group
	stopped.Go(func() error { return s.entryServer.Stop(ctx) })
	eventually(t, "stop", s.handler.stopping.Load)
	cancel()
	if err := stopped.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		t.Errorf("Stop: got %v, want nil", err)
	}
	if got := s.handler.InFlight(); got != 0 {
		t.Errorf("in flight: got %d, want 0", got)
	}
	for id, want := range verdicts {
		found := s.handler.Refusals().ByRequest(id)
		if len(found) != 1 {
			t.Errorf("%s: got %d refusals, want 1", id, len(found))
			continue
		}
		if got := found[0].Verdict; got != want {
			t.Errorf("%s: got verdict %v, want %v", id, formatVerdict(got), formatVerdict(want))
		}
	}
}
