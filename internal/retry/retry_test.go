package retry

import (
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
)

var start = time.Unix(1_000_000, 0)

func TestAllowStaysInShare(t *testing.T) {
	tests := map[string]struct {
		share mustardramp.Percent
		want  int
	}{
		"none":        {share: 0, want: 0},
		"five":        {share: 5, want: 500},
		"twenty":      {share: 20, want: 2000},
		"over a half": {share: 60, want: 6000},
		"negative":    {share: -3, want: 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := New(tt.share)
			got := 0
			for range 10_000 {
				b.Fresh(mustardramp.Normal, start)
				if b.Allow(mustardramp.Normal, start) {
					got++
				}
			}
			if got > tt.want || got < tt.want-1 {
				t.Errorf("got %d further attempts, want %d", got, tt.want)
			}
			if b.Allow(mustardramp.Urgent, start) {
				t.Error("got an attempt on the savings of another rank")
			}
		})
	}
}

func TestZeroBudgetAllowsNothing(t *testing.T) {
	var b Budget
	b.Fresh(mustardramp.Bulk, start)
	if b.Allow(mustardramp.Bulk, start) {
		t.Error("got an attempt, want none")
	}
}

func TestSavingsFade(t *testing.T) {
	b := New(100)
	for range burst {
		b.Fresh(mustardramp.Normal, start)
	}
	later := start.Add(10 * halfLife)
	if b.Allow(mustardramp.Normal, later) {
		t.Error("got an attempt on old savings, want none")
	}
}

// TestTotalOutage bounds the attempts per request, with the largest budget of
// the examples, when every attempt fails.
func TestTotalOutage(t *testing.T) {
	const requests = 1000
	results := map[string]mustardramp.Result{
		"errors":   mustardramp.ResultError,
		"dials":    mustardramp.ResultDial,
		"timeouts": mustardramp.ResultTimeout,
		"sheds":    mustardramp.ResultShed,
	}
	for name, result := range results {
		t.Run(name, func(t *testing.T) {
			b := New(20)
			now := start
			attempts := 0
			try := func() {
				attempts++
				b.Observe(mustardramp.Normal, result, now)
			}
			for range requests {
				now = now.Add(10 * time.Millisecond)
				b.Fresh(mustardramp.Normal, now)
				try()
				for b.Allow(mustardramp.Normal, now) {
					try()
				}
			}
			if got, want := float64(attempts)/requests, 1.1; got > want {
				t.Errorf("got %.3f attempts per request, want at most %.1f", got, want)
			}
		})
	}
}
