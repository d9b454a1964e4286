package pipeline

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestRequestsRunSideBySide guards against requests that wait for the answer to the one
// before: each ends only when all four have begun.
func TestRequestsRunSideBySide(t *testing.T) {
	var all sync.WaitGroup
	all.Add(4)
	f := newFixture(t, Limits{}, func(w http.ResponseWriter, r *http.Request) {
		all.Done()
		all.Wait()
		_, _ = io.WriteString(w, r.URL.Path)
	})
	c := f.dial(t)
	c.send(gets("/1", "/2", "/3", "/4"))
	for _, want := range []string{"/1", "/2", "/3", "/4"} {
		if got := c.answer(); got != want {
			t.Fatalf("answer: got %q, want %q", got, want)
		}
	}
}

// TestAnswersKeepTheOrderOfRequests guards against answers written in the order in which
// handlers end. The handlers end in the reverse order; afterwards the connection serves
// one more request.
func TestAnswersKeepTheOrderOfRequests(t *testing.T) {
	ended := map[string]chan struct{}{"/1": make(chan struct{}), "/2": make(chan struct{}), "/3": make(chan struct{}), "/4": make(chan struct{})}
	next := map[string]string{"/1": "/2", "/2": "/3", "/3": "/4"}
	f := newFixture(t, Limits{}, func(w http.ResponseWriter, r *http.Request) {
		if after, ok := ended[next[r.URL.Path]]; ok {
			<-after
		}
		_, _ = io.WriteString(w, r.URL.Path+strings.Repeat("x", 5000))
		w.(http.Flusher).Flush()
		if done := ended[r.URL.Path]; done != nil {
			close(done)
		}
	})
	c := f.dial(t)
	c.send(gets("/1", "/2", "/3", "/4"))
	for _, want := range []string{"/1", "/2", "/3", "/4", "/5"} {
		if want == "/5" {
			c.send(get("/5"))
		}
		if got := c.answer(); got != want+strings.Repeat("x", 5000) {
			t.Fatalf("answer: got %.20q, want %q", got, want)
		}
	}
}

// TestOtherRequestsWaitForEarlierAnswers guards against a POST that begins beside
// earlier requests, and against requests that begin beside a POST.
func TestOtherRequestsWaitForEarlierAnswers(t *testing.T) {
	begun, proceed := make(chan string, 8), make(chan struct{})
	f := newFixture(t, Limits{}, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		begun <- r.URL.Path
		<-proceed
		_, _ = io.WriteString(w, r.URL.Path+string(body))
	})
	c := f.dial(t)
	post := "POST /3 HTTP/1.1\r\nHost: a\r\nContent-Length: 42\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: attacker\r\n\r\n"
	c.send(gets("/1", "/2") + post + gets("/4", "/5"))
	steps := []struct{ begun, answers []string }{
		{[]string{"/1", "/2"}, []string{"/1", "/2"}},
		{[]string{"/3"}, []string{"/3GET /smuggled HTTP/1.1\r\nHost: attacker\r\n\r\n"}},
		{[]string{"/4", "/5"}, []string{"/4", "/5"}},
	}
	for _, step := range steps {
		var got []string
		for range step.begun {
			got = append(got, receive(t, begun, "request"))
		}
		slices.Sort(got)
		if !slices.Equal(got, step.begun) || len(begun) > 0 {
			t.Fatalf("begun: got %q and %d more, want %q", got, len(begun), step.begun)
		}
		for range step.begun {
			proceed <- struct{}{}
		}
		for _, want := range step.answers {
			if got := c.answer(); got != want {
				t.Fatalf("answer: got %q, want %q", got, want)
			}
		}
	}
}

