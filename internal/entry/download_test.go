package entry

import (
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
)

// TestSlowDownload checks that the time a caller takes to read a response never
// counts against the backend.
func TestSlowDownload(t *testing.T) {
	const size, stall, pause = 64 << 20, 3 * time.Second, time.Second
	tests := map[string]struct {
		// pauses is how often the caller pauses; -1 means that it never reads.
		pauses int
		want   mustardramp.Result
	}{
		"slow, longer than the stall time": {4, mustardramp.ResultSuccess},
		"stopped":                          {-1, mustardramp.ResultAbandoned},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			piece := make([]byte, 1<<20)
			f := newFixture(t, startBackend(t, func(w http.ResponseWriter, _ *http.Request) {
				for range size / len(piece) {
					if _, err := w.Write(piece); err != nil {
						return
					}
				}
			}))
			f.handler.config.StallTimeout = stall
			response := f.send(t, "GET", "/files/a", "")
			for range test.pauses {
				time.Sleep(pause)
				_, _ = io.CopyN(io.Discard, response.Body, size/8)
			}
			if test.pauses > 0 {
				if n, err := io.Copy(io.Discard, response.Body); n != size/2 || err != nil {
					t.Errorf("rest: got %d bytes and %v, want %d", n, err, size/2)
				}
			}
			eventually(t, "end of the request", func() bool { return f.handler.InFlight() == 0 })
			if got, want := f.pool.releasedResults(), []mustardramp.Result{test.want}; !slices.Equal(got, want) {
				t.Errorf("results: got %v, want %v", got, want)
			}
		})
	}
}
