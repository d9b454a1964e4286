package retry

import (
	"sync/atomic"
	"time"

	"github.com/mustardramp/mustardramp"
)

const (
	// hedgeQuantile is the share of answers that arrive before a hedge is due.
	hedgeQuantile = 0.95
	// minDelay and maxDelay bound the time before a hedge.
	minDelay = 5 * time.Millisecond
	maxDelay = time.Minute
	// quantileStep is the relative change of the estimated quantile by one
	// answer.
	quantileStep = 0.02
	// minSamples is the number of answers before hedges start.
	minSamples = 50
)

// Hedge decides when idempotent work is sent a second time although the first
// attempt may still be answered. It spends from the same budget as retries. Its
// zero value never hedges. It is safe for concurrent use and takes no lock.
type Hedge struct {
	// Budget pays for hedges; nil means that there are none.
	Budget mustardramp.RetryBudget
	ranks  [mustardramp.RankCount]latencyQuantile
}

// latencyQuantile estimates a quantile of the latencies of one rank.
type latencyQuantile struct {
	// delay is the estimate in nanoseconds.
	delay   atomic.Int64
	samples atomic.Int64
}

// Learn records the latency of a good answer.
func (h *Hedge) Learn(rank mustardramp.Rank, latency time.Duration) {
	q := &h.ranks[rank]
	if q.samples.Add(1) == 1 {
		q.delay.Store(int64(max(minDelay, latency)))
		return
	}
	for {
		old := q.delay.Load()
		next := float64(old)
		if int64(latency) > old {
			next += quantileStep * next * hedgeQuantile
		} else {
			next -= quantileStep * next * (1 - hedgeQuantile)
		}
		next = min(max(next, float64(minDelay)), float64(maxDelay))
		if q.delay.CompareAndSwap(old, int64(next)) {
			return
		}
	}
}

// Delay returns how long to wait for an answer before a hedge, or false if the
// work must not be hedged.
func (h *Hedge) Delay(rank mustardramp.Rank, idempotent bool) (time.Duration, bool) {
	if h.Budget == nil || !idempotent {
		return 0, false
	}
	q := &h.ranks[rank]
	if q.samples.Load() < minSamples {
		return 0, false
	}
	return time.Duration(q.delay.Load()), true
}

// Start spends one hedge, or reports false. While requests wait for slots a
// hedge would take one of those slots, so none is allowed.
func (h *Hedge) Start(rank mustardramp.Rank, waiting bool, now time.Time) bool {
	return h.Budget != nil && !waiting && h.Budget.Allow(rank, now)
}