// TestClosingAnswerEndsLaterRequests guards against answers after one that closes the
// connection, and against later requests that run on.
func TestClosingAnswerEndsLaterRequests(t *testing.T) {
	tests := map[string]struct {
		end  func(w http.ResponseWriter)
		want string
	}{
		"Connection: close": {func(w http.ResponseWriter) {
			w.Header().Set("Connection", "close")
			_, _ = io.WriteString(w, "last")
		}, "last"},
		"abort": {func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, "error: unexpected EOF"},
		"body cut off": {func(w http.ResponseWriter) {
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "cut")
		}, "error: unexpected EOF"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			begun, canceled := make(chan string, 4), make(chan string, 4)
			proceed := make(chan struct{})
			f := newFixture(t, Limits{}, func(w http.ResponseWriter, r *http.Request) {
				begun <- r.URL.Path
				switch r.URL.Path {
				case "/1":
				case "/2":
					<-proceed
					test.end(w)
				case "/3":
					// Longer than what is held: the write waits for its turn.
					_, _ = io.WriteString(w, strings.Repeat("3", 4*DefaultBuffer))
					canceled <- r.URL.Path
				case "/4":
					<-r.Context().Done()
					canceled <- r.URL.Path
				}
			})
			c := f.dial(t)
			c.send(gets("/1", "/2", "/3", "/4"))
			for range 4 {
				receive(t, begun, "request")
			}
			close(proceed)
			for _, want := range []string{"", test.want, "error: unexpected EOF"} {
				if got := c.answer(); got != want {
					t.Errorf("answer: got %q, want %q", got, want)
				}
			}
			receive(t, canceled, "cancellation")
			receive(t, canceled, "cancellation")
		})
	}
}

// TestNothingFollowsTheLastRequest guards against requests that begin although an
// earlier one ends the connection.
func TestNothingFollowsTheLastRequest(t *testing.T) {
	begun, proceed := make(chan string, 4), make(chan struct{})
	f := newFixture(t, Limits{}, func(_ http.ResponseWriter, r *http.Request) {
		begun <- r.URL.Path
		<-proceed
	})
	c := f.dial(t)
	c.send(get("/1") + "GET /2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" + get("/3"))
	receive(t, begun, "request")
	receive(t, begun, "request")
	close(proceed)
	for _, want := range []string{"", "", "error: unexpected EOF"} {
		if got := c.answer(); got != want {
			t.Errorf("answer: got %q, want %q", got, want)
		}
	}
	if len(begun) > 0 {
		t.Errorf("got a request after the last one, want none")
	}
}

// TestLostCallerEndsAllRequests guards against requests that run on without a caller.
func TestLostCallerEndsAllRequests(t *testing.T) {
	begun, canceled := make(chan string, 4), make(chan string, 4)
	f := newFixture(t, Limits{}, func(_ http.ResponseWriter, r *http.Request) {
		begun <- r.URL.Path
		<-r.Context().Done()
		canceled <- r.URL.Path
	})
	c := f.dial(t)
	// The fifth waits for a place and must not hide the end of the connection.
	c.send(gets("/1", "/2", "/3", "/4", "/5"))
	for range 4 {
		receive(t, begun, "request")
	}
	if err := c.group.Wait(); err != nil {
		t.Fatal(err)
	}
	_ = c.Close()
	for range 4 {
		receive(t, canceled, "cancellation")
	}
	if len(begun) > 0 {
		t.Error("got a request begun without a caller, want none")
	}
}

// TestBoundsOnRequests guards against more requests in progress than the limits allow,
// of one connection and of all, and against waiting requests that are never served.
func TestBoundsOnRequests(t *testing.T) {
	tests := map[string]struct {
		limits Limits
		want   int
	}{
		"one connection":  {Limits{Requests: 3}, 6},
		"all connections": {Limits{Requests: 4, Internal: 1}, 3},
		"off":             {Limits{Requests: 1}, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			begun, proceed := make(chan string, 20), make(chan struct{})
			f := newFixture(t, test.limits, func(w http.ResponseWriter, r *http.Request) {
				begun <- r.URL.Path
				<-proceed
				_, _ = io.WriteString(w, r.URL.Path)
			})
			paths := []string{"/1", "/2", "/3", "/4", "/5", "/6"}
			callers := []*caller{f.dial(t), f.dial(t)}
			for _, c := range callers {
				c.send(gets(paths...))
			}
			for range test.want {
				receive(t, begun, "request")
			}
			if test.limits.Requests > 1 {
				// Requests may only start when all are read.
				all := len(callers) * len(gets(paths...))
				progress := func() (turns, read int) {
					for _, c := range f.conns() {
						c.mu.Lock()
						turns += len(c.turns)
						read += len(c.pending)
						c.mu.Unlock()
					}
					return turns, read + turns*len(get("/1"))
				}
				turns, read := progress()
				for ; read < all; turns, read = progress() {
					time.Sleep(time.Millisecond)
				}
				if turns != test.want {
					t.Errorf("requests in progress: got %d, want %d", turns, test.want)
				}
			}
			close(proceed)
			for _, c := range callers {
				for _, want := range paths {
					if got := c.answer(); got != want {
						t.Fatalf("answer: got %q, want %q", got, want)
					}
				}
			}
			waitForRelease(t, f.listener)
		})
	}
}

