package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestWindowKeepsTheFleetsBound draws bursts and pauses of fresh requests and
// asks for a further attempt after each: over any ten seconds there are no more
// than the share of the requests of the window that had the most, and the slack.
func TestWindowKeepsTheFleetsBound(t *testing.T) {
	const share, slack = 0.2, 10
	rapid.Check(t, func(t *rapid.T) {
		var w Window
		w.Configure(share, slack)
		now := time.Unix(1_000_000, 0)
		var fresh, repeats []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 20, 300, 4000}).Draw(t, "pause")) * time.Millisecond)
			w.Fresh(now)
			fresh = append(fresh, now)
			if _, ok := w.Allow(now); ok {
				repeats = append(repeats, now)
			}
		}
		within := func(list []time.Time, from time.Time) int {
			n := 0
			for _, at := range list {
				if !at.Before(from) && at.Before(from.Add(10*time.Second)) {
					n++
				}
			}
			return n
		}
		for _, from := range repeats {
			requests := max(within(fresh, from), within(fresh, from.Add(-10*time.Second)), within(fresh, from.Add(-5*time.Second)))
			if got, most := within(repeats, from), share*float64(requests)+slack; float64(got) > most {
				t.Fatalf("got %d further attempts in ten seconds with %d requests, want at most %v", got, requests, most)
			}
		}
	})
}

func TestZeroWindowAllowsNothing(t *testing.T) {
	var w Window
	if _, ok := w.Allow(time.Unix(1_000_000, 0)); ok {
		t.Error("got an attempt, want none")
	}
}
