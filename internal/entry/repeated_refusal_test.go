package entry

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mustardramp/mustardramp"
)

// repeatingBackend refuses the first request of each connection. It runs the later
// ones and answers them with the first refusal once more.
type repeatingBackend struct {
	// refusal returns the refusal of a request.
	refusal func(r *http.Request) string

	mu   sync.Mutex
	runs map[string]int
}

func (b *repeatingBackend) serve(conn net.Conn, reader *bufio.Reader) {
	refusal := ""
	for {
		r, err := readRequest(reader)
		if err != nil {
			return
		}
		if refusal == "" {
			refusal = b.refusal(r)
		} else {
			b.mu.Lock()
			b.runs[r.Header.Get(requestIDHeader)]++
			b.mu.Unlock()
		}
		if _, err := io.WriteString(conn, refusal); err != nil {
			return
		}
	}
}

func (b *repeatingBackend) runCount(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

// TestEarlierRefusalOnAKeptConnection sends requests to a backend that runs them and
// writes the refusal of an earlier request instead of an answer. The fleet must not
// claim that such a request did not run, and must not run it again at a second backend
// unless it is idempotent.
func TestEarlierRefusalOnAKeptConnection(t *testing.T) {
	const requests = 3
	shed := func(*http.Request) string { return "HTTP/1.1 503 Busy\r\nX-Shed: 1\r\nContent-Length: 0\r\n\r\n" }
	withID := func(head string) func(*http.Request) string {
		return func(r *http.Request) string {
			return head + "X-Request-Id: " + r.Header.Get(requestIDHeader) + "\r\nContent-Length: 0\r\n\r\n"
		}
	}
	for name, tc := range map[string]struct {
		table        bool
		method, path string
		refusal      func(*http.Request) string
		idempotent   bool
	}{
		"contract, neither retry nor once": {method: "PUT", path: "/plain/a", refusal: shed},
		"contract, read without retry":     {method: "GET", path: "/plain/a", refusal: shed},
		"contract, once":                   {method: "POST", path: "/stamps", refusal: shed},
		"contract, retry":                  {method: "PUT", path: "/files/a", refusal: shed, idempotent: true},
		"table, safe": {
			table: true, method: "GET", path: "/reads/a", refusal: withID("HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\n"), idempotent: true,
		},
		"table, safe, other instance": {
			table: true, method: "GET", path: "/reads/a", refusal: withID("HTTP/1.1 421 Moved\r\n"), idempotent: true,
		},
		"table, safe, no id": {
			table: true, method: "GET", path: "/reads/a", idempotent: true,
			refusal: func(*http.Request) string { return "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n" },
		},
		"table, unsafe": {
			table: true, method: "POST", path: "/acts/a", refusal: withID("HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\n"),
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := &repeatingBackend{refusal: tc.refusal, runs: map[string]int{}}
			newHost := newFixture
			if tc.table {
				newHost = newTableFixture
			}
			alone := newHost(t, startRawBackend(t, b.serve))
			for i := range requests {
				id := fmt.Sprint("alone-", i)
				response := alone.send(t, tc.method, tc.path, "", requestIDHeader, id)
				readBody(t, response)
				got := response.Header.Get(HeaderVerdict)
				if b.runCount(id) > 0 && got == formatVerdict(mustardramp.VerdictNotRun()) {
					t.Errorf("request %d ran: got status %d, verdict %q, want no claim that it did not run", i, response.StatusCode, got)
				}
				if b.runCount(id) > 0 && tc.table && response.StatusCode != http.StatusBadGateway {
					t.Errorf("request %d ran: got status %d, want 502", i, response.StatusCode)
				}
			}
			other := &repeatingBackend{refusal: tc.refusal, runs: map[string]int{}}
			both := newHost(t, startRawBackend(t, b.serve), startRawBackend(t, other.serve))
			for i := range requests {
				id := fmt.Sprint("both-", i)
				readBody(t, both.send(t, tc.method, tc.path, "", requestIDHeader, id))
				if got := b.runCount(id) + other.runCount(id); got > 1 && !tc.idempotent {
					t.Errorf("request %d: got %d runs, want at most one", i, got)
				}
			}
		})
	}
}

// TestRefusalOfAnotherRequestOnANewConnection checks that the id decides also on a
// connection without earlier requests.
func TestRefusalOfAnotherRequestOnANewConnection(t *testing.T) {
	var runs sync.Map
	f := newTableFixture(t, startBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		runs.Store("first", true)
		w.Header().Set(requestIDHeader, "other")
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}), startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		runs.Store("second", true)
		writeStamped(w, r, http.StatusOK, "ran")
	}))
	response := f.send(t, http.MethodPost, "/acts/1", "x", requestIDHeader, "r1")
	if _, ran := runs.Load("second"); ran || response.StatusCode != http.StatusBadGateway {
		t.Errorf("got status %d, run at a second backend: %t, want 502 and none", response.StatusCode, ran)
	}
}

// TestBytesBeforeTheRequestBreakAReusedConnection checks that bytes which arrive on a
// reused connection before the request is sent are not taken for its answer.
func TestBytesBeforeTheRequestBreakAReusedConnection(t *testing.T) {
	for name, tc := range map[string]struct {
		reused, sent bool
		want         error
	}{
		"new connection":               {},
		"reused, before the request":   {reused: true, want: errBroken},
		"reused, after its first byte": {reused: true, sent: true},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := net.Pipe()
			defer near.Close()
			defer far.Close()
			c := &backendConn{Conn: near, mayHaveSent: tc.reused}
			c.bind(&attempt{x: &exchange{}, cancel: func(error) {}, slot: &fakeSlot{pool: &fakePool{}}})
			c.mayHaveSent = tc.sent
			var group errgroup.Group
			group.Go(func() error {
				_, err := io.WriteString(far, "HTTP/1.1 503 Busy\r\n")
				return err
			})
			_, err := c.Read(make([]byte, 64))
			if err := group.Wait(); err != nil {
				t.Fatal(err)
			}
			if !errors.Is(err, tc.want) {
				t.Errorf("got error %v, want %v", err, tc.want)
			}
		})
	}
}

// TestHedgeWithTheAnswerOfAnotherRequest lets the hedge of a late read get the answer
// of another request. The read must get its own answer from the first backend.
func TestHedgeWithTheAnswerOfAnotherRequest(t *testing.T) {
	answered := make(chan struct{})
	f := newHedgedFixture(t, startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-answered:
			writeStamped(w, r, http.StatusOK, "own")
		case <-r.Context().Done():
		}
	}), startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		r.Header.Set(requestIDHeader, "other")
		writeStamped(w, r, http.StatusOK, "not yours")
	}))
	f.handler.config.Headers = platformHeaders
	// The first backend answers only once the hedge has been answered.
	timer := time.AfterFunc(200*time.Millisecond, func() { close(answered) })
	defer timer.Stop()
	response := f.send(t, http.MethodGet, "/files/a", "", requestIDHeader, "r1")
	if got := readBody(t, response); response.StatusCode != http.StatusOK || got != "own" {
		t.Errorf("got status %d with %q, want 200 with the read's own answer", response.StatusCode, got)
	}
}
