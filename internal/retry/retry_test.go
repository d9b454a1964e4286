package retry

import (
	"math/rand/v2"
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
				b.CountRequest(mustardramp.Normal, start)
				if b.Allow(mustardramp.Normal, start) {
					got++
				}
			}
			if got > tt.want || got < tt.want-1 {
				t.Errorf("got %d further attempts, want %d", got, tt.want)
			}
			if b.Allow(mustardramp.Urgent, start) {
				t.Error("got an attempt paid by another rank")
			}
		})
	}
}

func TestZeroBudgetAllowsNothing(t *testing.T) {
	var b Budget
	b.CountRequest(mustardramp.Bulk, start)
	if b.Allow(mustardramp.Bulk, start) {
		t.Error("got an attempt, want none")
	}
}

func TestTokensDecay(t *testing.T) {
	b := New(100)
	for range burst {
		b.CountRequest(mustardramp.Normal, start)
	}
	later := start.Add(10 * halfLife)
	if b.Allow(mustardramp.Normal, later) {
		t.Error("got an attempt paid with expired tokens, want none")
	}
}

// TestTotalOutage bounds the attempts per request if every attempt fails, with
// a budget of 20 %, the largest of the example contracts.
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
				b.CountRequest(mustardramp.Normal, now)
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

// TestOutageAfterGoodTimes guards against attempts paid with tokens saved
// before an outage. It bounds the attempts of one of 40 hosts that share 540
// requests per second, over a minute in which all attempts fail or are shed,
// after an hour of good answers.
func TestOutageAfterGoodTimes(t *testing.T) {
	const perSecond, seconds = 13, 60
	for _, result := range []mustardramp.Result{mustardramp.ResultError, mustardramp.ResultShed} {
		t.Run(result.String(), func(t *testing.T) {
			b := New(20)
			now := start
			for range 3600 * perSecond {
				now = now.Add(time.Second / perSecond)
				b.CountRequest(mustardramp.Normal, now)
				b.Observe(mustardramp.Normal, mustardramp.ResultSuccess, now)
			}
			attempts := 0
			for range seconds * perSecond {
				now = now.Add(time.Second / perSecond)
				b.CountRequest(mustardramp.Normal, now)
				for again := true; again; again = b.Allow(mustardramp.Normal, now) {
					attempts++
					b.Observe(mustardramp.Normal, result, now)
				}
			}
			got, want := float64(attempts)/(seconds*perSecond), 1.1
			t.Logf("%.4f attempts per request", got)
			if got > want {
				t.Errorf("got %.3f attempts per request, want at most %.1f", got, want)
			}
		})
	}
}

func TestHedgeDelayIsTheQuantile(t *testing.T) {
	h := Hedge{Budget: New(10)}
	random := rand.New(rand.NewPCG(1, 2))
	if _, ok := h.Delay(mustardramp.Normal, true); ok {
		t.Error("got a hedge before any answer")
	}
	var sum time.Duration
	const samples, counted = 30_000, 20_000
	for i := range samples {
		h.Learn(mustardramp.Normal, time.Duration(random.ExpFloat64()*float64(100*time.Millisecond)))
		if i >= samples-counted {
			d, _ := h.Delay(mustardramp.Normal, true)
			sum += d
		}
	}
	// The 0.95 quantile of an exponential distribution is ln 20 times the mean.
	got, want := sum/counted, 300*time.Millisecond
	if got < want*9/10 || got > want*11/10 {
		t.Errorf("got a mean delay of %s, want %s within a tenth", got, want)
	}
}

func TestHedgeOnlyIdempotentAndInBudget(t *testing.T) {
	h := Hedge{Budget: New(10)}
	for range 100 {
		h.Learn(mustardramp.Normal, time.Second)
	}
	if _, ok := h.Delay(mustardramp.Normal, false); ok {
		t.Error("got a hedge of work that is not idempotent")
	}
	if h.Start(mustardramp.Normal, false, start) {
		t.Error("got a hedge without tokens")
	}
	for range 20 {
		h.Budget.CountRequest(mustardramp.Normal, start)
	}
	if h.Start(mustardramp.Normal, true, start) {
		t.Error("got a hedge while requests wait")
	}
	if !h.Start(mustardramp.Normal, false, start) {
		t.Error("got no hedge within the budget")
	}
	if !h.Budget.Allow(mustardramp.Normal, start) {
		t.Error("got no retry with the remaining tokens")
	}
	if h.Start(mustardramp.Normal, false, start) {
		t.Error("got a hedge beyond the budget")
	}
}
