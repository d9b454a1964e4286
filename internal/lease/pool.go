package lease

import (
	"context"
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

// Config describes a Pool. Without Peers the host keeps all groups itself.
type Config struct {
	// Pool holds the terms of the service and the place of this host. Its
	// Strategy defaults to pool.Soundest, since a keeper knows all that its
	// backends have in flight and how it ends.
	Pool   pool.Config
	Holder Holder
	Peers  Peers
	// Ratio is the share of the service's requests that further attempts of the
	// fleet may be, or 0 for the terms' budget. Slack is their number beside it in
	// ten seconds. Both count where the budget is pooled.
	Ratio float64
	Slack int
}

// Pool gives out the slots of one service's backends together with the pools
// of the other hosts. It implements mustardramp.Pool.
type Pool struct {
	config Config
	clock  mustardramp.Clock
	plan   atomic.Pointer[plan]
	ranks  atomic.Pointer[[mustardramp.RankCount]contract.RankTerms]
	next   atomic.Uint64
	// rolls counts the random choices among groups.
	rolls atomic.Uint64
	// waits holds what keepers said of their queues, by group.
	waits sync.Map
	// peers holds the state of each keeper, by host.
	peers sync.Map
	// paths holds the time, in Unix nanoseconds, up to which a backend is not
	// used by this host, since it could not be reached from here.
	paths sync.Map
	// desks holds the desks by group.
	desks sync.Map
	group errgroup.Group

	mu        sync.Mutex
	terms     pool.Terms
	standings []mustardramp.Standing
	fleet     *Fleet
	pressure  pressure
}

var _ mustardramp.Pool = (*Pool)(nil)

// New returns a pool without backends; Update brings them.
func New(config Config) *Pool {
	if config.Pool.Strategy == nil {
		config.Pool.Strategy = pool.Soundest{}
	}
	p := &Pool{config: config, clock: config.Pool.Clock, terms: config.Pool.Terms, fleet: &Fleet{}}
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

// Configure replaces the terms, as after a new revision of the contract.
func (p *Pool) Configure(terms pool.Terms) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.terms = terms
	p.setRanks(terms)
	for _, d := range p.allDesks() {
		d.pool.Configure(terms)
	}
	p.budgets()
}

// budgets hands each desk its part of the budget of further attempts. Only the
// desk of a group's first keeper has slack, so that the desks that stand in for
// one another do not add up.
func (p *Pool) budgets() {
	plan := p.plan.Load()
	p.desks.Range(func(id, value any) bool {
		d := value.(*desk)
		slack := 0.0
		g := plan.byID[id.(GroupID)]
		if g != nil && len(g.keepers) > 0 && g.keepers[0] == p.config.Holder.Host {
			slack = float64(p.config.Slack) * slackShare / float64(len(plan.groups))
		}
		d.window.Configure(p.ratio(), slack)
		d.pooled.Store(p.terms.Pooled)
		return true
	})
}

func (p *Pool) ratio() float64 {
	if p.config.Ratio > 0 {
		return p.config.Ratio * ratioShare
	}
	return p.terms.Budget.Of(1)
}

// ratioShare is the part of the ratio that is used: each keeper takes the best of
// three windows, which together may exceed the best of the fleet.
const ratioShare = 0.95

// slackShare is the part of the fleet's slack that is used: a keeper that takes
// over does not know what the one before it allowed in its last second.
const slackShare = 0.8

// Update implements mustardramp.Pool.
func (p *Pool) Update(standings []mustardramp.Standing) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if slices.Equal(standings, p.standings) {
		return
	}
	p.standings = standings
	p.divide(change{})
}

// SetFleet replaces the entry hosts that are alive. This host belongs to them.
func (p *Pool) SetFleet(fleet *Fleet) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if fleet == p.fleet {
		return
	}
	c := fleet.since(p.fleet)
	p.fleet = fleet
	p.divide(c)
}

// SetHosts is SetFleet for a fleet of its own.
func (p *Pool) SetHosts(hosts []Host) {
	p.SetFleet(NewFleet(hosts))
}

// divide replaces the plan after a change of the hosts.
func (p *Pool) divide(c change) {
	next := divide(p.terms.Service, p.standings, p.fleet, p.plan.Load(), c)
	p.plan.Store(next)
	p.desks.Range(func(id, d any) bool {
		var standings []mustardramp.Standing
		if g := next.byID[id.(GroupID)]; g != nil {
			standings = g.standings
		}
		d.(*desk).pool.Update(standings)
		return true
	})
	p.budgets()
}

// Acquire implements mustardramp.Pool.
func (p *Pool) Acquire(ctx context.Context, demand mustardramp.Demand) (mustardramp.Slot, error) {
	demand.Counted = len(demand.Tried) > 0
	if demand.Wary = len(p.plan.Load().groups) > 1; demand.Wary {
		slot, err := p.acquireAny(ctx, &demand)
		if err == nil || !elsewhere(err) {
			return slot, err
		}
		demand.Wary = false
	}
	return p.acquireAny(ctx, &demand)
}

