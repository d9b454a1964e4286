package retry

import (
	"sync/atomic"
	"time"

	"github.com/mustardramp/mustardramp"
)

const (
	// quantile is the share of answers that come before a hedge.
	quantile = 0.95
	// leastDelay and mostDelay bound the time before a hedge.
	leastDelay = 5 * time.Millisecond
	mostDelay  = time.Minute
	// step is the relative change of the quantile by one answer.
	step = 0.02
	// leastSamples is the number of answers before hedges start.
	leastSamples = 50
)

// Hedge decides when idempotent work is sent a second time although the first
// attempt may still be answered. It spends from the same budget as retries. Its
// zero value never hedges. It is safe for concurrent use and takes no lock.
type Hedge struct {
	// Budget pays for hedges; nil means that there are none.
	Budget mustardramp.RetryBudget
	ranks  [mustardramp.RankCount]speed
}

// speed estimates a quantile of the latencies of one rank.
type speed struct {
	// delay is the estimate in nanoseconds.
	delay   atomic.Int64
	samples atomic.Int64
}

// Learn takes in the latency of a good answer.
func (h *Hedge) Learn(rank mustardramp.Rank, latency time.Duration) {
	s := &h.ranks[rank]
	if s.samples.Add(1) == 1 {
		s.delay.Store(int64(max(leastDelay, latency)))
		return
	}
	for {
		old := s.delay.Load()
		next := float64(old)
		if int64(latency) > old {
			next += step * next * quantile
		} else {
			next -= step * next * (1 - quantile)
		}
		next = min(max(next, float64(leastDelay)), float64(mostDelay))
		if s.delay.CompareAndSwap(old, int64(next)) {
			return
		}
	}
}

// Delay returns how long to wait for an answer before a hedge, or false when
// the work must not be hedged.
func (h *Hedge) Delay(rank mustardramp.Rank, idempotent bool) (time.Duration, bool) {
	if h.Budget == nil || !idempotent {
		return 0, false
	}
	s := &h.ranks[rank]
	if s.samples.Load() < leastSamples {
		return 0, false
	}
	return time.Duration(s.delay.Load()), true
}

// Start spends one hedge, or reports false. While requests wait for slots a
// hedge would take one of theirs, so there is none.
func (h *Hedge) Start(rank mustardramp.Rank, waiting bool, now time.Time) bool {
	return h.Budget != nil && !waiting && h.Budget.Allow(rank, now)
}
