package entry

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
)

// fakeWatcher counts attempts started and in flight.
type fakeWatcher struct {
	started  atomic.Int64
	inFlight atomic.Int64
}

func (w *fakeWatcher) Start(mustardramp.ServiceName, mustardramp.BackendID, mustardramp.Rank, time.Time) mustardramp.Token {
	w.inFlight.Add(1)
	return mustardramp.Token(w.started.Add(1))
}

func (w *fakeWatcher) Answered(mustardramp.ServiceName, mustardramp.BackendID, mustardramp.Token) {
	w.inFlight.Add(-1)
}

func TestAttemptsInFlightAreWatched(t *testing.T) {
	watcher := &fakeWatcher{}
	var during atomic.Int64
	address := startBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		during.Store(watcher.inFlight.Load())
		_, _ = io.WriteString(w, "whole")
	})
	tests := map[string]struct {
		address string
		want    int64
	}{
		"answer":      {address, 1},
		"failed dial": {unusedAddress(t), 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			during.Store(0)
			f := newFixture(t, test.address)
			f.handler.config.Watcher = watcher
			_ = readBody(t, f.send(t, "GET", "/files/1", ""))
			if got := during.Load(); got != test.want {
				t.Errorf("got %d attempts in flight at the backend, want %d", got, test.want)
			}
			if got := watcher.inFlight.Load(); got != 0 {
				t.Errorf("got %d attempts in flight at the end, want 0", got)
			}
		})
	}
	if watcher.started.Load() < 2 {
		t.Errorf("got %d attempts started, want at least 2", watcher.started.Load())
	}
}
