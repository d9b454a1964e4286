package lease

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/link"
	"github.com/mustardramp/mustardramp/internal/pool"
	"github.com/mustardramp/mustardramp/pkg/contract"
)

// Config configures a Pool. Without Peers the host keeps all groups itself.
type Config struct {
	// Pool holds the terms of the service and the place of this host. Its
	// Strategy defaults to pool.LowestCost, since a keeper knows all attempts in
	// flight at its backends and how they end.
	Pool   pool.Config
	Holder Holder
	Peers  Peers
	// HasDeparted reports whether this host knows that an incarnation of a backend has
	// left, even if the backend was never among its standings. Nil stands for a host that
	// knows of no departures.
	HasDeparted func(mustardramp.Backend) bool
	// Ratio is the ratio of retries to requests that the fleet allows, or 0 for the
	// budget of the terms. Slack is the number of retries per ten seconds that are
	// allowed in addition. Both apply only when the budget is pooled.
	Ratio float64
	Slack int
	// MaxLoadAge is the age up to which a group's stated free slots count in the
	// choice among groups. 0 means DefaultMaxLoadAge. A negative value turns the
	// choice by free slots off: groups are then weighted by their slots.
	MaxLoadAge time.Duration
}

// Pool grants the slots of one service's backends together with the pools on the
// other hosts. It implements mustardramp.Pool.
type Pool struct {
	config Config
	clock  mustardramp.Clock
	plan   atomic.Pointer[plan]
	// ranks is a copy of the rank terms that is read without mu.
	ranks atomic.Pointer[[mustardramp.RankCount]contract.RankTerms]
	// lastNumber is the number of the latest request.
	lastNumber atomic.Uint64
	// draws counts the random choices among groups and seeds each of them.
	draws atomic.Uint64
	// waits maps a GroupID to its *groupWaits.
	waits sync.Map
	// peers maps a host name to its *peer.
	peers sync.Map
	// exclusions holds the backends that this host must not use for now.
	exclusions exclusions
	// noticeCounts counts what backends stated to this host.
	noticeCounts NoticeCounts
	loadMetrics  LoadMetrics
	// waiting holds the requests that wait for a slot.
	waiting waitingRequests
	// lessors maps a GroupID to its *lessor.
	lessors sync.Map
	// reporters are the goroutines that send returns.
	reporters errgroup.Group

	mu        sync.Mutex
	terms     pool.Terms
	standings []mustardramp.Standing
	fleet     *Fleet
	pressure  pressureReports
}

var _ mustardramp.Pool = (*Pool)(nil)

// New returns a pool without backends. Update sets them.
func New(config Config) *Pool {
	if config.Pool.Strategy == nil {
		config.Pool.Strategy = pool.LowestCost{}
	}
	p := &Pool{config: config, clock: config.Pool.Clock, terms: config.Pool.Terms, fleet: &Fleet{}, loadMetrics: newLoadMetrics()}
	if p.clock == nil {
		p.clock = mustardramp.SystemClock{}
	}
	p.plan.Store(&plan{})
	p.setRanks(p.terms)
	return p
}

func (p *Pool) setRanks(terms pool.Terms) {
	ranks := terms.Ranks
	p.ranks.Store(&ranks)
}

// Configure replaces the terms, for example after a new revision of the contract.
func (p *Pool) Configure(terms pool.Terms) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.terms = terms
	p.setRanks(terms)
	for _, l := range p.allLessors() {
		l.pool.Configure(terms)
	}
	p.configureBudgets()
}

// configureBudgets sets the retry budget of each lessor. Only the lessor at a
// group's first keeper gets slack, so that the slack of backup keepers does not
// add to it.
func (p *Pool) configureBudgets() {
	plan := p.plan.Load()
	p.lessors.Range(func(id, value any) bool {
		l := value.(*lessor)
		slack := 0.0
		g := plan.byID[id.(GroupID)]
		if p.isFirstKeeper(g) {
			slack = float64(p.config.Slack) * slackShare / float64(len(plan.groups))
		}
		l.window.Configure(p.ratio(), slack)
		l.pooled.Store(p.terms.Pooled)
		return true
	})
}

