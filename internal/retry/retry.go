// Package retry bounds further attempts, which are retries and hedges, to a
// share of the fresh traffic, by service and rank. The package reads no clock
// and starts no goroutines.
package retry

import (
	"sync/atomic"
	"time"

	"github.com/mustardramp/mustardramp"
)

const (
	// attemptCost is the number of tokens that one further attempt costs.
	attemptCost = 1_000_000
	// burst is the number of further attempts that a rank can save up.
	burst = 5
	// halfLife is the time in which unspent tokens halve, so that an hour
	// without failures does not pay for the retries of an outage.
	halfLife = 10 * time.Second
	// maxShare is the largest share of fresh traffic, in percent, that a budget
	// may allow.
	maxShare = 100
	// failureSmoothing is the number of attempts over which the failure share
	// is averaged.
	failureSmoothing = 32
)

// Budget bounds the further attempts of one service. Its zero value allows
// none. It is safe for concurrent use and takes no lock.
type Budget struct {
	// tokensPerRequest is the number of tokens that a fresh request earns if no
	// attempts fail.
	tokensPerRequest atomic.Int64
	ranks            [mustardramp.RankCount]tokenBucket
	// failureShare is the moving share of failed attempts, from 0 to
	// attemptCost.
	failureShare atomic.Int64
}

// tokenBucket holds the tokens that one rank may spend.
type tokenBucket struct {
	// tokens is never negative.
	tokens atomic.Int64
	// decayedAt is the time in Unix nanoseconds up to which the tokens have
	// decayed.
	decayedAt atomic.Int64
}

var _ mustardramp.RetryBudget = (*Budget)(nil)

// New returns a budget for a share of the fresh traffic.
func New(share mustardramp.Percent) *Budget {
	b := &Budget{}
	b.Configure(share)
	return b
}

// Configure replaces the share. Saved tokens stay.
func (b *Budget) Configure(share mustardramp.Percent) {
	share = max(0, min(share, maxShare))
	b.tokensPerRequest.Store(int64(share.Of(attemptCost)))
}

// CountRequest counts the first attempt of a request.
func (b *Budget) CountRequest(rank mustardramp.Rank, now time.Time) {
	bucket := &b.ranks[rank]
	bucket.decay(now)
	earned := b.currentEarnings()
	for {
		old := bucket.tokens.Load()
		if old >= burst*attemptCost {
			return
		}
		if bucket.tokens.CompareAndSwap(old, min(old+earned, burst*attemptCost)) {
			return
		}
	}
}

// Observe records the result of one attempt. Further attempts do not help a
// service that fails as a whole, so fresh requests earn less as the share of
// attempts that fail or are shed rises.
func (b *Budget) Observe(_ mustardramp.Rank, result mustardramp.Result, _ time.Time) {
	var sample int64
	switch {
	case result == mustardramp.ResultAbandoned:
		return
	case result.Failed(), result == mustardramp.ResultShed:
		sample = attemptCost
	}
	for {
		old := b.failureShare.Load()
		if b.failureShare.CompareAndSwap(old, old+(sample-old)/failureSmoothing) {
			return
		}
	}
}

// currentEarnings returns the number of tokens that a fresh request earns now.
func (b *Budget) currentEarnings() int64 {
	good := attemptCost - b.failureShare.Load()
	return b.tokensPerRequest.Load() * good / attemptCost
}

// Allow spends one further attempt, or reports false.
func (b *Budget) Allow(rank mustardramp.Rank, now time.Time) bool {
	bucket := &b.ranks[rank]
	bucket.decay(now)
	for {
		old := bucket.tokens.Load()
		if old < attemptCost {
			return false
		}
		if bucket.tokens.CompareAndSwap(old, old-attemptCost) {
			return true
		}
	}
}

// decay halves the tokens once for each half-life that has passed.
func (b *tokenBucket) decay(now time.Time) {
	at := now.UnixNano()
	last := b.decayedAt.Load()
	if last == 0 {
		b.decayedAt.CompareAndSwap(0, at)
		return
	}
	steps := (at - last) / int64(halfLife)
	if steps <= 0 {
		return
	}
	if !b.decayedAt.CompareAndSwap(last, last+steps*int64(halfLife)) {
		return
	}
	shift := min(steps, 63)
	for {
		old := b.tokens.Load()
		if b.tokens.CompareAndSwap(old, old>>shift) {
			return
		}
	}
}
