package entry

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mustardramp/mustardramp"
)

// TestRedirectIsRelayed checks that a redirect is relayed, not followed, and that
// the proxy from the environment is not used.
func TestRedirectIsRelayed(t *testing.T) {
	t.Setenv("HTTP_PROXY", "http://"+unusedAddress(t))
	var count atomic.Int64
	address := startBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		count.Add(1)
		w.Header().Set("Location", "/plain/b")
		w.WriteHeader(http.StatusTemporaryRedirect)
	})
	response := newFixture(t, address).send(t, "POST", "/stamps", "x")
	if got, want := response.StatusCode, http.StatusTemporaryRedirect; got != want {
		t.Errorf("status: got %d, want %d", got, want)
	}
	if got := count.Load(); got != 1 {
		t.Errorf("requests at the backend: got %d, want 1", got)
	}
}

// TestContentLengthWithTransferEncoding sends a request with both Content-Length
// and Transfer-Encoding. The backend must get one chunked request.
func TestContentLengthWithTransferEncoding(t *testing.T) {
	type seen struct {
		encoding []string
		length   int64
		body     string
	}
	got := make(chan seen, 10)
	address := startBackend(t, func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		got <- seen{r.TransferEncoding, r.ContentLength, string(body)}
	})
	f := newFixture(t, address)
	conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "PUT /uploads/a HTTP/1.1\r\nHost: mohor.example\r\nConnection: close\r\n"+
		"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nGET /\r\n0\r\n\r\n")
	_, _ = io.Copy(io.Discard, conn)
	if got, want := len(got), 1; got != want {
		t.Fatalf("requests at the backend: got %d, want %d", got, want)
	}
	if s := <-got; s.body != "GET /" || s.length != -1 || len(s.encoding) != 1 {
		t.Errorf("request at the backend: got %+v, want one chunked body", s)
	}
}

// TestCallerLeaves checks that a non-idempotent request continues after its caller
// disconnects, and that any other request is canceled.
func TestCallerLeaves(t *testing.T) {
	tests := map[string]struct {
		method, path, key string
		finishes          bool
	}{
		"once":  {"POST", "/stamps", "", true},
		"keyed": {"POST", "/certifications", "k", true},
		"retry": {"GET", "/files/a", "", false},
		"plain": {"GET", "/plain/a", "", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			began := make(chan struct{})
			finish := make(chan struct{})
			ended := make(chan bool, 1)
			address := startBackend(t, func(w http.ResponseWriter, r *http.Request) {
				close(began)
				select {
				case <-r.Context().Done():
					ended <- false
				case <-finish:
					_, _ = w.Write([]byte("certified"))
					ended <- true
				}
			})
			f := newFixture(t, address)
			ctx, cancel := context.WithCancel(context.Background())
			var group errgroup.Group
			group.Go(func() error {
				r, _ := http.NewRequestWithContext(ctx, test.method, f.server.URL+test.path, nil)
				r.Host = "mohor.example"
				r.Header.Set("Idempotency-Key", test.key)
				response, err := http.DefaultTransport.RoundTrip(r)
				if err == nil {
					_ = response.Body.Close()
				}
				return nil
			})
			<-began
			cancel()
			_ = group.Wait()
			if test.finishes {
				close(finish)
			}
			if got := <-ended; got != test.finishes {
				t.Errorf("request completed at the backend: got %v, want %v", got, test.finishes)
			}
			want := mustardramp.ResultAbandoned
			if test.finishes {
				want = mustardramp.ResultSuccess
			}
			eventually(t, "release of the slot", func() bool { return len(f.pool.releasedResults()) == 1 })
			if got := f.pool.releasedResults()[0]; got != want {
				t.Errorf("result: got %v, want %v", got, want)
			}
			if test.key == "" {
				return
			}
			again := f.send(t, test.method, test.path, "", "Idempotency-Key", test.key)
			if got := readBody(t, again); got != "certified" || again.Header.Get(HeaderAnswer) != "recorded" {
				t.Errorf("resent: got %q, want the recorded response", got)
			}
		})
	}
}