// isFirstKeeper reports whether this host is the first keeper of a group, which may
// be nil. Other hosts that grant its slots do not know most of its leases.
func (p *Pool) isFirstKeeper(g *group) bool {
	return g != nil && len(g.keepers) > 0 && g.keepers[0] == p.config.Holder.Host
}

// ratio returns the allowed retries per request.
func (p *Pool) ratio() float64 {
	if p.config.Ratio > 0 {
		return p.config.Ratio * ratioShare
	}
	return p.terms.Budget.Of(1)
}

// ratioShare is the part of the ratio that keepers use. Each keeper counts the
// best of three windows, and the sum of these may exceed the best of the fleet.
const ratioShare = 0.95

// slackShare is the part of the fleet's slack that keepers use. A keeper that takes
// over does not know which retries its predecessor allowed in its last second.
const slackShare = 0.8

// Update implements mustardramp.Pool.
func (p *Pool) Update(standings []mustardramp.Standing) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if slices.Equal(standings, p.standings) {
		return
	}
	p.exclusions.noteDepartures(p.clock.Now(), p.standings, standings)
	p.standings = standings
	p.updatePlan(fleetDiff{})
}

// SetFleet replaces the live entry hosts, which include this host.
func (p *Pool) SetFleet(fleet *Fleet) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if fleet == p.fleet {
		return
	}
	diff := fleet.diffFrom(p.fleet)
	p.fleet = fleet
	p.updatePlan(diff)
}

// SetHosts calls SetFleet with a new fleet of the hosts.
func (p *Pool) SetHosts(hosts []Host) {
	p.SetFleet(NewFleet(hosts))
}

// updatePlan replaces the plan after a change of backends or hosts. The caller
// holds p.mu.
func (p *Pool) updatePlan(diff fleetDiff) {
	next := newPlan(p.terms.Service, p.standings, p.fleet, p.plan.Load(), diff)
	p.plan.Store(next)
	p.exclusions.prune(p.clock.Now(), p.standings)
	p.lessors.Range(func(id, l any) bool {
		var standings []mustardramp.Standing
		if g := next.byID[id.(GroupID)]; g != nil {
			standings = g.standings
		}
		l.(*lessor).pool.Update(standings)
		return true
	})
	p.configureBudgets()
}

// maxWithdrawnGrants is how many slots of backends that must not be used one demand may
// be granted. A keeper grants such a slot only to a request that was sent to it before
// this host knew.
const maxWithdrawnGrants = 4

// Acquire implements mustardramp.Pool.
func (p *Pool) Acquire(ctx context.Context, demand mustardramp.Demand) (mustardramp.Slot, error) {
	demand.AlreadyCounted = len(demand.Tried) > 0
	for range maxWithdrawnGrants {
		slot, err := p.acquireOnce(ctx, &demand)
		if err != nil || !slot.Withdrawn() {
			return slot, err
		}
		p.excludeDeparted(slot.Backend())
		slot.Release(mustardramp.ResultAbandoned, 0)
	}
	return nil, p.noGroupDenial(&demand, rand.Float64)
}

// acquireOnce acquires a slot at a backend that is probably healthy, or at any
// backend if there is none.
func (p *Pool) acquireOnce(ctx context.Context, demand *mustardramp.Demand) (mustardramp.Slot, error) {
	if demand.RequireHealthy = p.hasOtherGroups(); demand.RequireHealthy {
		slot, err := p.acquireAny(ctx, demand)
		if err == nil || !canTryOtherGroup(err) {
			return slot, err
		}
		demand.RequireHealthy = false
	}
	return p.acquireAny(ctx, demand)
}

// hasOtherGroups reports whether a demand may go elsewhere when all backends of a group
// are probably unhealthy.
func (p *Pool) hasOtherGroups() bool {
	return len(p.plan.Load().groups) > 1
}

