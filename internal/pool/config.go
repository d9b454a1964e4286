// Package pool gives out the slots of one service's backends. The decisions
// (Core) are pure: events and a time go in, grants and denials come out. Pool
// is a thin blocking wrapper around them.
package pool

import (
	"time"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/queue"
	"github.com/mustardramp/mustardramp/pkg/contract"
)

// Terms are what a contract says about the use of a service's slots.
type Terms struct {
	Service mustardramp.ServiceName
	Ranks   [mustardramp.RankCount]contract.RankTerms
	// Budget is the share of fresh requests that further attempts may be, and
	// Pooled says that it holds for all hosts together.
	Budget mustardramp.Percent
	Pooled bool
	// Capacity is the most requests of one rank that wait; 0 means
	// queue.DefaultCapacity.
	Capacity int
}

// TermsOf returns the terms of a contract.
func TermsOf(c *contract.Contract) Terms {
	return Terms{Service: c.Service, Ranks: c.Ranks, Budget: c.Budget, Pooled: c.Pooled}
}

func (t *Terms) queue() (terms [mustardramp.RankCount]queue.Terms) {
	for r := range terms {
		terms[r] = queue.Terms{
			Share:    t.Ranks[r].Share,
			Patience: t.Ranks[r].Wait / patience,
			Capacity: t.Capacity,
		}
	}
	return terms
}

// patience is the part of a rank's longest wait after which it claims its
// share.
const patience = 4

// Link meters the narrow link between regions.
type Link interface {
	// Allow books the bytes of one request that would cross, or reports
	// false.
	Allow(rank mustardramp.Rank, size mustardramp.Bytes, now time.Time) bool
}

// Results takes in how attempts ended.
type Results interface {
	// Observe takes in the result of one attempt.
	Observe(rank mustardramp.Rank, result mustardramp.Result, now time.Time)
}

// Config describes a pool. Its zero value works: one nameless place, no
// guaranteed shares, and the machine's clock.
type Config struct {
	Terms Terms
	// Place is where this host runs.
	Place mustardramp.Place
	// Flat is true when all backends are as near as each other and the strategy
	// weighs the way itself.
	Flat bool
	// Strategy chooses among backends; nil means TwoChoices.
	Strategy Strategy
	// Link meters the link between regions; nil means no limit.
	Link Link
	// Results is told how each attempt ended; it may be nil.
	Results Results
	// Clock is nil for the machine's clock.
	Clock mustardramp.Clock
	// Seed starts the sequence of random choices. Hosts of a fleet need
	// different ones.
	Seed uint64
}
