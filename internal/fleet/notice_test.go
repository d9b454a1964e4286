package fleet_test

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/fleet"
	"github.com/mustardramp/mustardramp/internal/standin"
)

// Targets for a backend that states in an answer that it is leaving: the other hosts
// know it within medianNoticeTime at the median, and all within maxNoticeTime.
const (
	medianNoticeTime = time.Second
	maxNoticeTime    = 2500 * time.Millisecond
)

// TestAnswerTellsTheFleetOfALeavingBackend guards against requests to a backend that
// says in its answers that it is leaving while it still announces itself as serving.
// The host that got such an answer sends it nothing more, and the other hosts learn it.
func TestAnswerTellsTheFleetOfALeavingBackend(t *testing.T) {
	f := startFleet(t, fleet.Size{Control: 1, Entry: 9, Backends: 3})
	i := slices.IndexFunc(f.Backends, func(b *fleet.Backend) bool { return b.Service == "patha" })
	leaving := f.Backends[i]
	leaving.Drain()
	id := mustardramp.BackendID("patha/" + leaving.Address.String())
	answered := false
	for deadline := time.Now().Add(startLimit); !answered; {
		response, _ := sendRequest(t, f, 0, "GET", "patha.sutradhar.example", "/transcripts/118")
		answered = response.Header.Get(standin.LeavingHeader) == "1"
		if time.Now().After(deadline) {
			t.Fatal("got no answer of the leaving backend, want one")
		}
	}
	noted := time.Now()
	for range 100 {
		response, _ := sendRequest(t, f, 0, "GET", "patha.sutradhar.example", "/transcripts/118")
		if got := response.Header.Get(standin.LeavingHeader); got != "" || response.StatusCode != http.StatusOK {
			t.Fatalf("got status %d of a leaving backend %q, want 200 of another one", response.StatusCode, got)
		}
	}
	times := make([]time.Duration, len(f.Entry))
	for known := 0; known < len(f.Entry); time.Sleep(5 * time.Millisecond) {
		for i, entry := range f.Entry {
			if times[i] == 0 && isLeaving(entry.Standings("patha"), id) {
				times[i] = time.Since(noted)
				known++
			}
		}
		if time.Since(noted) > startLimit {
			t.Fatalf("got it known at %d of %d hosts, want all", known, len(f.Entry))
		}
	}
	slices.Sort(times)
	if got := times[len(times)/2]; got > medianNoticeTime {
		t.Errorf("median: got %s, want at most %s", got, medianNoticeTime)
	}
	if got := times[len(times)-1]; got > maxNoticeTime {
		t.Errorf("slowest host: got %s, want at most %s", got, maxNoticeTime)
	}
}

// isLeaving reports whether the host's standings show a backend as leaving.
func isLeaving(standings []mustardramp.Standing, id mustardramp.BackendID) bool {
	return slices.ContainsFunc(standings, func(s mustardramp.Standing) bool {
		return s.Backend.ID == id && s.Backend.State == mustardramp.Leaving
	})
}
