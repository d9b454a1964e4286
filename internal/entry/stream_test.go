package entry

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mustardramp/mustardramp"
)

// TestStreamsBothWays checks that request and response bodies are streamed at the
// same time: each piece is sent only after the one before has come back.
func TestStreamsBothWays(t *testing.T) {
	echo := startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		buf := make([]byte, 1)
		for {
			if _, err := io.ReadFull(r.Body, buf); err != nil {
				return
			}
			_, _ = w.Write(buf)
			_ = http.NewResponseController(w).Flush()
		}
	})
	f := newFixture(t, echo)
	conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	_, _ = io.WriteString(conn, "PUT /uploads/a HTTP/1.1\r\nHost: mohor.example\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n0\r\n")
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, 1)
	for i := range 10 {
		if _, err := io.ReadFull(response.Body, buf); err != nil || buf[0] != byte('0'+i) {
			t.Fatalf("piece %d: got %q %v, want it back before the next", i, buf, err)
		}
		_, _ = io.WriteString(conn, "1\r\n"+string(rune('1'+i))+"\r\n")
	}
	_, _ = io.WriteString(conn, "0\r\n\r\n")
}

// TestLongBodiesAreNotBuffered sends 64 MiB in both directions, ten times the
// memory by which the process may grow.
func TestLongBodiesAreNotBuffered(t *testing.T) {
	const size, limit = 64 << 20, 6 << 20
	var peak atomic.Int64
	echo := startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		_, _ = io.Copy(w, r.Body)
	})
	f := newFixture(t, echo)
	runtime.GC()
	before := heapBytes()
	source := &meteredReader{remaining: size, onProgress: func() { peak.Store(max(peak.Load(), heapBytes())) }}
	r, _ := http.NewRequest("PUT", f.server.URL+"/uploads/a", source)
	r.Host = "mohor.example"
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if n, err := io.Copy(io.Discard, response.Body); n != size || err != nil {
		t.Errorf("body: got %d bytes %v, want %d", n, err, size)
	}
	if got := peak.Load() - before; got > limit {
		t.Errorf("memory: got %d bytes more, want at most %d", got, limit)
	}
}

// heapBytes returns the bytes of heap in use after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// meteredReader is a long body that calls onProgress after each 8 MiB read.
type meteredReader struct {
	remaining, count int
	onProgress       func()
}

func (m *meteredReader) Read(p []byte) (int, error) {
	if m.remaining == 0 {
		return 0, io.EOF
	}
	n := min(len(p), m.remaining)
	m.remaining -= n
	if m.count += n; m.count > 8<<20 {
		m.count = 0
		m.onProgress()
	}
	return n, nil
}

func TestTrailers(t *testing.T) {
	address := startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Trailer", "X-Sum")
		_, _ = io.Copy(w, r.Body)
		w.Header().Set("X-Sum", r.Trailer.Get("X-Asked"))
		w.Header().Set(http.TrailerPrefix+"X-Late", "late")
	})
	for name, path := range map[string]string{"streamed": "/uploads/a", "held": "/certifications"} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, address)
			method := map[string]string{"streamed": "PUT", "held": "POST"}[name]
			r, _ := http.NewRequest(method, f.server.URL+path, io.MultiReader(strings.NewReader("body")))
			r.Host = "mohor.example"
			r.Header.Set("Idempotency-Key", "k")
			r.Trailer = http.Header{"X-Asked": {"sum"}}
			response, err := http.DefaultTransport.RoundTrip(r)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			if got := readBody(t, response); got != "body" {
				t.Errorf("body: got %q, want body", got)
			}
			for name, want := range map[string]string{"X-Sum": "sum", "X-Late": "late"} {
				if got := response.Trailer.Get(name); got != want {
					t.Errorf("trailer %s: got %q, want %q", name, got, want)
				}
			}
		})
	}
}

// TestExpectContinue checks that the backend, not this host, asks for a long body,
// and that the backend can refuse before the body is sent.
func TestExpectContinue(t *testing.T) {
	tests := map[string]struct {
		accept bool
		status int
	}{
		"accepted": {true, http.StatusOK},
		"refused":  {false, http.StatusForbidden},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			address := startBackend(t, func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Expect") != "100-continue" {
					t.Errorf("Expect: got %q, want 100-continue", r.Header.Get("Expect"))
				}
				if !test.accept {
					w.WriteHeader(http.StatusForbidden)
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
			})
			f := newFixture(t, address)
			var continued atomic.Bool
			ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{Got100Continue: func() { continued.Store(true) }})
			r, _ := http.NewRequestWithContext(ctx, "PUT", f.server.URL+"/uploads/a", strings.NewReader(strings.Repeat("x", 1<<20)))
			r.Host = "mohor.example"
			r.Header.Set("Expect", "100-continue")
			transport := &http.Transport{ExpectContinueTimeout: DefaultStallTimeout}
			defer transport.CloseIdleConnections()
			response, err := transport.RoundTrip(r)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			if response.StatusCode != test.status || continued.Load() != test.accept {
				t.Errorf("got status %d, continued %v, want %d %v", response.StatusCode, continued.Load(), test.status, test.accept)
			}
		})
	}
}

