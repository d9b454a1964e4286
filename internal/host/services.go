package host

import (
	"hash/fnv"
	"sync/atomic"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/entry"
	"github.com/mustardramp/mustardramp/internal/pool"
	"github.com/mustardramp/mustardramp/internal/retry"
	"github.com/mustardramp/mustardramp/pkg/contract"
)

// running is the running part of one service on an entry host.
type running struct {
	pool   *pool.Pool
	budget *retry.Budget
	entry  entry.Service
	// standings are the ones that the pool holds, for operators.
	standings atomic.Pointer[[]mustardramp.Standing]
}

// update hands new standings to the pool.
func (r *running) update(standings []mustardramp.Standing) {
	r.standings.Store(&standings)
	r.pool.Update(standings)
}

// Standings returns the standings that the pool holds.
func (r *running) Standings() []mustardramp.Standing {
	if s := r.standings.Load(); s != nil {
		return *s
	}
	return nil
}

// services holds the running parts of all services. Requests read the map
// through an atomic pointer; one writer replaces it.
type services struct {
	host  mustardramp.HostName
	place mustardramp.Place
	clock mustardramp.Clock
	byID  atomic.Pointer[map[mustardramp.ServiceName]*running]
}

// Service implements entry.Services.
func (s *services) Service(name mustardramp.ServiceName) *entry.Service {
	if r := s.running(name); r != nil {
		return &r.entry
	}
	return nil
}

func (s *services) running(name mustardramp.ServiceName) *running {
	if m := s.byID.Load(); m != nil {
		return (*m)[name]
	}
	return nil
}

// apply starts the services of a new set and hands new terms to those that
// run. It is called by one goroutine at a time.
func (s *services) apply(set *contract.Set) {
	next := map[mustardramp.ServiceName]*running{}
	for _, c := range set.Contracts() {
		r := s.running(c.Service)
		if r == nil {
			r = s.start(c)
		} else {
			r.pool.Configure(pool.TermsOf(c))
			r.budget.Configure(c.Budget)
		}
		next[c.Service] = r
	}
	s.byID.Store(&next)
}

func (s *services) start(c *contract.Contract) *running {
	budget := retry.New(c.Budget)
	p := pool.New(pool.Config{
		Terms:   pool.TermsOf(c),
		Place:   s.place,
		Results: budget,
		Clock:   s.clock,
		Seed:    s.seed(c.Service),
	})
	return &running{pool: p, budget: budget, entry: entry.Service{Pool: p, Budget: budget}}
}

// seed differs between hosts and services, so that hosts do not choose alike.
func (s *services) seed(service mustardramp.ServiceName) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s.host))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(service))
	return h.Sum64()
}