// TestBoundOnHeldBytes guards against an answer that is held without a bound until its
// turn, and against one that is lost or mixed up at the bound.
func TestBoundOnHeldBytes(t *testing.T) {
	proceed, written := make(chan struct{}), make(chan struct{})
	long := strings.Repeat("0123456789", 5000)
	f := newFixture(t, Limits{Buffer: 1000}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/1" {
			<-proceed
			return
		}
		_, _ = io.WriteString(w, long)
		close(written)
	})
	c := f.dial(t)
	c.send(gets("/1", "/2"))
	held := func() int { return inspect(f, 1, func(s *stream) int { return len(s.output) }) }
	for held() < 1000 {
		time.Sleep(time.Millisecond)
	}
	select {
	case <-written:
		t.Fatal("got a long answer written before its turn, want it to wait")
	default:
	}
	if got := held(); got != 1000 {
		t.Errorf("held: got %d bytes, want 1000", got)
	}
	close(proceed)
	if got := c.answer(); got != "" {
		t.Errorf("answer: got %q, want none", got)
	}
	if got := c.answer(); got != long {
		t.Errorf("answer: got %d bytes, want %d unchanged", len(got), len(long))
	}
}

// TestShutdownWaitsForAnswers guards against a shutdown that cuts pipelined answers off
// because the first stream is idle, and against one that never ends.
func TestShutdownWaitsForAnswers(t *testing.T) {
	begun, proceed := make(chan string, 4), make(chan struct{})
	f := newFixture(t, Limits{}, func(w http.ResponseWriter, r *http.Request) {
		begun <- r.URL.Path
		if r.URL.Path != "/1" {
			// A head that is written during the shutdown has Connection: close.
			w.(http.Flusher).Flush()
			<-proceed
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	c := f.dial(t)
	c.send(gets("/1", "/2", "/3"))
	for range 3 {
		receive(t, begun, "request")
	}
	if got := c.answer(); got != "/1" {
		t.Fatalf("answer: got %q, want /1", got)
	}
	stopped := make(chan error, 1)
	c.group.Go(func() error {
		err := f.server.Shutdown(context.Background())
		f.listener.Wait(context.Background())
		stopped <- err
		return nil
	})
	<-f.listener.closed
	// A stopping server closes idle connections at once.
	for !inspect(f, 0, func(s *stream) bool { return s.isClosed }) {
		time.Sleep(time.Millisecond)
	}
	close(proceed)
	for _, want := range []string{"/2", "/3", "error: unexpected EOF"} {
		if got := c.answer(); got != want {
			t.Errorf("answer: got %q, want %q", got, want)
		}
	}
	if err := receive(t, stopped, "end of the shutdown"); err != nil {
		t.Errorf("Shutdown: got %v, want nil", err)
	}
}

// TestIdleTimeAndHeaderTime guards against connections that stay open without a request,
// or with an unfinished one, after pipelined requests, and against an idle time that
// counts from the answer to the first of them.
func TestIdleTimeAndHeaderTime(t *testing.T) {
	tests := map[string]struct{ rest, want string }{
		"idle":            {"", "error: unexpected EOF"},
		"unfinished head": {"GET /4 HT", "400 Bad Request"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begun := make(chan struct{})
				f := newFixture(t, Limits{}, func(w http.ResponseWriter, r *http.Request) {
					switch r.URL.Path {
					case "/1":
						<-begun
					case "/2":
						close(begun)
						time.Sleep(2 * time.Minute)
					}
					_, _ = io.WriteString(w, r.URL.Path)
				}, func(server *http.Server) {
					server.IdleTimeout, server.ReadHeaderTimeout = time.Minute, time.Minute
				})
				c := f.dial(t)
				_ = c.SetDeadline(time.Now().Add(time.Hour))
				c.send(gets("/1", "/2"))
				for _, want := range []string{"/1", "/2", "/3", test.want} {
					if want == "/3" {
						time.Sleep(59 * time.Second)
						c.send(get("/3") + test.rest)
					}
					if got := c.answer(); got != want {
						t.Errorf("answer: got %q, want %q", got, want)
					}
				}
			})
		})
	}
}

