package lease

import (
	"strconv"
	"time"

	"github.com/mustardramp/mustardramp"
)

// slot is a lease that a peer granted. It implements mustardramp.Slot.
type slot struct {
	pool    *Pool
	peer    *peer
	number  Number
	backend mustardramp.Backend
	rank    mustardramp.Rank
}

// Backend implements mustardramp.Slot.
func (s *slot) Backend() mustardramp.Backend {
	return s.backend
}

// Release implements mustardramp.Slot.
func (s *slot) Release(result mustardramp.Result, latency time.Duration) {
	s.pool.notePath(s.backend.ID, result)
	s.pool.giveBack(s.peer, Return{Number: s.number, Result: result, Latency: latency})
	s.pool.observe(s.rank, result)
}

// ownSlot is a lease that this host granted to itself.
type ownSlot struct {
	mustardramp.Slot
	pool *Pool
	rank mustardramp.Rank
}

// Release implements mustardramp.Slot.
func (s *ownSlot) Release(result mustardramp.Result, latency time.Duration) {
	s.pool.notePath(s.Backend().ID, result)
	s.Slot.Release(result, latency)
	s.pool.observe(s.rank, result)
}

func (p *Pool) observe(rank mustardramp.Rank, result mustardramp.Result) {
	if results := p.config.Pool.Results; results != nil {
		results.Observe(rank, result, p.clock.Now())
	}
}

func fact(name string, n int) mustardramp.Fact {
	return mustardramp.Fact{Name: name, Value: strconv.Itoa(n)}
}
