package pipeline

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"
)

// requestKinds are requests whose answers and order the property test compares. %d is
// the number of the request.
var requestKinds = []string{
	"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n",
	"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n",
	"GET /%d/long HTTP/1.1\r\nHost: a\r\n\r\n",
	"GET /%d/flush HTTP/1.1\r\nHost: a\r\n\r\n",
	"HEAD /%d HTTP/1.1\r\nHost: a\r\n\r\n",
	"GET /%d HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 5000) + "\r\n\r\n",
	"GET /%d HTTP/1.1\r\nHost: a\r\nContent-Length: 18\r\n\r\nGET / HTTP/1.1\r\n\r\n",
	"POST /%d HTTP/1.1\r\nHost: a\r\nContent-Length: 18\r\n\r\nGET / HTTP/1.1\r\n\r\n",
	"PUT /%d HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n",
	"DELETE /%d HTTP/1.1\r\nHost: a\r\n\r\n",
	"POST /%d HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n12\r\nGET / HTTP/1.1\r\n\r\n\r\n0\r\n\r\n",
	"GET /%d HTTP/1.1\nHost: a\n\n",
	"GET /%d HTTP/1.1\r\nHost: a\r\nA: b\r\n c\r\n\r\n",
	"GET /%d/close HTTP/1.1\r\nHost: a\r\n\r\n",
	"GET /%d/abort HTTP/1.1\r\nHost: a\r\n\r\n",
	"GET /%d HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
	"GET /%d HTTP/1.1\r\n\r\n",
	"GET /%d HTTP/1.0\r\n\r\n",
	"BAD\r\n\r\n",
}

// echo answers with what it saw of a request.
func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header()["Date"] = nil
	switch {
	case strings.HasSuffix(r.URL.Path, "/abort"):
		panic(http.ErrAbortHandler)
	case strings.HasSuffix(r.URL.Path, "/close"):
		w.Header().Set("Connection", "close")
	case strings.HasSuffix(r.URL.Path, "/long"):
		body = []byte(strings.Repeat(r.URL.Path, 500))
	case strings.HasSuffix(r.URL.Path, "/flush"):
		_, _ = io.WriteString(w, "first part")
		w.(http.Flusher).Flush()
	}
	_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.Path, body)
}

// converse sends the pieces over a new connection and returns all bytes that the server
// sends, and the requests other than GET and HEAD that ran.
func converse(memory *memoryListener, pieces []string, ran *ranRequests) (string, []string) {
	ran.take()
	c := memory.dial()
	var group errgroup.Group
	group.Go(func() error {
		for _, piece := range pieces {
			if _, err := io.WriteString(c, piece); err != nil {
				return err
			}
		}
		return nil
	})
	got, _ := io.ReadAll(c)
	_ = c.Close()
	_ = group.Wait()
	return string(got), ran.take()
}

// ranRequests records the requests that must keep their order.
type ranRequests struct {
	mu    sync.Mutex
	paths []string
}

func (r *ranRequests) handle(w http.ResponseWriter, request *http.Request) {
	if request.Method != http.MethodGet && request.Method != http.MethodHead {
		r.mu.Lock()
		r.paths = append(r.paths, request.URL.Path)
		r.mu.Unlock()
	}
	echo(w, request)
}

func (r *ranRequests) take() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	paths := r.paths
	r.paths = nil
	return paths
}

// TestAnswersEqualThoseOfPlainServer guards against any difference that a caller could
// see to net/http's server alone, byte by byte, for random requests in random pieces.
func TestAnswersEqualThoseOfPlainServer(t *testing.T) {
	var ran, plainRan ranRequests
	f := newFixture(t, Limits{Requests: 3, Internal: 2, Buffer: 700}, ran.handle)
	plain := newMemoryListener()
	server := &http.Server{Handler: http.HandlerFunc(plainRan.handle)}
	var group errgroup.Group
	group.Go(func() error { return server.Serve(plain) })
	t.Cleanup(func() {
		_ = server.Close()
		_ = group.Wait()
	})
	rapid.Check(t, func(t *rapid.T) {
		var text strings.Builder
		// The kinds at the end of the list close the connection.
		kinds := rapid.SliceOfN(rapid.SampledFrom(requestKinds[:13]), 0, 8).Draw(t, "kinds")
		kinds = append(kinds, rapid.SliceOfN(rapid.SampledFrom(requestKinds), 0, 3).Draw(t, "last kinds")...)
		kinds = append(kinds, "GET /%d HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
		for i, kind := range kinds {
			text.WriteString(strings.ReplaceAll(kind, "%d", fmt.Sprint(i)))
		}
		var pieces []string
		for rest := text.String(); rest != ""; {
			n := min(len(rest), rapid.IntRange(1, 400).Draw(t, "piece"))
			pieces = append(pieces, rest[:n])
			rest = rest[n:]
		}
		want, wantRan := converse(plain, pieces, &plainRan)
		got, gotRan := converse(f.memory, pieces, &ran)
		if got != want {
			t.Fatalf("answers to %q:\ngot  %q\nwant %q", text.String(), got, want)
		}
		if !slices.Equal(gotRan, wantRan) {
			t.Fatalf("ran: got %q, want %q", gotRan, wantRan)
		}
	})
	waitForRelease(t, f.listener)
}
