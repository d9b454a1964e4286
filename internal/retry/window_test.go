package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/mustardramp/mustardramp/internal/rapidseed"
)

// TestWindowKeepsTheFleetsBound draws bursts and pauses of fresh requests and
// asks for a further attempt after each. Over any ten seconds there are at most
// the share of the requests, counted in the window with the most of them, plus
// the slack.
func TestWindowKeepsTheFleetsBound(t *testing.T) {
	const share, slack = 0.2, 10
	rapid.Check(t, func(t *rapid.T) {
		var w Window
		w.Configure(share, slack)
		now := time.Unix(1_000_000, 0)
		var fresh, retries []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 20, 300, 4000}).Draw(t, "pause")) * time.Millisecond)
			w.CountRequest(now)
			fresh = append(fresh, now)
			if _, ok := w.Allow(now); ok {
				retries = append(retries, now)
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
		for _, from := range retries {
			requests := max(within(fresh, from), within(fresh, from.Add(-10*time.Second)), within(fresh, from.Add(-5*time.Second)))
			if got, most := within(retries, from), share*float64(requests)+slack; float64(got) > most {
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

// TestAdoptedCountsAreSpent guards against a bound that starts afresh when a
// window takes over from another. The counts arrive more than once and from
// clocks that differ; the attempts that the first window allowed stay spent.
func TestAdoptedCountsAreSpent(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	for name, tc := range map[string]struct {
		// skew is how far the first clock is ahead, and late how much later the
		// counts arrive.
		skew, late time.Duration
		want       int
	}{
		"same clock":             {want: 0},
		"first clock behind":     {skew: -3 * time.Second, want: 0},
		"first clock ahead":      {skew: time.Minute, want: 5},
		"after more than a span": {late: 12 * time.Second, want: 5},
		"long after":             {late: time.Hour, want: 5},
	} {
		t.Run(name, func(t *testing.T) {
			var first, next Window
			first.Configure(0, 5)
			next.Configure(0, 5)
			for range 5 {
				first.Allow(start.Add(tc.skew))
			}
			counts := first.Counts(start.Add(tc.skew))
			now := start.Add(tc.late)
			got := 0
			for range 10 {
				next.Adopt(now, counts)
				if _, ok := next.Allow(now); ok {
					got++
				}
			}
			if got != tc.want {
				t.Errorf("got %d further attempts, want %d", got, tc.want)
			}
		})
	}
}