func TestHeadAndInformational(t *testing.T) {
	address := startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodHead {
			w.Header().Set("Content-Length", "4711")
			w.Header().Set("Content-Digest", "sha-256=:47DEQpj8HBSa+/TImW+5JCeuQeRkm5NMpJWZG3hSuFU=:")
			return
		}
		w.Header().Set("Link", "</style.css>; rel=preload")
		w.WriteHeader(http.StatusEarlyHints)
		w.Header().Del("Link")
		w.WriteHeader(http.StatusNoContent)
	})
	f := newFixture(t, address)
	head := f.send(t, "HEAD", "/files/a", "")
	if head.ContentLength != 4711 || head.StatusCode != http.StatusOK {
		t.Errorf("HEAD: got %d, length %d, want 200, 4711", head.StatusCode, head.ContentLength)
	}
	var hint string
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
			hint = header.Get("Link")
			return nil
		},
	})
	r, _ := http.NewRequestWithContext(ctx, "GET", f.server.URL+"/files/a", nil)
	r.Host = "mohor.example"
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if hint == "" || response.Header.Get("Link") != "" || response.StatusCode != http.StatusNoContent {
		t.Errorf("got hint %q, link %q, status %d, want the hint alone and 204", hint, response.Header.Get("Link"), response.StatusCode)
	}
}

// TestEarlyResponse checks that a response which comes before the end of the
// request body reaches the caller.
func TestEarlyResponse(t *testing.T) {
	address := startBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusInsufficientStorage)
		_, _ = io.WriteString(w, "no room")
	})
	f := newFixture(t, address)
	reader, writer := io.Pipe()
	r, _ := http.NewRequest("PUT", f.server.URL+"/uploads/a", reader)
	r.Host = "mohor.example"
	var group errgroup.Group
	group.Go(func() error {
		_, err := writer.Write(make([]byte, 10))
		return err
	})
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if got := readBody(t, response); got != "no room" || response.StatusCode != http.StatusInsufficientStorage {
		t.Errorf("got %d %q, want 507 and the backend's body", response.StatusCode, got)
	}
	_ = writer.CloseWithError(io.ErrUnexpectedEOF)
	_ = group.Wait()
}

// TestCallerAbortsUpload checks that the caller's own failure does not count
// against the backend.
func TestCallerAbortsUpload(t *testing.T) {
	broken := make(chan error, 1)
	address := startBackend(t, func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		broken <- err
	})
	f := newFixture(t, address)
	conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(conn, "PUT /uploads/a HTTP/1.1\r\nHost: mohor.example\r\nX-Request-Id: r-1\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("x", 50_000))
	eventually(t, "slot in use", func() bool {
		f.pool.mu.Lock()
		defer f.pool.mu.Unlock()
		return f.pool.heldSlots == 1
	})
	_ = conn.Close()
	if err := <-broken; !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("request body at the backend: got %v, want it truncated", err)
	}
	eventually(t, "release of the slot", func() bool { return len(f.pool.releasedResults()) == 1 })
	if got, want := f.pool.releasedResults()[0], mustardramp.ResultAbandoned; got != want {
		t.Errorf("result: got %v, want %v", got, want)
	}
	eventually(t, "refusal", func() bool { return len(f.handler.Refusals().ByRequest("r-1")) == 1 })
	r := f.handler.Refusals().ByRequest("r-1")[0]
	if r.Kind != mustardramp.KindCallerGone || r.Verdict != mustardramp.VerdictMayHaveRun() {
		t.Errorf("refusal: got %v %v, want caller-gone, may have run", r.Kind, r.Verdict)
	}
}

// TestStalledBodies checks that a caller or backend that stalls in a body does not
// block the other side, and that the verdict is correct.
func TestStalledBodies(t *testing.T) {
	release := make(chan struct{})
	backend := startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			_, _ = io.WriteString(w, "begun")
			_ = http.NewResponseController(w).Flush()
			<-release
		}
		_, _ = io.Copy(io.Discard, r.Body)
	})
	// The cleanup of the backend waits for its handlers.
	t.Cleanup(func() { close(release) })
	tests := map[string]struct {
		request string
		kind    mustardramp.RefusalKind
		verdict mustardramp.Verdict
		result  []mustardramp.Result
	}{
		"held upload":     {"POST /stamps HTTP/1.1\r\nContent-Length: 9\r\n", mustardramp.KindCallerGone, mustardramp.VerdictNotRun(), nil},
		"streamed upload": {"PUT /uploads/a HTTP/1.1\r\nContent-Length: 100000\r\n", mustardramp.KindCallerGone, mustardramp.VerdictMayHaveRun(), []mustardramp.Result{mustardramp.ResultAbandoned}},
		"answer":          {"GET /plain/a HTTP/1.1\r\n", mustardramp.KindTruncated, mustardramp.VerdictRan(), []mustardramp.Result{mustardramp.ResultTimeout}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, backend)
			f.handler.config.StallTimeout = 30 * time.Millisecond
			conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_, _ = io.WriteString(conn, test.request+"Host: mohor.example\r\nX-Request-Id: r-1\r\n\r\nx")
			eventually(t, "refusal", func() bool { return len(f.handler.Refusals().ByRequest("r-1")) == 1 })
			if r := f.handler.Refusals().ByRequest("r-1")[0]; r.Kind != test.kind || r.Verdict != test.verdict {
				t.Errorf("refusal: got %v, %s, want %v, %s", r.Kind, formatVerdict(r.Verdict), test.kind, formatVerdict(test.verdict))
			}
			if got := f.pool.releasedResults(); !slices.Equal(got, test.result) {
				t.Errorf("results: got %v, want %v", got, test.result)
			}
		})
	}
}
