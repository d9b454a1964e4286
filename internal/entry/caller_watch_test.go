package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/callerlimit"
	"github.com/mustardramp/mustardramp/pkg/contract"
)

// TestRequestOfACallerThatLeftIsNotSentOn guards against requests that wait for a slot and
// are sent to a backend after their callers have left.
func TestRequestOfACallerThatLeftIsNotSentOn(t *testing.T) {
	text := func(n int) string { return strings.Repeat("x", n) }
	length := func(n int) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n", n) }
	const (
		chunked   = "Transfer-Encoding: chunked\r\n\r\n"
		lastChunk = "0\r\n\r\n"
		pipelined = "GET /files/a HTTP/1.1\r\nHost: mohor.example\r\nX-Request-Id: r-2\r\n\r\n"
	)
	chunk := func(n int) string { return fmt.Sprintf("%x\r\n%s\r\n", n, text(n)) }
	tests := map[string]struct {
		// rest follows the first lines of the head.
		rest    string
		isReset bool
	}{
		"no body":                    {rest: length(0)},
		"short":                      {rest: length(1000) + text(1000)},
		"long":                       {rest: length(100_000) + text(100_000)},
		"long, reset":                {rest: length(100_000) + text(100_000), isReset: true},
		"long, half sent":            {rest: length(100_000) + text(50_000)},
		"long, head alone":           {rest: length(100_000)},
		"one megabyte":               {rest: length(1_000_000) + text(1_000_000)},
		"as much as the host holds":  {rest: length(maxUploadBytes) + text(maxUploadBytes)},
		"chunks":                     {rest: chunked + chunk(3) + lastChunk},
		"chunks without an end":      {rest: chunked + chunk(3)},
		"chunk cut off":              {rest: chunked + chunk(100)[:50]},
		"long chunks":                {rest: chunked + chunk(100_000) + chunk(100_000) + lastChunk},
		"long chunks without an end": {rest: chunked + chunk(100_000) + chunk(100_000)},
		"chunks, as much as held":    {rest: chunked + chunk(maxUploadBytes) + lastChunk},
		"pipelined, no body":         {rest: length(0) + pipelined},
		"pipelined, short":           {rest: length(1000) + text(1000) + pipelined},
		"pipelined, long":            {rest: length(100_000) + text(100_000) + pipelined + pipelined},
		"pipelined, chunks":          {rest: chunked + chunk(100_000) + lastChunk + pipelined},
		"pipelined, long, reset":     {rest: length(100_000) + text(100_000) + pipelined, isReset: true},
		"asks first":                 {rest: "Expect: 100-continue\r\n" + length(100_000)},
		"asks first, does not wait":  {rest: "Expect: 100-continue\r\n" + length(1_000_000) + text(1_000_000)},
	}
	fixtures := map[string]struct {
		start func(testing.TB, ...string) *fixture
		paths []string
	}{
		"contract":      {newFixture, []string{"/uploads/a", "/files/a"}},
		"routing table": {newTableFixture, []string{"/acts/a", "/reads/a"}},
	}
	for name, test := range tests {
		for kind, fixture := range fixtures {
			for _, path := range fixture.paths {
				for memory, account := range map[string]*callerlimit.Account{"room": nil, "no room": {Limit: 1 << 20}} {
					t.Run(strings.Join([]string{name, kind, path, memory}, ", "), func(t *testing.T) {
						t.Parallel()
						var count atomic.Int64
						f := fixture.start(t, startBackend(t, func(_ http.ResponseWriter, r *http.Request) {
							count.Add(1)
							_, _ = io.Copy(io.Discard, r.Body)
						}))
						f.pool.opened = make(chan struct{})
						f.handler.config.Account = account
						account.Hold(1 << 20)
						s := startServerFixture(t, f, 0, func(*Server) {})
						conn, _ := s.dial(t)
						waiting := make(chan struct{}, 10)
						f.pool.onAcquire = func() { waiting <- struct{}{} }
						writeAll(t, conn, "PUT "+path+" HTTP/1.1\r\nHost: mohor.example\r\nX-Request-Id: r-1\r\n"+test.rest)
						<-waiting
						if test.isReset {
							_ = conn.(*net.TCPConn).SetLinger(0)
						}
						_ = conn.Close()
						eventually(t, "end of the wait", func() bool { return f.pool.leftCount.Load() > 0 })
						close(f.pool.opened)
						if err := s.entryServer.Stop(t.Context()); err != nil {
							t.Errorf("Stop: got %v, want nil", err)
						}
						if got := count.Load(); got != 0 {
							t.Errorf("requests at the backend: got %d, want 0", got)
						}
						if got := f.handler.heldBodyBytes.Load(); got != 0 {
							t.Errorf("memory held after the end: got %d bytes, want 0", got)
						}
					})
				}
			}
		}
	}
}