// TestWriteDeadlineOfHeldAnswer guards against a deadline that passes while an answer
// waits for its turn, and against a held answer that waits for a slow caller forever.
func TestWriteDeadlineOfHeldAnswer(t *testing.T) {
	for delay, want := range map[time.Duration]string{59 * time.Second: "/2", 61 * time.Second: "error: unexpected EOF"} {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, Limits{}, func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path == "/1" {
						time.Sleep(5 * time.Minute)
					}
					_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(time.Minute))
					_, _ = io.WriteString(w, r.URL.Path)
				})
				c := f.dial(t)
				_ = c.SetDeadline(time.Now().Add(time.Hour))
				c.send(gets("/1", "/2"))
				if got := c.answer(); got != "/1" {
					t.Errorf("answer: got %q, want /1", got)
				}
				time.Sleep(delay)
				if got := c.answer(); got != want {
					t.Errorf("answer: got %q, want %q", got, want)
				}
			})
		})
	}
}

// TestClosingAnswerIsWrittenInFull guards against a held answer that is cut off because
// its stream is closed while the answer is written.
func TestClosingAnswerIsWrittenInFull(t *testing.T) {
	proceed, finish := make(chan struct{}), make(chan struct{})
	f := newFixture(t, Limits{}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/1" {
			<-proceed
			return
		}
		w.Header().Set("Connection", "close")
		w.Header().Set("Content-Length", "2")
		_, _ = io.WriteString(w, "ok")
		w.(http.Flusher).Flush()
		<-finish
	})
	c := f.dial(t)
	c.send(gets("/1", "/2"))
	for !inspect(f, 1, func(s *stream) bool { return len(s.output) > 0 }) {
		time.Sleep(time.Millisecond)
	}
	close(proceed)
	if got := c.answer(); got != "" {
		t.Fatalf("answer: got %q, want none", got)
	}
	for !inspect(f, 1, func(s *stream) bool { return s.conn.flushing }) {
		time.Sleep(time.Millisecond)
	}
	close(finish)
	for !inspect(f, 1, func(s *stream) bool { return s.isClosed }) {
		time.Sleep(time.Millisecond)
	}
	for _, want := range []string{"ok", "error: unexpected EOF"} {
		if got := c.answer(); got != want {
			t.Errorf("answer: got %q, want %q", got, want)
		}
	}
}

// TestWaitCoversHeldAnswers guards against a process that ends after
// http.Server.Shutdown while an answer that was held for its turn is not written.
func TestWaitCoversHeldAnswers(t *testing.T) {
	proceed := make(chan struct{})
	f := newFixture(t, Limits{}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/1" {
			<-proceed
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	c := f.dial(t)
	c.send(gets("/1", "/2"))
	for !inspect(f, 0, func(s *stream) bool { return len(s.conn.turns) == 2 && s.conn.turns[1].isAnswered }) {
		time.Sleep(time.Millisecond)
	}
	close(proceed)
	if got := c.answer(); got != "/1" {
		t.Fatalf("answer: got %q, want /1", got)
	}
	if err := f.server.Shutdown(context.Background()); err != nil {
		t.Fatalf("Shutdown: got %v, want nil", err)
	}
	left := make(chan int64, 1)
	c.group.Go(func() error {
		f.listener.Wait(context.Background())
		left <- f.listener.unwritten.Load()
		return nil
	})
	if f.listener.unwritten.Load() != 1 {
		t.Error("got no held answer after the shutdown, want one: the pipe holds no bytes")
	}
	time.Sleep(2 * waitInterval)
	if got := c.answer(); got != "/2" {
		t.Errorf("answer: got %q, want /2", got)
	}
	if got := receive(t, left, "end of Wait"); got != 0 {
		t.Errorf("after Wait: got %d connections with held answers, want none", got)
	}
}
