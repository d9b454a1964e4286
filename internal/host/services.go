package host

import (
	"context"
	"hash/fnv"
	"sync/atomic"
	"time"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/crossing"
	"github.com/mustardramp/mustardramp/internal/entry"
	"github.com/mustardramp/mustardramp/internal/lease"
	"github.com/mustardramp/mustardramp/internal/pool"
	"github.com/mustardramp/mustardramp/internal/retry"
	"github.com/mustardramp/mustardramp/pkg/contract"
)

// running is the running part of one service on an entry host.
type running struct {
	pool   *lease.Pool
	budget *retry.Budget
	// crossing meters what the service sends to the other region.
	crossing crossing.Service
	counts   counts
	entry    entry.Service
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
	holder lease.Holder
	place  mustardramp.Place
	clock  mustardramp.Clock
	peers  lease.Peers
	// fleet is used by the goroutine of setHosts alone.
	fleet *lease.Fleet
	// ratio and slack bound the further attempts of a service for the whole
	// fleet.
	ratio float64
	slack int
	// link is this host's part of the link between regions.
	link   crossing.Link
	byName atomic.Pointer[map[mustardramp.ServiceName]*running]
}

// Service implements entry.Services.
func (s *services) Service(name mustardramp.ServiceName) *entry.Service {
	if r := s.running(name); r != nil {
		return &r.entry
	}
	return nil
}

func (s *services) running(name mustardramp.ServiceName) *running {
	return s.all()[name]
}

// all returns the present map, which is not changed.
func (s *services) all() map[mustardramp.ServiceName]*running {
	if m := s.byName.Load(); m != nil {
		return *m
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
	s.byName.Store(&next)
}

func (s *services) start(c *contract.Contract) *running {
	r := &running{budget: retry.New(c.Budget)}
	r.crossing.Link = &s.link
	r.pool = lease.New(lease.Config{
		Pool: pool.Config{
			Terms:   pool.TermsOf(c),
			Place:   s.place,
			Link:    &r.crossing,
			Results: r.budget,
			Clock:   s.clock,
			Seed:    s.seed(c.Service),
		},
		Holder: s.holder,
		Peers:  s.peers,
		Ratio:  s.ratio,
		Slack:  s.slack,
	})
	r.entry = entry.Service{Pool: &countedPool{Pool: r.pool, counts: &r.counts}, Budget: r.budget}
	if c.Pooled {
		r.entry.Budget = pooledBudget{}
	}
	return r
}

// pooledBudget leaves the budget to the keepers of the slots.
type pooledBudget struct{}

// Fresh implements mustardramp.RetryBudget.
func (pooledBudget) Fresh(mustardramp.Rank, time.Time) {}

// Allow implements mustardramp.RetryBudget.
func (pooledBudget) Allow(mustardramp.Rank, time.Time) bool { return true }

// seed differs between hosts and services, so that hosts do not choose alike.
func (s *services) seed(service mustardramp.ServiceName) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s.holder.Host))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(service))
	return h.Sum64()
}

// step lets the leases of all services age.
func (s *services) step(ctx context.Context) {
	for _, r := range s.all() {
		r.pool.Step(ctx)
	}
}

// brief tells the hosts that keep slots after this one what it knows.
func (s *services) brief(ctx context.Context) {
	for _, r := range s.all() {
		r.pool.Brief(ctx)
	}
}

// setHosts hands the list of live entry hosts to all services.
func (s *services) setHosts(hosts []lease.Host) {
	fleet := lease.NewFleet(hosts)
	if fleet.Equal(s.fleet) {
		fleet = s.fleet
	}
	s.fleet = fleet
	s.link.Configure(crossing.DefaultRate, s.neighbours(hosts))
	for _, r := range s.all() {
		r.pool.SetFleet(fleet)
	}
}

// neighbours counts the hosts that share the link to the other region.
func (s *services) neighbours(hosts []lease.Host) int {
	n := 0
	for _, h := range hosts {
		if h.Place.Region == s.place.Region {
			n++
		}
	}
	return n
}

// measured tells the meters of the link the sizes of answers.
type measured struct {
	entry.Tally
	services *services
}

// Count implements entry.Tally.
func (m *measured) Count(measure entry.Measure) {
	m.Tally.Count(measure)
	if r := m.services.running(measure.Service); r != nil && measure.Refused == mustardramp.KindUnknown {
		r.crossing.Learn(measure.Rank, measure.Size)
	}
}
