package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
)

func TestParseDelay(t *testing.T) {
	const date = "Sat, 05 Dec 2026 10:00:00 GMT"
	tests := map[string]struct {
		value, date string
		want        time.Duration
		wantOK      bool
	}{
		"absent":                   {"", date, 0, false},
		"whole seconds":            {"3", date, 3 * time.Second, true},
		"with spaces":              {" 3 ", date, 3 * time.Second, true},
		"fraction":                 {"0.25", date, 250 * time.Millisecond, true},
		"fraction without a zero":  {".5", date, 500 * time.Millisecond, true},
		"zero":                     {"0", date, 0, true},
		"negative":                 {"-1", date, 0, false},
		"an hour":                  {"3600", date, maxQuiet, true},
		"more than a duration":     {"99999999999999999999", date, maxQuiet, true},
		"exponent":                 {"1e3", date, 0, false},
		"two points":               {"1.2.3", date, 0, false},
		"infinity":                 {"inf", date, 0, false},
		"with a unit":              {"3s", date, 0, false},
		"date":                     {"Sat, 05 Dec 2026 10:00:07 GMT", date, 7 * time.Second, true},
		"date in the past":         {"Sat, 05 Dec 2026 09:59:59 GMT", date, 0, true},
		"date after hours":         {"Sat, 05 Dec 2026 14:00:00 GMT", date, maxQuiet, true},
		"date without a date":      {"Sat, 05 Dec 2026 10:00:07 GMT", "", 0, false},
		"date beside a wrong date": {"Sat, 05 Dec 2026 10:00:07 GMT", "today", 0, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, ok := parseDelay(test.value, test.date)
			if got != test.want || ok != test.wantOK {
				t.Errorf("got %s and %t, want %s and %t", got, ok, test.want, test.wantOK)
			}
		})
	}
}

// TestNotices checks which headers of an answer state something about its backend.
// An answer to another request, or of another instance, states nothing.
func TestNotices(t *testing.T) {
	const (
		id      = "X-Request-Id: r-1\r\n"
		stamp   = "X-Stamp: s\r\n"
		leaving = "X-Leaving: 1\r\n"
		quiet   = "Retry-After: 2.5\r\n"
	)
	tests := map[string]struct {
		status int
		header string
		want   []mustardramp.Notice
	}{
		"success":                                 {200, id + stamp, nil},
		"leaving on a success":                    {200, id + stamp + leaving, []mustardramp.Notice{{Leaving: true}}},
		"leaving on a failure":                    {500, id + leaving, []mustardramp.Notice{{Leaving: true}}},
		"leaving on a refusal":                    {503, id + "X-Shed: full\r\n" + leaving, []mustardramp.Notice{{Leaving: true}}},
		"leaving on an answer to another request": {500, "X-Request-Id: r-0\r\n" + leaving, nil},
		"leaving on a success without a stamp":    {200, id + leaving, nil},
		"leaving with another value":              {200, id + stamp + "X-Leaving: 0\r\n", nil},
		"leaving with a garbled value":            {200, id + stamp + "X-Leaving: \x7f1\r\n", nil},
		"headers of another instance":             {421, id + leaving + quiet, []mustardramp.Notice{{Leaving: true}}},
		"the refusal header says leaving":         {503, id + "X-Shed: leaving\r\n", []mustardramp.Notice{{Leaving: true}}},
		"quiet on a refusal":                      {503, id + "X-Shed: full\r\n" + quiet, []mustardramp.Notice{{Quiet: 2500 * time.Millisecond}}},
		"quiet on a 503 that may have run":        {503, id + quiet, []mustardramp.Notice{{Quiet: 2500 * time.Millisecond}}},
		"quiet on another failure":                {500, id + quiet, nil},
		"quiet on an answer to another request":   {503, "X-Request-Id: r-0\r\n" + quiet, nil},
		"quiet for no time":                       {503, id + "Retry-After: 0\r\n", nil},
		"both":                                    {503, id + leaving + quiet, []mustardramp.Notice{{Leaving: true, Quiet: 2500 * time.Millisecond}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			backend := startRawBackend(t, func(conn net.Conn, reader *bufio.Reader) {
				if _, err := readRequest(reader); err == nil {
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d Status\r\n%sContent-Length: 2\r\n\r\nok", test.status, test.header)
				}
			})
			f := newFixture(t, backend)
			f.pool.backends[0].Instance = "i-1"
			f.handler.config.Headers = Headers{
				Timeout: HeaderTimeout, Instance: "X-Instance", Leaving: "X-Leaving", Quiet: "Retry-After",
				ResponseStamp: "X-Stamp", RequireRequestID: true,
			}
			f.budget.remaining.Store(0)
			var left []mustardramp.BackendID
			f.handler.config.Leaving = func(b mustardramp.Backend) { left = append(left, b.ID) }
			_, _ = io.Copy(io.Discard, f.send(t, "POST", "/stamps", "x", "X-Request-Id", "r-1").Body)
			f.pool.mu.Lock()
			defer f.pool.mu.Unlock()
			if !slices.Equal(f.pool.notices, test.want) {
				t.Errorf("got %v, want %v", f.pool.notices, test.want)
			}
			if got, want := len(left) > 0, len(test.want) > 0 && test.want[0].Leaving; got != want {
				t.Errorf("call of Leaving: got %t, want %t", got, want)
			}
		})
	}
}