// acquireAny tries the groups one after the other.
func (p *Pool) acquireAny(ctx context.Context, demand *mustardramp.Demand) (mustardramp.Slot, error) {
	skip := map[GroupID]bool(nil)
	var lastErr error
	for range len(p.plan.Load().groups) {
		g := p.choose(demand, skip)
		if g == nil {
			break
		}
		slot, err := p.acquireUnlessWithdrawn(ctx, g, demand)
		if err == nil || !canTryOtherGroup(err) {
			return slot, err
		}
		lastErr = err
		if skip == nil {
			skip = map[GroupID]bool{}
		}
		skip[g.id] = true
	}
	if lastErr == nil {
		return nil, p.noGroupDenial(demand, rand.Float64)
	}
	if denial := p.withdrawnDenial(rand.Float64); denial != nil {
		return nil, denial
	}
	return nil, lastErr
}

// canTryOtherGroup reports whether the demand may succeed at another group after
// the error.
func canTryOtherGroup(err error) bool {
	denial, ok := err.(*mustardramp.Denial)
	return ok && denial.Kind == mustardramp.KindNoBackend
}

// noGroupDenial returns the denial of a demand that no group may take. draw returns a
// random number from 0 to 1.
func (p *Pool) noGroupDenial(demand *mustardramp.Demand, draw func() float64) *mustardramp.Denial {
	if denial := p.withdrawnDenial(draw); denial != nil {
		return denial
	}
	plan, now := p.plan.Load(), p.clock.Now()
	for _, g := range plan.groups {
		if g.canServe(demand) && !p.isWithdrawnGroup(g, now) {
			return linkDenial(demand)
		}
	}
	return &mustardramp.Denial{
		Kind:       mustardramp.KindNoBackend,
		Reason:     "None of the known backends of the service may take the request now.",
		Facts:      []mustardramp.Fact{intFact("known", plan.backendCount)},
		RetryAfter: time.Second,
	}
}

// linkDenial returns the denial of a demand whose rank has no link capacity left.
func linkDenial(demand *mustardramp.Demand) *mustardramp.Denial {
	return &mustardramp.Denial{
		Kind:       mustardramp.KindLink,
		Reason:     "The usable backends are in another region, and the rank has used its share of the link to it.",
		Facts:      []mustardramp.Fact{{Name: "rank", Value: demand.Rank.String()}},
		RetryAfter: time.Second,
	}
}

// acquireFrom requests a lease from the keepers of a group one after the other.
// When none of them answers, this host acts as the keeper.
func (p *Pool) acquireFrom(ctx context.Context, g *group, demand *mustardramp.Demand) (mustardramp.Slot, error) {
	for i, ok := p.nextKeeper(g, 0); ok; i, ok = p.nextKeeper(g, i+1) {
		host := g.keepers[i]
		peer := p.peer(host)
		slot, err := p.requestLease(ctx, peer, g, demand)
		if err == nil || ctx.Err() != nil {
			return slot, err
		}
		if denial, ok := err.(*mustardramp.Denial); ok {
			return nil, denial
		}
		if !link.ErrRemote.Has(err) {
			klog.InfoS("keeper-lost", "service", p.config.Pool.Terms.Service, "region", g.id.Region, "part", g.id.Part,
				"keeper", host, "pause", keeperBackoff, "cause", err)
			peer.markDown(p.clock.Now())
		}
	}
	return p.acquireLocally(ctx, g, demand)
}

// nextKeeper returns the index of the next keeper of a group that is asked, from an
// index on. It reports false when this host acts as the keeper.
func (p *Pool) nextKeeper(g *group, from int) (int, bool) {
	for i := from; i < len(g.keepers); i++ {
		host := g.keepers[i]
		if p.config.Peers == nil || host == p.config.Holder.Host {
			return 0, false
		}
		if known, ok := p.peers.Load(host); !ok || known.(*peer).isAvailable(p.clock.Now()) {
			return i, true
		}
	}
	return 0, false
}