// acquireAny asks one group after the other.
func (p *Pool) acquireAny(ctx context.Context, demand *mustardramp.Demand) (mustardramp.Slot, error) {
	skip := map[GroupID]bool(nil)
	var last error
	for range len(p.plan.Load().groups) {
		g := p.choose(demand, skip)
		if g == nil {
			break
		}
		slot, err := p.acquire(ctx, g, demand)
		if err == nil || !elsewhere(err) {
			return slot, err
		}
		last = err
		if skip == nil {
			skip = map[GroupID]bool{}
		}
		skip[g.id] = true
	}
	if last == nil {
		last = p.nowhere(demand)
	}
	return nil, last
}

// elsewhere reports whether another group may have what this one lacks.
func elsewhere(err error) bool {
	denial, ok := err.(*mustardramp.Denial)
	return ok && denial.Kind == mustardramp.KindNoBackend
}

// nowhere explains that no group takes the demand.
func (p *Pool) nowhere(demand *mustardramp.Demand) *mustardramp.Denial {
	plan := p.plan.Load()
	for _, g := range plan.groups {
		if g.fits(demand) {
			return linkFull(demand)
		}
	}
	return &mustardramp.Denial{
		Kind:       mustardramp.KindNoBackend,
		Reason:     "None of the known backends of the service may take the request now.",
		Facts:      []mustardramp.Fact{fact("known", plan.known)},
		RetryAfter: time.Second,
	}
}

func linkFull(demand *mustardramp.Demand) *mustardramp.Denial {
	return &mustardramp.Denial{
		Kind:       mustardramp.KindLink,
		Reason:     "The usable backends are in another region, and the rank has used its share of the link to it.",
		Facts:      []mustardramp.Fact{{Name: "rank", Value: demand.Rank.String()}},
		RetryAfter: time.Second,
	}
}

// acquire asks the keepers of a group one after the other, and keeps the group
// itself when none of them answers.
func (p *Pool) acquire(ctx context.Context, g *group, demand *mustardramp.Demand) (mustardramp.Slot, error) {
	for _, host := range g.keepers {
		if p.config.Peers == nil || host == p.config.Holder.Host {
			break
		}
		peer := p.peer(host)
		if !peer.open(p.clock.Now()) {
			continue
		}
		slot, err := p.ask(ctx, peer, g, demand)
		if err == nil || ctx.Err() != nil {
			return slot, err
		}
		if denial, ok := err.(*mustardramp.Denial); ok {
			return nil, denial
		}
		if !link.ErrRemote.Has(err) {
			klog.InfoS("keeper-lost", "service", p.config.Pool.Terms.Service, "region", g.id.Region, "part", g.id.Part,
				"keeper", host, "pause", downTime, "cause", err)
			peer.fail(p.clock.Now())
		}
	}
	return p.own(ctx, g, demand)
}

// own takes a slot from this host's own desk.
func (p *Pool) own(ctx context.Context, g *group, demand *mustardramp.Demand) (mustardramp.Slot, error) {
	d := p.desk(g.id)
	local := *demand
	local.Place = p.config.Pool.Place
	local.Tried = append(p.shunned(g), demand.Tried...)
	held, err := d.acquire(ctx, p.clock.Now(), local)
	demand.Counted = true
	p.note(g.id, demand.Rank, d.pool.Pressure(demand.Rank))
	if err != nil {
		return nil, err
	}
	return &ownSlot{Slot: held, pool: p, rank: demand.Rank}, nil
}

// ask takes a lease from a peer.
func (p *Pool) ask(ctx context.Context, peer *peer, g *group, demand *mustardramp.Demand) (mustardramp.Slot, error) {
	ask := p.newAsk(g, demand)
	call, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	call, stop := context.WithTimeout(call, p.patience(demand.Rank))
	defer stop()
	if most := p.mostAsks(g, demand.Rank); !peer.begin(ask.Number, demand.Rank, most, cancel) {
		return nil, p.pressed(g, peer, demand, most)
	}
	grant, err := p.config.Peers.Ask(call, peer.name, ask)
	// A keeper that did not answer may have counted the request.
	demand.Counted = true
	peer.answered(demand.Rank)
	if err != nil {
		// The keeper may grant it yet.
		p.giveBack(peer, Return{Number: ask.Number, Result: mustardramp.ResultAbandoned})
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return nil, err
	}
	p.note(g.id, demand.Rank, grant.Wait)
	if grant.Denial != nil {
		peer.drop(ask.Number)
		denial := *grant.Denial
		denial.Facts = append(denial.Facts[:len(denial.Facts):len(denial.Facts)],
			mustardramp.Fact{Name: "keeper", Value: string(peer.name)})
		return nil, &denial
	}
	return &slot{pool: p, peer: peer, number: ask.Number, backend: grant.Backend, rank: demand.Rank}, nil
}

