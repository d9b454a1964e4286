package entry

import (
	"bufio"
	"net"
	"sync/atomic"
	"testing"

	"github.com/mustardramp/mustardramp"
)

// TestNoSilentResend checks that a request reaches a backend only once if the
// backend closes the connection without a response. net/http would resend some of
// these requests by itself.
func TestNoSilentResend(t *testing.T) {
	tests := map[string]struct {
		method, path, body string
		header             []string
	}{
		"once, no body":             {"POST", "/stamps", "", nil},
		"once, body":                {"POST", "/stamps", "x", nil},
		"once, idempotency key":     {"POST", "/stamps", "", []string{"Idempotency-Key", "k"}},
		"once, key and body":        {"POST", "/stamps", "x", []string{"Idempotency-Key", "k"}},
		"once, x-idempotency key":   {"POST", "/stamps", "", []string{"X-Idempotency-Key", "k"}},
		"keyed, no body":            {"POST", "/certifications", "", []string{"Idempotency-Key", "k"}},
		"keyed, body":               {"POST", "/certifications", "x", []string{"Idempotency-Key", "k"}},
		"no retry, GET":             {"GET", "/plain/a", "", nil},
		"no retry, HEAD":            {"HEAD", "/plain/a", "", nil},
		"no retry, OPTIONS":         {"OPTIONS", "/plain/a", "", nil},
		"no retry, idempotency key": {"POST", "/plain/a", "", []string{"Idempotency-Key", "k"}},
		"no retry, key and body":    {"POST", "/plain/a", "x", []string{"Idempotency-Key", "k"}},
		"retry, no other backend":   {"GET", "/files/a", "", nil},
	}
	for name, test := range tests {
		for _, reused := range []string{"fresh", "reused"} {
			t.Run(name+", "+reused, func(t *testing.T) {
				var count atomic.Int64
				address := startRawBackend(t, func(conn net.Conn, reader *bufio.Reader) {
					for {
						r, err := readRequest(reader)
						if err != nil {
							return
						}
						if r.URL.Path != "/plain/warm" {
							count.Add(1)
							return
						}
						_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
					}
				})
				f := newFixture(t, address)
				if reused == "reused" {
					readBody(t, f.send(t, "GET", "/plain/warm", ""))
				}
				response := f.send(t, test.method, test.path, test.body, test.header...)
				f.wantRefusal(t, response, mustardramp.KindLost, mustardramp.VerdictMayHaveRun())
				if got := count.Load(); got != 1 {
					t.Errorf("requests at the backend: got %d, want 1", got)
				}
			})
		}
	}
}

// TestStaleConnection reuses connections that the backend closed while they were
// idle. If no byte was sent, the request follows on a new connection.
func TestStaleConnection(t *testing.T) {
	var count atomic.Int64
	address := startRawBackend(t, func(conn net.Conn, reader *bufio.Reader) {
		if _, err := readRequest(reader); err == nil {
			count.Add(1)
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
		}
	})
	f := newFixture(t, address)
	for range 200 {
		response := f.send(t, "GET", "/plain/a", "")
		if response.StatusCode == 200 {
			readBody(t, response)
			continue
		}
		f.wantRefusal(t, response, mustardramp.KindLost, mustardramp.VerdictMayHaveRun())
	}
	if got := count.Load(); got > 200 {
		t.Errorf("requests at the backend: got %d, want at most 200", got)
	}
}
