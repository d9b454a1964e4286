// Package retry bounds further attempts and hedges to a share of the fresh
// traffic, by service and rank. The package is pure: it reads no clock and
// starts nothing.
package retry

import (
	"sync/atomic"
	"time"

	"github.com/mustardramp/mustardramp"
)

const (
	// unit is the price of one further attempt.
	unit = 1_000_000
	// burst is the number of further attempts that a rank saves up.
	burst = 5
	// halfLife is the time in which unspent savings halve, so that a quiet
	// hour does not pay for the retries of an outage.
	halfLife = 10 * time.Second
	// ceiling is the greatest share of fresh traffic that a budget may be.
	ceiling = 100
	// memory is the number of attempts over which results are averaged.
	memory = 32
)

// Budget bounds the further attempts of one service. Its zero value allows
// none. It is safe for concurrent use and takes no lock.
type Budget struct {
	// earned is the share of a unit that each fresh request adds.
	earned atomic.Int64
	ranks  [mustardramp.RankCount]savings
	// failing is the moving share of failed attempts, in units.
	failing atomic.Int64
}

// savings are what one rank may spend.
type savings struct {
	// units is never negative.
	units atomic.Int64
	// aged is the time in Unix nanoseconds up to which units have decayed.
	aged atomic.Int64
}

var _ mustardramp.RetryBudget = (*Budget)(nil)

// New returns a budget of a share of the fresh traffic.
func New(share mustardramp.Percent) *Budget {
	b := &Budget{}
	b.Configure(share)
	return b
}

// Configure replaces the share. Savings stay.
func (b *Budget) Configure(share mustardramp.Percent) {
	share = max(0, min(share, ceiling))
	b.earned.Store(int64(share.Of(unit)))
}

// Fresh counts a first attempt.
func (b *Budget) Fresh(rank mustardramp.Rank, now time.Time) {
	s := &b.ranks[rank]
	s.age(now)
	earned := b.worth()
	for {
		old := s.units.Load()
		if old >= burst*unit {
			return
		}
		if s.units.CompareAndSwap(old, min(old+earned, burst*unit)) {
			return
		}
	}
}

// Observe takes in the result of one attempt. Further attempts at a service
// that fails as a whole help nobody, so the earnings fall with the share of
// attempts that fail or are shed.
func (b *Budget) Observe(_ mustardramp.Rank, result mustardramp.Result, _ time.Time) {
	var sample int64
	switch {
	case result == mustardramp.ResultAbandoned:
		return
	case result.Failed(), result == mustardramp.ResultShed:
		sample = unit
	}
	for {
		old := b.failing.Load()
		if b.failing.CompareAndSwap(old, old+(sample-old)/memory) {
			return
		}
	}
}

// worth returns what a fresh request earns now.
func (b *Budget) worth() int64 {
	good := unit - b.failing.Load()
	return b.earned.Load() * good / unit
}

// Allow spends one further attempt, or reports false.
func (b *Budget) Allow(rank mustardramp.Rank, now time.Time) bool {
	s := &b.ranks[rank]
	s.age(now)
	for {
		old := s.units.Load()
		if old < unit {
			return false
		}
		if s.units.CompareAndSwap(old, old-unit) {
			return true
		}
	}
}

// age halves the savings once for each half life that has passed.
func (s *savings) age(now time.Time) {
	at := now.UnixNano()
	last := s.aged.Load()
	if last == 0 {
		s.aged.CompareAndSwap(0, at)
		return
	}
	steps := (at - last) / int64(halfLife)
	if steps <= 0 {
		return
	}
	if !s.aged.CompareAndSwap(last, last+steps*int64(halfLife)) {
		return
	}
	shift := min(steps, 63)
	for {
		old := s.units.Load()
		if s.units.CompareAndSwap(old, old>>shift) {
			return
		}
	}
}