// TestContractNamesNoticeHeaders checks the headers that a contract names.
func TestContractNamesNoticeHeaders(t *testing.T) {
	backend := startBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Goodbye", "true")
		w.Header().Set("X-Pause", "4")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	c := parseContract(t)
	c.Leaving, c.Quiet = "X-Goodbye", "X-Pause"
	f := newFixtureWith(t, c, mustardramp.SystemClock{}, backend)
	f.send(t, "POST", "/stamps", "x")
	want := []mustardramp.Notice{{Leaving: true, Quiet: 4 * time.Second}}
	if !slices.Equal(f.pool.notices, want) {
		t.Errorf("got %v, want %v", f.pool.notices, want)
	}
}

// TestNoByteLeavesForWithdrawnBackend guards against requests that reach a backend
// because it stated that it is leaving between the grant of the slot and the end of
// the dial. The request goes to another backend, and may not repeat.
func TestNoByteLeavesForWithdrawnBackend(t *testing.T) {
	arrived := make(chan string, 2)
	start := func(name string) string {
		return startBackend(t, func(w http.ResponseWriter, _ *http.Request) {
			arrived <- name
			_, _ = io.WriteString(w, name)
		})
	}
	f := newFixture(t, start("first"), start("second"))
	f.pool.withdrawn = map[mustardramp.BackendID]bool{f.pool.backends[0].ID: true}
	if got := readBody(t, f.send(t, "POST", "/stamps", strings.Repeat("x", 100))); got != "second" {
		t.Errorf("answer: got %q, want that of the second backend", got)
	}
	if got := <-arrived; got != "second" || len(arrived) > 0 {
		t.Errorf("arrival: got %q and %d more, want only the second backend", got, len(arrived))
	}
}

// TestKeptConnectionOfEarlierIncarnation guards against requests on a kept connection
// to the process that had the address before.
func TestKeptConnectionOfEarlierIncarnation(t *testing.T) {
	connections := make(chan struct{}, 10)
	backend := startRawBackend(t, func(conn net.Conn, reader *bufio.Reader) {
		connections <- struct{}{}
		for {
			if _, err := readRequest(reader); err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	f := newFixture(t, backend)
	for i, incarnation := range []mustardramp.Incarnation{1, 1, 2, 2} {
		f.pool.mu.Lock()
		f.pool.backends[0].Incarnation = incarnation
		f.pool.mu.Unlock()
		if got := readBody(t, f.send(t, "GET", "/files/a", "")); got != "ok" {
			t.Errorf("request %d: got %q, want ok", i, got)
		}
	}
	if got := len(connections); got != 3 {
		t.Errorf("got %d connections, want 3: one kept, one for the request that found it outdated, one kept", got)
	}
}
