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
	// leaving is true once the backend has stated that it is leaving.
	leaving bool
}

// Backend implements mustardramp.Slot.
func (s *slot) Backend() mustardramp.Backend {
	return s.backend
}

// Note implements mustardramp.Slot.
func (s *slot) Note(n mustardramp.Notice) {
	s.leaving = n.Leaving
	s.pool.note(&s.backend, n)
}

// Withdrawn implements mustardramp.Slot.
func (s *slot) Withdrawn() bool {
	return s.pool.isWithdrawn(&s.backend)
}

// Release implements mustardramp.Slot.
func (s *slot) Release(result mustardramp.Result, latency time.Duration) {
	s.pool.recordReachability(&s.backend, result)
	s.pool.returnLease(s.peer, Return{Number: s.number, Result: result, Latency: latency, Leaving: s.leaving})
	s.pool.observe(s.rank, result)
}

// localSlot is a slot that this host granted to itself. It implements
// mustardramp.Slot.
type localSlot struct {
	mustardramp.Slot
	pool *Pool
	rank mustardramp.Rank
}

// Note implements mustardramp.Slot. A backend that is quiet towards this host may
// still accept the requests of the other hosts that hold leases.
func (s *localSlot) Note(n mustardramp.Notice) {
	b := s.Backend()
	s.pool.note(&b, n)
	s.Slot.Note(mustardramp.Notice{Leaving: n.Leaving})
}

// Withdrawn implements mustardramp.Slot.
func (s *localSlot) Withdrawn() bool {
	b := s.Backend()
	return s.pool.isWithdrawn(&b)
}

// Release implements mustardramp.Slot.
func (s *localSlot) Release(result mustardramp.Result, latency time.Duration) {
	b := s.Backend()
	s.pool.recordReachability(&b, result)
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
