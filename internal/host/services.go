package host

import (
	"context"
	"hash/fnv"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/entry"
	"github.com/mustardramp/mustardramp/internal/lease"
	"github.com/mustardramp/mustardramp/internal/linkquota"
	"github.com/mustardramp/mustardramp/internal/pool"
	"github.com/mustardramp/mustardramp/internal/retry"
	"github.com/mustardramp/mustardramp/pkg/contract"
)

// runningService holds the pool, retry budget and meters of one service on an
// entry host.
type runningService struct {
	pool   *lease.Pool
	budget *retry.Budget
	// linkQuota meters what the service sends to the other region.
	linkQuota linkquota.Service
	counts    serviceCounts
	entry     entry.Service
	// standings holds a copy of the pool's standings for the administration API.
	standings atomic.Pointer[[]mustardramp.Standing]
}

// update sets the standings of the service's backends.
func (r *runningService) update(standings []mustardramp.Standing) {
	r.standings.Store(&standings)
	r.pool.Update(standings)
}

// Standings returns the standings that the pool holds.
func (r *runningService) Standings() []mustardramp.Standing {
	if s := r.standings.Load(); s != nil {
		return *s
	}
	return nil
}

// services holds the running services of an entry host. Requests read the map
// through an atomic pointer; one writer replaces it.
type services struct {
	holder lease.Holder
	place  mustardramp.Place
	clock  mustardramp.Clock
	peers  lease.Peers
	// hasDeparted is lease.Config.HasDeparted.
	hasDeparted func(mustardramp.Backend) bool
	// fleet is used only by the goroutine that calls setHosts.
	fleet *lease.Fleet
	// ratio and slack form the retry budget of the whole fleet for a service.
	ratio float64
	slack int
	// maxLoadAge is the age up to which hosts use what keepers stated of their load.
	maxLoadAge time.Duration
	// link is this host's part of the link between regions.
	link   linkquota.Link
	byName atomic.Pointer[map[mustardramp.ServiceName]*runningService]
}

// Service implements entry.Services.
func (s *services) Service(name mustardramp.ServiceName) *entry.Service {
	if r := s.lookup(name); r != nil {
		return &r.entry
	}
	return nil
}

func (s *services) lookup(name mustardramp.ServiceName) *runningService {
	return s.all()[name]
}

// all returns the current map. Callers must not change it.
func (s *services) all() map[mustardramp.ServiceName]*runningService {
	if m := s.byName.Load(); m != nil {
		return *m
	}
	return nil
}

// apply starts the new services of a set of contracts and reconfigures those that
// run. It must be called by one goroutine at a time.
func (s *services) apply(set *contract.Set) {
	next := map[mustardramp.ServiceName]*runningService{}
	for _, c := range set.Contracts() {
		r := s.lookup(c.Service)
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

func (s *services) start(c *contract.Contract) *runningService {
	r := &runningService{budget: retry.New(c.Budget)}
	r.linkQuota.Link = &s.link
	r.pool = lease.New(lease.Config{
		Pool: pool.Config{
			Terms:   pool.TermsOf(c),
			Place:   s.place,
			Link:    &r.linkQuota,
			Results: r.budget,
			Clock:   s.clock,
			Seed:    s.seed(c.Service),
		},
		Holder:      s.holder,
		Peers:       s.peers,
		HasDeparted: s.hasDeparted,
		Ratio:       s.ratio,
		Slack:       s.slack,
		MaxLoadAge:  s.maxLoadAge,
	})
	r.entry = entry.Service{Pool: &countingPool{Pool: r.pool, counts: &r.counts}, Budget: r.budget}
	if c.Pooled {
		r.entry.Budget = pooledBudget{}
	}
	return r
}

// pooledBudget allows every attempt: the keepers of the slots enforce the budget of
// a service that has one budget for the whole fleet.
type pooledBudget struct{}

// CountRequest implements mustardramp.RetryBudget.
func (pooledBudget) CountRequest(mustardramp.Rank, time.Time) {}

// Allow implements mustardramp.RetryBudget.
func (pooledBudget) Allow(mustardramp.Rank, time.Time) bool { return true }

// seed returns a seed that differs between hosts and services, so that hosts do
// not make the same random choices.
func (s *services) seed(service mustardramp.ServiceName) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s.holder.Host))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(service))
	return h.Sum64()
}

// step advances the leases of all services.
func (s *services) step(ctx context.Context) {
	s.forEach(func(r *runningService) { r.pool.Step(ctx) })
}

// sendHandovers sends the handovers of all services to the hosts that will keep
// their slots after this one.
func (s *services) sendHandovers(ctx context.Context) {
	s.forEach(func(r *runningService) { r.pool.SendHandovers(ctx) })
}

// forEach calls fn for all services at the same time, so that hosts that do not answer
// for one service do not hold up the others.
func (s *services) forEach(fn func(*runningService)) {
	var group errgroup.Group
	for _, r := range s.all() {
		group.Go(func() error {
			fn(r)
			return nil
		})
	}
	_ = group.Wait()
}

// setHosts passes the live entry hosts to all services.
func (s *services) setHosts(hosts []lease.Host) {
	fleet := lease.NewFleet(hosts)
	if fleet.Equal(s.fleet) {
		fleet = s.fleet
	}
	s.fleet = fleet
	s.link.Configure(linkquota.DefaultRate, s.hostsInRegion(hosts))
	for _, r := range s.all() {
		r.pool.SetFleet(fleet)
	}
}

// hostsInRegion counts the hosts in this region, which share the link to the other
// region.
func (s *services) hostsInRegion(hosts []lease.Host) int {
	n := 0
	for _, h := range hosts {
		if h.Place.Region == s.place.Region {
			n++
		}
	}
	return n
}

// meteredRecorder is a RequestRecorder that also passes the sizes of responses to
// the meter of the link between regions.
type meteredRecorder struct {
	entry.RequestRecorder
	services *services
}

// Count implements entry.RequestRecorder.
func (m *meteredRecorder) Count(stats entry.RequestStats) {
	m.RequestRecorder.Count(stats)
	if r := m.services.lookup(stats.Service); r != nil && stats.Refused == mustardramp.KindUnknown {
		r.linkQuota.Learn(stats.Rank, stats.Size)
	}
}