// acquireLocally acquires a slot from this host's own lessor.
func (p *Pool) acquireLocally(ctx context.Context, g *group, demand *mustardramp.Demand) (mustardramp.Slot, error) {
	l := p.lessor(g.id)
	held, err := l.acquire(ctx, p.clock.Now(), p.localDemand(g, demand))
	demand.AlreadyCounted = true
	p.recordWait(g.id, demand.Rank, l.pool.ExpectedWait(demand.Rank))
	if p.isFirstKeeper(g) {
		p.recordRoom(g, l.free(p.clock.Now()))
	}
	if err != nil {
		return nil, err
	}
	return &localSlot{Slot: held, pool: p, rank: demand.Rank}, nil
}

// localDemand returns the demand that this host's own lessor of a group gets.
func (p *Pool) localDemand(g *group, demand *mustardramp.Demand) mustardramp.Demand {
	local := *demand
	local.Place = p.config.Pool.Place
	local.Tried = append(p.excludedBackends(g), demand.Tried...)
	return local
}

// requestLease requests a lease from a peer.
func (p *Pool) requestLease(ctx context.Context, peer *peer, g *group, demand *mustardramp.Demand) (mustardramp.Slot, error) {
	request := p.newRequest(g, demand)
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	callCtx, stop := context.WithTimeout(callCtx, p.requestTimeout(demand.Rank))
	defer stop()
	if limit := p.waitingLimit(g, demand.Rank); !peer.begin(request.Number, demand.Rank, limit, cancel) {
		return nil, p.overloadDenial(g, peer, demand, limit)
	}
	response, err := p.config.Peers.Request(callCtx, peer.name, request)
	// The keeper may have counted the request even if it did not answer.
	demand.AlreadyCounted = true
	peer.endWait(demand.Rank)
	if err != nil {
		// The keeper may still grant the lease.
		p.returnLease(peer, Return{Number: request.Number, Result: mustardramp.ResultAbandoned})
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return nil, err
	}
	p.recordWait(g.id, demand.Rank, response.Wait)
	p.recordRoom(g, response.Free)
	if response.Denial != nil {
		peer.forget(request.Number)
		denial := *response.Denial
		denial.Facts = append(denial.Facts[:len(denial.Facts):len(denial.Facts)],
			mustardramp.Fact{Name: "keeper", Value: string(peer.name)})
		return nil, &denial
	}
	return &slot{pool: p, peer: peer, number: request.Number, backend: response.Backend, rank: demand.Rank}, nil
}

// requestTimeout returns how long a keeper has to answer a request of the rank.
func (p *Pool) requestTimeout(rank mustardramp.Rank) time.Duration {
	return max(p.longestWait(rank), pool.DefaultWait) + answerGrace
}

// newRequest returns the lease request for a demand at a group.
func (p *Pool) newRequest(g *group, demand *mustardramp.Demand) Request {
	request := Request{
		Service: p.config.Pool.Terms.Service, Group: g.id,
		Holder: p.config.Holder, Number: Number(p.lastNumber.Add(1)),
		Rank: demand.Rank, Caller: demand.Caller, Idempotent: demand.Idempotent,
		Tried: append(p.excludedBackends(g), demand.Tried...), Size: demand.Size,
		Place: p.config.Pool.Place, IsFurtherAttempt: demand.IsFurtherAttempt, RequireHealthy: demand.RequireHealthy, AlreadyCounted: demand.AlreadyCounted,
	}
	if !demand.Target.IsZero() {
		request.TimeToTarget = max(demand.Target.Sub(p.clock.Now()), time.Nanosecond)
	}
	if !demand.Deadline.IsZero() {
		request.TimeToDeadline = max(demand.Deadline.Sub(p.clock.Now()), time.Nanosecond)
	}
	return request
}

// returnLease ends a lease or withdraws a request. The report to the keeper is
// sent in the background.
func (p *Pool) returnLease(peer *peer, r Return) {
	if !peer.end(r) {
		return
	}
	p.reporters.Go(func() error {
		for {
			returns, ok := peer.nextReturns()
			if !ok {
				return nil
			}
			p.report(context.Background(), peer, Report{Returns: returns})
		}
	})
}