// TestDeadlineIsForwarded checks the remaining time that a backend gets in its
// header.
func TestDeadlineIsForwarded(t *testing.T) {
	forwarded := make(chan string, 1)
	address := startBackend(t, func(_ http.ResponseWriter, r *http.Request) { forwarded <- r.Header.Get(HeaderTimeout) })
	f := newFixture(t, address)
	tests := map[string]struct {
		asked string
		limit int
	}{
		"route":   {"", 20_000},
		"shorter": {"7000", 7_000},
		"longer":  {"70000", 20_000},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var header []string
			if test.asked != "" {
				header = []string{HeaderTimeout, test.asked}
			}
			f.send(t, "GET", "/files/a", "", header...)
			got, err := strconv.Atoi(<-forwarded)
			if err != nil || got > test.limit || got <= 0 {
				t.Errorf("remaining milliseconds: got %d (%v), want from 1 to %d", got, err, test.limit)
			}
		})
	}
}

// TestDeadlinePasses checks the verdict if the backend does not respond.
func TestDeadlinePasses(t *testing.T) {
	address := startRawBackend(t, func(_ net.Conn, reader *bufio.Reader) {
		_, _ = readRequest(reader)
		_, _ = reader.ReadByte()
	})
	f := newFixture(t, address)
	f.wantRefusal(t, f.send(t, "GET", "/short", ""), mustardramp.KindTimeout, mustardramp.VerdictMayHaveRun())
	if got, want := f.pool.releasedResults()[0], mustardramp.ResultTimeout; got != want {
		t.Errorf("result: got %v, want %v", got, want)
	}
}

// TestResponsesMatchTheirRequests sends thousands of requests whose responses are
// late, truncated or missing, and checks that each caller gets the response to its
// own request.
func TestResponsesMatchTheirRequests(t *testing.T) {
	const callers, each = 32, 100
	backend := func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Request-Id")
		body, _ := io.ReadAll(r.Body)
		n, _ := strconv.Atoi(id)
		switch n % 7 {
		case 1:
			time.Sleep(3 * time.Millisecond)
		case 2:
			w.Header().Set("Content-Length", "100000")
			_, _ = io.WriteString(w, id)
			panic(http.ErrAbortHandler)
		case 3:
			panic(http.ErrAbortHandler)
		case 4:
			_, _ = io.WriteString(w, strings.Repeat(id+"\n", 20_000)+id+string(body))
			return
		}
		_, _ = io.WriteString(w, id+string(body))
	}
	f := newFixture(t, startBackend(t, backend), startBackend(t, backend))
	f.budget.remaining.Store(1 << 40)
	transport := &http.Transport{MaxIdleConnsPerHost: callers}
	defer transport.CloseIdleConnections()
	var complete, refused, aborted atomic.Int64
	var group errgroup.Group
	for caller := range callers {
		group.Go(func() error {
			for i := range each {
				id := strconv.Itoa(caller*each + i)
				method, path := "GET", "/files/a"
				if i%2 == 1 {
					method, path = "POST", "/stamps"
				}
				ctx, cancel := context.WithCancel(context.Background())
				if i%11 == 0 {
					cancel = func() {}
					ctx, cancel = context.WithTimeout(ctx, 2*time.Millisecond)
				}
				r, _ := http.NewRequestWithContext(ctx, method, f.server.URL+path, strings.NewReader("="+id))
				r.Host = "mohor.example"
				r.Header.Set("X-Request-Id", id)
				err := classifyResponse(transport, r, id, &complete, &refused, &aborted)
				cancel()
				if err != nil {
					return err
				}
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	if got, want := complete.Load()+refused.Load()+aborted.Load(), int64(callers*each); got != want {
		t.Errorf("responses, refusals and aborts: got %d, want %d", got, want)
	}
	if complete.Load() == 0 || refused.Load() == 0 || aborted.Load() == 0 {
		t.Errorf("got %d complete, %d refused, %d aborted, want some of each", complete.Load(), refused.Load(), aborted.Load())
	}
	// A request whose caller has left may reach the host after the others have ended.
	eventually(t, "end of all requests and release of all slots", func() bool {
		return f.handler.InFlight() == 0 && f.pool.isIdle()
	})
}

// classifyResponse sends a request, counts how it ended and checks that a complete
// response belongs to it.
func classifyResponse(transport *http.Transport, r *http.Request, id string, complete, refused, aborted *atomic.Int64) error {
	response, err := transport.RoundTrip(r)
	if err != nil {
		aborted.Add(1)
		return nil
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		aborted.Add(1)
	case response.Header.Get(HeaderRefusal) != "":
		refused.Add(1)
	default:
		complete.Add(1)
		for line := range bytes.SplitSeq(body, []byte("\n")) {
			if s := string(line); s != id && s != id+"="+id {
				return fmt.Errorf("request %s: got the response %.40q, want its own", id, s)
			}
		}
	}
	return nil
}