// TestCallerThatLeftInAnEarlierStepIsNoticed guards against a request that is sent to a
// backend at once after its caller has left in a step that reads nothing.
func TestCallerThatLeftInAnEarlierStepIsNoticed(t *testing.T) {
	var count atomic.Int64
	f := newFixture(t, startBackend(t, func(http.ResponseWriter, *http.Request) { count.Add(1) }))
	set := f.handler.config.Contracts()
	hasArrived, hasLeft := make(chan struct{}, 1), make(chan struct{})
	f.handler.config.Contracts = func() *contract.Set {
		select {
		case hasArrived <- struct{}{}:
		default:
		}
		<-hasLeft
		return set
	}
	conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	writeAll(t, conn, "PUT /uploads/a HTTP/1.1\r\nHost: mohor.example\r\nX-Request-Id: r-1\r\nContent-Length: 50000\r\n\r\n"+strings.Repeat("x", 50_000))
	<-hasArrived
	_ = conn.Close()
	time.Sleep(2 * watchInterval)
	close(hasLeft)
	eventually(t, "refusal", func() bool { return len(f.handler.Refusals().ByRequest("r-1")) == 1 })
	if r := f.handler.Refusals().ByRequest("r-1")[0]; r.Kind != mustardramp.KindCallerGone || r.Verdict != mustardramp.VerdictNotRun() {
		t.Errorf("refusal: got %v %v, want caller-gone, not run", r.Kind, r.Verdict)
	}
	if got := count.Load(); got != 0 {
		t.Errorf("requests at the backend: got %d, want 0", got)
	}
}

// writeAll sends text as far as the host reads it.
func writeAll(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_ = conn.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
	_, _ = io.WriteString(conn, text)
}

// TestUploadWithoutMemoryIsRefused guards against uploads that wait for a slot while the
// host cannot see whether their callers are still there. An upload that need not wait is
// forwarded.
func TestUploadWithoutMemoryIsRefused(t *testing.T) {
	for name, isFree := range map[string]bool{"slot is free": true, "no slot is free": false} {
		t.Run(name, func(t *testing.T) {
			f := newTableFixture(t, startBackend(t, func(w http.ResponseWriter, r *http.Request) {
				n, _ := io.Copy(io.Discard, r.Body)
				writeStamped(w, r, http.StatusOK, fmt.Sprint(n))
			}))
			account := &callerlimit.Account{Limit: 1 << 20}
			account.Hold(1 << 20)
			f.handler.config.Account = account
			if !isFree {
				f.pool.opened = make(chan struct{})
			}
			response := f.send(t, "POST", "/acts/a", strings.Repeat("x", 3_000_000), "X-Request-Id", "r-1")
			if !isFree {
				f.wantRefusal(t, response, mustardramp.KindQueueFull, mustardramp.VerdictNotRun())
				if got := response.Header.Get("Retry-After"); got == "" {
					t.Error("Retry-After: got none, want a time")
				}
			} else if got := readBody(t, response); got != "3000000" {
				t.Errorf("got %d %q, want the length of the body", response.StatusCode, got)
			}
			eventually(t, "release of the memory", func() bool { return account.Used() == 1<<20 })
		})
	}
}
