package pool

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/mustardramp/mustardramp"
)

// Pool implements mustardramp.Pool on top of a Core: it blocks callers until
// their demands are settled.
type Pool struct {
	core    *Core
	clock   mustardramp.Clock
	results Results
}

var _ mustardramp.Pool = (*Pool)(nil)

// New returns a pool without backends; Update sets them.
func New(config Config) *Pool {
	clock := config.Clock
	if clock == nil {
		clock = mustardramp.SystemClock{}
	}
	return &Pool{core: NewCore(config), clock: clock, results: config.Results}
}

// Configure replaces the terms, for example after a new revision of the
// contract.
func (p *Pool) Configure(terms Terms) {
	p.core.Configure(terms)
}

// Update implements mustardramp.Pool.
func (p *Pool) Update(standings []mustardramp.Standing) {
	p.core.Update(p.clock.Now(), standings)
}

// ExpectedWait returns the estimated time in which the queue of a rank would empty,
// or 0 if it is unknown.
func (p *Pool) ExpectedWait(rank mustardramp.Rank) time.Duration {
	return p.core.ExpectedWait(rank)
}

// Acquire implements mustardramp.Pool.
func (p *Pool) Acquire(ctx context.Context, demand mustardramp.Demand) (mustardramp.Slot, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	lease, ticket, denial := p.core.Offer(p.clock.Now(), demand)
	if denial != nil {
		return nil, denial
	}
	if lease.Valid() {
		return p.slot(lease), nil
	}
	return p.wait(ctx, ticket)
}

// wait blocks until the ticket is settled or the context ends.
func (p *Pool) wait(ctx context.Context, ticket *Ticket) (mustardramp.Slot, error) {
	timer := time.NewTimer(p.timeToRecheck(ticket))
	defer timer.Stop()
	for {
		select {
		case <-ticket.wake:
		case <-timer.C:
			p.core.Expire(p.clock.Now(), ticket)
		case <-ctx.Done():
			return nil, p.abandon(ctx, ticket)
		}
		lease, denial, settled := p.core.Settled(ticket)
		if !settled {
			timer.Reset(p.timeToRecheck(ticket))
			continue
		}
		if denial != nil {
			return nil, denial
		}
		return p.slot(lease), nil
	}
}

// timeToRecheck returns the time until the ticket expires, a held backend is
// available again or the limits of the ticket grow.
func (p *Pool) timeToRecheck(ticket *Ticket) time.Duration {
	now := p.clock.Now()
	until := ticket.Expiry()
	if at, held := p.core.NextAvailable(now); held && at.Before(until) {
		until = at
	}
	if next := now.Add(limitGrowthStep); now.Sub(ticket.item.Added) < limitGrowthTime && next.Before(until) {
		until = next
	}
	return max(until.Sub(now), time.Millisecond)
}

// abandon withdraws the ticket and returns a lease that was granted too late.
func (p *Pool) abandon(ctx context.Context, ticket *Ticket) error {
	if lease := p.core.Withdraw(ticket); lease.Valid() {
		p.core.Finish(p.clock.Now(), lease, mustardramp.ResultAbandoned, 0)
	}
	return ctx.Err()
}

// minLoggedIdleTime is the time without an attempt from which the next attempt
// at a backend is logged. It equals the window over which the floor is
// measured.
const minLoggedIdleTime = 2 * time.Second

func (p *Pool) slot(lease Lease) *slot {
	if lease.idleTime >= minLoggedIdleTime {
		klog.InfoS("backend-tried-again", "service", p.Service(), "backend", lease.member.backend.Address,
			"unused", lease.idleTime.Milliseconds(), "risk", lease.member.estimate.at(lease.granted.UnixNano()), "probe", lease.probe)
	}
	return &slot{Lease: lease, pool: p}
}

// Service returns the name of the pool's service.
func (p *Pool) Service() mustardramp.ServiceName {
	return p.core.terms.Load().Service
}

// slot implements mustardramp.Slot.
type slot struct {
	Lease
	pool *Pool
}

// Note implements mustardramp.Slot.
func (s *slot) Note(n mustardramp.Notice) {
	if n.Leaving {
		s.member.setLeaving()
	}
	if n.Quiet > 0 {
		s.member.hold(s.pool.clock.Now().Add(n.Quiet))
	}
}

// Withdrawn implements mustardramp.Slot.
func (s *slot) Withdrawn() bool {
	return s.member.isLeaving()
}

// Release implements mustardramp.Slot.
func (s *slot) Release(result mustardramp.Result, latency time.Duration) {
	now := s.pool.clock.Now()
	if change := s.pool.core.Finish(now, s.Lease, result, latency); change.HasBecomeRisky() || change.HasRecovered() {
		klog.InfoS("backend-risk-changed", "service", s.pool.Service(), "backend", s.member.backend.Address,
			"unhealthy", change.HasBecomeRisky(), "risk", change.After, "before", change.Before, "result", result)
	}
	if s.pool.results != nil {
		s.pool.results.Observe(s.rank, result, now)
	}
}