// report sends a report to a peer. It marks the peer as down when the report fails.
func (p *Pool) report(ctx context.Context, peer *peer, report Report) {
	report.Service, report.Holder = p.config.Pool.Terms.Service, p.config.Holder
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if err := p.config.Peers.Report(ctx, peer.name, report); err != nil {
		peer.markDown(p.clock.Now())
	}
}

const (
	// maxRequestTime is the timeout of a request whose context has no earlier
	// deadline.
	maxRequestTime = time.Hour
	// answerGrace is the time that a keeper has for its answer in addition to the
	// longest wait of the rank.
	answerGrace = 2 * time.Second
	// reportTimeout is the timeout of one report or handover.
	reportTimeout = time.Second
	// StepInterval is the interval at which Step must be called.
	StepInterval = time.Second
)

// Step reports the leases in use to their keepers, expires the leases of lost
// holders and sends handovers. One goroutine must call it every StepInterval.
func (p *Pool) Step(ctx context.Context) {
	now := p.clock.Now()
	for _, l := range p.allLessors() {
		l.expire(now)
	}
	p.recordImbalance(now)
	var group errgroup.Group
	p.peers.Range(func(_, value any) bool {
		peer := value.(*peer)
		held := peer.heldNumbers()
		if len(held) == 0 {
			return true
		}
		group.Go(func() error {
			p.report(ctx, peer, Report{Held: held})
			return nil
		})
		return true
	})
	group.Go(func() error {
		p.SendHandovers(ctx)
		return nil
	})
	_ = group.Wait()
}

// Close waits until the queued returns are sent.
func (p *Pool) Close() {
	_ = p.reporters.Wait()
}

// Grant answers the lease request of another host.
func (p *Pool) Grant(ctx context.Context, request Request) (Response, error) {
	if request.Rank >= mustardramp.RankCount {
		return Response{}, ErrPeer.New("unknown rank %d", request.Rank)
	}
	if p.plan.Load().byID[request.Group] == nil {
		return Response{}, ErrPeer.New("no backend of group %s/%d is known here", request.Group.Region, request.Group.Part)
	}
	response, err := p.lessor(request.Group).grant(ctx, p.clock.Now, &request)
	if !p.isFirstKeeper(p.plan.Load().byID[request.Group]) {
		response.Free = nil
	}
	return response, err
}

// ApplyReport applies the report of another host.
func (p *Pool) ApplyReport(report Report) {
	now := p.clock.Now()
	for _, l := range p.allLessors() {
		for _, r := range report.Returns {
			l.end(report.Holder, r)
		}
		l.renew(report.Holder, report.Held, now)
	}
}

// lessor returns the lessor of a group, which it creates at the first use.
func (p *Pool) lessor(id GroupID) *lessor {
	if l, ok := p.lessors.Load(id); ok {
		return l.(*lessor)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if l, ok := p.lessors.Load(id); ok {
		return l.(*lessor)
	}
	l := newLessor(id, p.newGroupPool(p.plan.Load().byID[id]))
	p.lessors.Store(id, l)
	p.configureBudgets()
	return l
}

// newGroupPool returns a pool of the backends of a group, which may be nil. The caller
// holds p.mu.
func (p *Pool) newGroupPool(g *group) *pool.Pool {
	config := p.config.Pool
	config.Terms = p.terms
	config.Link, config.Results = nil, nil
	config.SingleTier = true
	if g == nil {
		return pool.New(config)
	}
	config.Place = g.place
	slots := pool.New(config)
	slots.Update(g.standings)
	return slots
}

func (p *Pool) allLessors() []*lessor {
	var all []*lessor
	p.lessors.Range(func(_, l any) bool {
		all = append(all, l.(*lessor))
		return true
	})
	return all
}

func (p *Pool) peer(host mustardramp.HostName) *peer {
	if known, ok := p.peers.Load(host); ok {
		return known.(*peer)
	}
	known, _ := p.peers.LoadOrStore(host, &peer{name: host})
	return known.(*peer)
}
