package lease

import (
	"strconv"
	"time"

	"github.com/mustardramp/mustardramp"
)

// slot is a lease granted by a peer. It implements mustardramp.Slot.
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
	s.pool.recordReachability(s.backend.ID, result)
	s.pool.returnLease(s.peer, Return{Number: s.number, Result: result, Latency: latency})
	s.pool.observe(s.rank, result)
}

// localSlot is a slot that this host granted to itself. It implements
// mustardramp.Slot.
type localSlot struct {
	mustardramp.Slot
	pool *Pool
	rank mustardramp.Rank
}

// Release implements mustardramp.Slot.
func (s *localSlot) Release(result mustardramp.Result, latency time.Duration) {
	s.pool.recordReachability(s.Backend().ID, result)
	s.Slot.Release(result, latency)
	s.pool.observe(s.rank, result)
}

func (p *Pool) observe(rank mustardramp.Rank, result mustardramp.Result) {
	if results := p.config.Pool.Results; results != nil {
		results.Observe(rank, result, p.clock.Now())
	}
}

func intFact(name string, n int) mustardramp.Fact {
	return mustardramp.Fact{Name: name, Value: strconv.Itoa(n)}
}
