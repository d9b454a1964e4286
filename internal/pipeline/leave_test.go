package pipeline

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// TestLeavingCallersHoldNothing guards against places, held answers and connections that
// are not given back when callers leave at any point, and against a shutdown that waits
// for them.
func TestLeavingCallersHoldNothing(t *testing.T) {
	f := newFixture(t, Limits{Requests: 3, Internal: 5, Buffer: 500}, func(w http.ResponseWriter, r *http.Request) {
		switch {
		case strings.HasSuffix(r.URL.Path, "/wait"):
			select {
			case <-r.Context().Done():
			case <-time.After(2 * time.Millisecond):
			}
		case strings.HasSuffix(r.URL.Path, "/abort"):
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, strings.Repeat(r.URL.Path, 100))
	})
	var callers errgroup.Group
	callers.SetLimit(20)
	for number := range 300 {
		callers.Go(func() error {
			random := rand.New(rand.NewPCG(9165, uint64(number)))
			var text strings.Builder
			for range 1 + random.IntN(8) {
				path := []string{"/a", "/a", "/wait", "/wait", "/abort"}[random.IntN(5)]
				if random.IntN(6) == 0 {
					text.WriteString("POST " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc")
				} else {
					text.WriteString(get(path))
				}
			}
			sent, read := text.String()[:random.IntN(text.Len())], random.Int64N(400)
			c := f.memory.dial()
			var writer errgroup.Group
			writer.Go(func() error {
				_, err := io.WriteString(c, sent)
				return err
			})
			// The request may be unfinished, and then gets no answer.
			_ = c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
			_, _ = io.CopyN(io.Discard, c, read)
			_ = c.Close()
			_ = writer.Wait()
			return nil
		})
	}
	_ = callers.Wait()
	waitForRelease(t, f.listener)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	if err := f.server.Shutdown(ctx); err != nil {
		t.Errorf("Shutdown: got %v, want nil", err)
	}
	f.listener.Wait(ctx)
	if got := f.listener.unwritten.Load(); got != 0 {
		t.Errorf("connections with answers to write: got %d, want none", got)
	}
	if got := inspectOpen(f); got != 0 {
		t.Errorf("connections that read ahead: got %d, want none", got)
	}
}

// inspectOpen returns the number of connections whose caller may still be read from.
func inspectOpen(f *fixture) (n int) {
	for number := range f.streams {
		if inspect(f, number, func(s *stream) bool { return s.conn.isSplit && !s.conn.callerGone }) {
			n++
		}
	}
	return n
}
