package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/mustardramp/mustardramp"
)

// TestRetries checks which failures are retried at another backend.
func TestRetries(t *testing.T) {
	lost := startRawBackend(t, func(_ net.Conn, reader *bufio.Reader) { _, _ = readRequest(reader) })
	cut := startRawBackend(t, func(conn net.Conn, reader *bufio.Reader) {
		_, _ = readRequest(reader)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc")
	})
	failing := startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(http.StatusBadGateway)
		_, _ = io.WriteString(w, "backend's own words")
	})
	shed := startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Shed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	echo := startBackend(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
	dead := unusedAddress(t)
	small, large, huge := "small", strings.Repeat("l", MaxBufferedBytes+1), strings.Repeat("h", 2*maxUploadBytes)
	tests := map[string]struct {
		method, path, body string
		backends           []string
		budget             int64
		status             int
		want               string
		attempts           int
	}{
		"lost, idempotent":                   {"PUT", "/files/a", small, []string{lost, echo}, 9, 200, small, 2},
		"lost, no retry":                     {"PUT", "/plain/a", small, []string{lost, echo}, 9, 502, "", 1},
		"lost, once":                         {"POST", "/stamps", small, []string{lost, echo}, 9, 502, "", 1},
		"lost, large body":                   {"PUT", "/files/a", large, []string{lost, echo}, 9, 200, large, 2},
		"lost twice, large body":             {"PUT", "/files/a", large, []string{lost, cut, echo}, 9, 200, large, 3},
		"lost, body too large to hold":       {"PUT", "/files/a", huge, []string{lost, echo}, 9, 502, "", 1},
		"lost twice":                         {"PUT", "/files/a", small, []string{lost, cut, echo}, 9, 200, small, 3},
		"bound on attempts":                  {"GET", "/files/a", "", []string{lost, cut, shed, echo}, 9, 503, "", 3},
		"no budget":                          {"PUT", "/files/a", small, []string{lost, echo}, 0, 502, "", 1},
		"budget of one":                      {"PUT", "/files/a", small, []string{lost, cut, echo}, 1, 502, "", 2},
		"cut, idempotent":                    {"GET", "/files/a", "", []string{cut, echo}, 9, 200, "", 2},
		"cut, once":                          {"POST", "/stamps", small, []string{cut, echo}, 9, 502, "", 1},
		"error, idempotent":                  {"PUT", "/files/a", small, []string{failing, echo}, 9, 200, small, 2},
		"error, no other backend":            {"PUT", "/files/a", small, []string{failing}, 9, 502, "backend's own words", 1},
		"error, no budget":                   {"PUT", "/files/a", small, []string{failing, echo}, 0, 502, "backend's own words", 1},
		"error, once":                        {"POST", "/stamps", small, []string{failing, echo}, 9, 502, "backend's own words", 1},
		"error, no retry":                    {"PUT", "/plain/a", small, []string{failing, echo}, 9, 502, "backend's own words", 1},
		"shed, once":                         {"POST", "/stamps", small, []string{shed, echo}, 9, 200, small, 2},
		"shed, no retry":                     {"PUT", "/plain/a", small, []string{shed, echo}, 9, 200, small, 2},
		"shed, large body":                   {"PUT", "/uploads/a", large, []string{shed, echo}, 9, 200, large, 2},
		"shed, body too large to hold":       {"PUT", "/uploads/a", huge, []string{shed, echo}, 9, 503, "", 1},
		"dial, once, unread body":            {"PUT", "/uploads/a", large, []string{dead, echo}, 9, 200, large, 2},
		"dial, lost, once: no third attempt": {"POST", "/stamps", small, []string{dead, lost, echo}, 9, 502, "", 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, test.backends...)
			f.budget.remaining.Store(test.budget)
			response := f.send(t, test.method, test.path, test.body)
			body := readBody(t, response)
			if response.StatusCode != test.status {
				t.Errorf("status: got %d (%s), want %d", response.StatusCode, response.Header.Get(HeaderReason), test.status)
			}
			if response.Header.Get(HeaderRefusal) == "" && body != test.want {
				t.Errorf("body: got %.40q, want %.40q", body, test.want)
			}
			if got := len(f.pool.releasedResults()); got != test.attempts {
				t.Errorf("attempts: got %d, want %d", got, test.attempts)
			}
			if seen := fmt.Sprint(f.pool.releasedResults()); strings.Contains(seen, mustardramp.ResultAbandoned.String()) {
				t.Errorf("results: got %s, want none abandoned", seen)
			}
		})
	}
}