// patience is how long a keeper has to answer.
func (p *Pool) patience(rank mustardramp.Rank) time.Duration {
	return max(p.wait(rank), pool.DefaultWait) + grace
}

func (p *Pool) newAsk(g *group, demand *mustardramp.Demand) Ask {
	ask := Ask{
		Service: p.config.Pool.Terms.Service, Group: g.id,
		Holder: p.config.Holder, Number: Number(p.next.Add(1)),
		Rank: demand.Rank, Caller: demand.Caller, Idempotent: demand.Idempotent,
		Tried: append(p.shunned(g), demand.Tried...), Size: demand.Size,
		Place: p.config.Pool.Place, Repeat: demand.Repeat, Wary: demand.Wary, Counted: demand.Counted,
	}
	if !demand.Target.IsZero() {
		ask.Soon = max(demand.Target.Sub(p.clock.Now()), time.Nanosecond)
	}
	if !demand.Deadline.IsZero() {
		ask.Left = max(demand.Deadline.Sub(p.clock.Now()), time.Nanosecond)
	}
	return ask
}

// giveBack ends a lease; reports are sent outside the path of requests.
func (p *Pool) giveBack(peer *peer, r Return) {
	if !peer.end(r) {
		return
	}
	p.group.Go(func() error {
		for {
			returns, ok := peer.next()
			if !ok {
				return nil
			}
			p.report(context.Background(), peer, Report{Returns: returns})
		}
	})
}

func (p *Pool) report(ctx context.Context, peer *peer, report Report) {
	report.Service, report.Holder = p.config.Pool.Terms.Service, p.config.Holder
	ctx, cancel := context.WithTimeout(ctx, reportTime)
	defer cancel()
	if err := p.config.Peers.Report(ctx, peer.name, report); err != nil {
		peer.fail(p.clock.Now())
	}
}

const (
	// askTime bounds one ask whose context has no earlier deadline.
	askTime = time.Hour
	// grace is the time in which a keeper answers beyond a rank's longest wait.
	grace = 2 * time.Second
	// reportTime bounds one report.
	reportTime = time.Second
	// StepInterval is how often Step is to be called.
	StepInterval = time.Second
)

// Step reports the leases in use to their keepers and ends the leases whose
// holders have gone. It is called every StepInterval by one goroutine.
func (p *Pool) Step(ctx context.Context) {
	now := p.clock.Now()
	for _, d := range p.allDesks() {
		d.sweep(now)
	}
	var group errgroup.Group
	p.peers.Range(func(_, value any) bool {
		peer := value.(*peer)
		held := peer.inUse()
		if len(held) == 0 {
			return true
		}
		group.Go(func() error {
			p.report(ctx, peer, Report{Held: held})
			return nil
		})
		return true
	})
	_ = group.Wait()
	p.Brief(ctx)
}

// Close waits until the last returns were sent.
func (p *Pool) Close() {
	_ = p.group.Wait()
}

// Grant answers the ask of another host.
func (p *Pool) Grant(ctx context.Context, ask Ask) (Grant, error) {
	if ask.Rank >= mustardramp.RankCount {
		return Grant{}, ErrPeer.New("unknown rank %d", ask.Rank)
	}
	if p.plan.Load().byID[ask.Group] == nil {
		return Grant{}, ErrPeer.New("no backend of group %s/%d is known here", ask.Group.Region, ask.Group.Part)
	}
	return p.desk(ask.Group).grant(ctx, p.clock.Now, &ask)
}

// Take takes in the report of another host.
func (p *Pool) Take(report Report) {
	now := p.clock.Now()
	for _, d := range p.allDesks() {
		for _, r := range report.Returns {
			d.end(report.Holder, r)
		}
		d.list(report.Holder, report.Held, now)
	}
}

// desk returns the desk of a group, which it makes when it is first asked for.
func (p *Pool) desk(id GroupID) *desk {
	if d, ok := p.desks.Load(id); ok {
		return d.(*desk)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if d, ok := p.desks.Load(id); ok {
		return d.(*desk)
	}
	config := p.config.Pool
	config.Terms = p.terms
	config.Link, config.Results = nil, nil
	config.Flat = true
	g := p.plan.Load().byID[id]
	if g != nil {
		config.Place = g.place
	}
	d := newDesk(id, pool.New(config))
	if g != nil {
		d.pool.Update(g.standings)
	}
	p.desks.Store(id, d)
	p.budgets()
	return d
}

func (p *Pool) allDesks() []*desk {
	var all []*desk
	p.desks.Range(func(_, d any) bool {
		all = append(all, d.(*desk))
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
