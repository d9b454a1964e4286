// Package pool grants the slots of one service's backends. The decisions (Core)
// are pure: events and a time go in, grants and denials come out. Pool is a
// thin blocking wrapper around them.
package pool

import (
	"time"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/queue"
	"github.com/mustardramp/mustardramp/pkg/contract"
)

// Terms are the contract's rules for the use of a service's slots.
type Terms struct {
	Service mustardramp.ServiceName
	Ranks   [mustardramp.RankCount]contract.RankTerms
	// Budget bounds further attempts as a share of the fresh requests. Pooled
	// is true if the budget holds for all hosts together.
	Budget mustardramp.Percent
	Pooled bool
	// Capacity is the highest number of waiting requests of one rank; 0 means
	// queue.DefaultCapacity.
	Capacity int
}

// TermsOf returns the terms of a contract.
func TermsOf(c *contract.Contract) Terms {
	return Terms{Service: c.Service, Ranks: c.Ranks, Budget: c.Budget, Pooled: c.Pooled}
}

func (t *Terms) queueTerms() (terms [mustardramp.RankCount]queue.Terms) {
	for r := range terms {
		terms[r] = queue.Terms{
			Share:      t.Ranks[r].Share,
			ClaimDelay: t.Ranks[r].Wait / claimDelayDivisor,
			Capacity:   t.Capacity,
		}
	}
	return terms
}

// claimDelayDivisor divides the longest wait of a rank into the delay after
// which the rank claims its share.
const claimDelayDivisor = 4

// Link limits the traffic between regions.
type Link interface {
	// Allow reserves the bytes of one request that crosses the link, or reports
	// false.
	Allow(rank mustardramp.Rank, size mustardramp.Bytes, now time.Time) bool
	// HasCapacity reports whether Allow would reserve the bytes of a request now.
	HasCapacity(rank mustardramp.Rank, now time.Time) bool
}

// Results receives the results of attempts.
type Results interface {
	// Observe records the result of one attempt.
	Observe(rank mustardramp.Rank, result mustardramp.Result, now time.Time)
}

// Config describes a pool. Its zero value is usable: it has one unnamed place,
// no guaranteed shares and the system clock.
type Config struct {
	Terms Terms
	// Place is where this host runs.
	Place mustardramp.Place
	// SingleTier is true if all backends are in one tier and the strategy accounts
	// for the distance itself.
	SingleTier bool
	// Strategy chooses among backends; nil means TwoChoices.
	Strategy Strategy
	// Link limits the traffic between regions; nil means no limit.
	Link Link
	// Results receives the result of each attempt; it may be nil.
	Results Results
	// Clock returns the time; nil means the system clock.
	Clock mustardramp.Clock
	// Seed starts the sequence of random choices. It should differ between the
	// hosts of a fleet.
	Seed uint64
}
