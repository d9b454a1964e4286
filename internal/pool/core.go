package pool

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/queue"
)

const (
	// crossing is the time that a request loses on the way to another region
	// and back.
	crossing = 16 * time.Millisecond
	// trialEvery is the number of fit requests of which one goes to a backend
	// on trial.
	trialEvery = 20
	// enterTries is how often a choice is repeated when another request took
	// the last place.
	enterTries = 4
)

// Lease is the right to one attempt at a backend. Its zero value is none.
type Lease struct {
	member  *member
	rank    mustardramp.Rank
	granted time.Time
	bill    queue.Bill
	// check marks an attempt that keeps the floor in use.
	check bool
	// unused is how long the backend had no attempt before, or 0 for its first.
	unused time.Duration
}

// Backend returns the backend to send the attempt to.
func (l *Lease) Backend() mustardramp.Backend {
	return l.member.backend
}

// Valid reports whether the lease names a backend.
func (l *Lease) Valid() bool {
	return l.member != nil
}

// Ticket is one place in the queue. A ticket is settled once: by a lease or by
// a denial.
type Ticket struct {
	item   queue.Item[*Ticket]
	demand mustardramp.Demand
	lease  Lease
	denial *mustardramp.Denial
	// wake receives once when the ticket is settled.
	wake chan struct{}
}

// Expiry returns the last time at which a start is of use.
func (t *Ticket) Expiry() time.Time {
	return t.item.Expiry
}

// Core holds the decisions of a pool. It reads no clock and starts nothing;
// its methods may be called by many goroutines.
type Core struct {
	strategy Strategy
	link     Link
	place    mustardramp.Place
	flat     bool
	view     atomic.Pointer[view]
	terms    atomic.Pointer[Terms]
	seed     uint64
	rolls    atomic.Uint64
	// queued is the number of waiting tickets; while it is 0 no lock is taken.
	queued atomic.Int64
	// usual is the moving mean latency of good answers in nanoseconds.
	usual atomic.Int64
	// transit is what the ways to and from the hosts add to a lease.
	transit transit
	// costs are the moving mean slot times by rank in nanoseconds.
	costs [mustardramp.RankCount]atomic.Int64

	// wake is told of each settled ticket, with mu held.
	wake func(*Ticket)

	mu    sync.Mutex
	queue queue.Queue[*Ticket]
	drain drain
}

// NewCore returns a core without backends.
func NewCore(config Config) *Core {
	c := &Core{strategy: config.Strategy, link: config.Link, place: config.Place, flat: config.Flat, seed: mix(config.Seed), wake: (*Ticket).notify}
	c.view.Store(&view{})
	c.queue.Drop = func(item *queue.Item[*Ticket]) {
		c.queued.Add(-1)
		c.refuse(item.Value, c.late(item.Value, item.Expiry))
	}
	c.Configure(config.Terms)
	return c
}

// Configure replaces the terms. Waiting tickets keep their expiry.
func (c *Core) Configure(terms Terms) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.terms.Store(&terms)
	c.queue.Configure(terms.queue())
}

// Update replaces the view of the backends.
func (c *Core) Update(now time.Time, standings []mustardramp.Standing) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := build(now, c.view.Load(), c.distance, &c.usual, standings)
	if c.flat {
		v.each(func(m *member) { m.transit = &c.transit })
	}
	v.findNewcomers(c.view.Load(), c.rolls.Load() > 0)
	c.view.Store(v)
	c.dispatch(now)
}

func (c *Core) distance(p mustardramp.Place) mustardramp.Distance {
	if c.flat {
		return mustardramp.SameZone
	}
	return c.place.To(p)
}

// Offer asks for a slot. It returns a valid lease, or a ticket in the queue,
// or a denial.
func (c *Core) Offer(now time.Time, demand mustardramp.Demand) (Lease, *Ticket, *mustardramp.Denial) {
	if !demand.Deadline.IsZero() && !now.Before(demand.Deadline) {
		return Lease{}, nil, c.past(demand)
	}
	if c.queued.Load() == 0 && (!demand.Wary || c.hasHope(now, c.view.Load(), &demand)) {
		if p := c.try(now, &demand, now); p.member != nil {
			return c.lease(now, p, demand.Rank), nil, nil
		}
	}
	return c.enqueue(now, demand)
}

// Finish ends an attempt and gives the free slot to waiting tickets. It returns
// how the result changed the belief about the backend.
func (c *Core) Finish(now time.Time, lease Lease, result mustardramp.Result, latency time.Duration) Turn {
	lease.member.flights.end(lease.granted.UnixNano())
	turn := lease.member.leave(result, latency, now)
	if result == mustardramp.ResultGood {
		learn(&c.costs[lease.rank], now.Sub(lease.granted))
		c.transit.observe(now.Sub(lease.granted), latency)
	}
	if c.queued.Load() == 0 {
		return turn
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue.Settle(lease.bill, now.Sub(lease.granted))
	c.dispatch(now)
	return turn
}

// Poll gives free slots to waiting tickets. It is called when a hold ends,
// since nothing else happens at that time.
func (c *Core) Poll(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dispatch(now)
}

// Settled returns the ticket's lease or denial, or false while it waits.
func (c *Core) Settled(t *Ticket) (Lease, *mustardramp.Denial, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return t.lease, t.denial, t.lease.Valid() || t.denial != nil
}

// Expire denies a ticket that waits past its expiry.
func (c *Core) Expire(now time.Time, t *Ticket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dispatch(now)
	if now.Before(t.item.Expiry) || !c.queue.Remove(&t.item) {
		return
	}
	c.queued.Add(-1)
	c.refuse(t, c.late(t, now))
}

// Withdraw takes back a ticket whose caller went away. A lease that was
// granted meanwhile is returned and must be finished.
func (c *Core) Withdraw(t *Ticket) Lease {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.queue.Remove(&t.item) {
		c.queued.Add(-1)
	}
	return t.lease
}

// Release returns the next time at which a backend may take work again without
// another event, or false when there is none.
func (c *Core) Release(now time.Time) (time.Time, bool) {
	at := now.UnixNano()
	usual := time.Duration(c.usual.Load())
	first := int64(math.MaxInt64)
	c.view.Load().each(func(m *member) {
		if h := m.held.Load(); h > at {
			first = min(first, h)
		}
		if m.ghosts.at(at, usual) > 0 {
			first = min(first, at+int64(max(usual/4, ghostTick)))
		}
	})
	return time.Unix(0, first), first != math.MaxInt64
}

func (c *Core) enqueue(now time.Time, demand mustardramp.Demand) (Lease, *Ticket, *mustardramp.Denial) {
	if denial := c.hopeless(now, &demand); denial != nil {
		return Lease{}, nil, denial
	}
	t := &Ticket{demand: demand, wake: make(chan struct{}, 1)}
	t.item = queue.Item[*Ticket]{
		Value: t, Rank: demand.Rank, Caller: demand.Caller,
		Added: now, Expiry: c.expiry(now, &demand),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if denial := c.tooLate(now, t); denial != nil {
		return Lease{}, nil, denial
	}
	// The count goes up before the slots are looked at again: a request that
	// ends meanwhile either sees the count or leaves its slot to be seen.
	c.queued.Add(1)
	if evicted := c.queue.Push(&t.item); evicted != nil {
		c.queued.Add(-1)
		c.refuse(evicted.Value, c.full(evicted.Value))
	}
	c.dispatch(now)
	return t.lease, t, t.denial
}

// dispatch gives free slots to waiting tickets in the queue's order.
func (c *Core) dispatch(now time.Time) {
	costs := c.slotTimes()
	for c.queue.Total() > 0 && c.anyRoom(now) {
		var p placed
		item := c.queue.Next(now, costs, func(item *queue.Item[*Ticket]) bool {
			p = c.try(now, &item.Value.demand, item.Added)
			return p.member != nil
		})
		if item == nil {
			return
		}
		c.queued.Add(-1)
		c.drain.served(now, item.Added)
		lease := c.lease(now, p, item.Rank)
		lease.bill = item.Bill()
		c.settle(item.Value, lease)
	}
}

// anyRoom is a quick test before tickets are offered one by one.
func (c *Core) anyRoom(now time.Time) bool {
	at := now.UnixNano()
	v := c.view.Load()
	for _, tier := range v.tiers {
		for _, m := range tier {
			if m.room(at) {
				return true
			}
		}
	}
	for _, m := range v.trials {
		if m.room(at) {
			return true
		}
	}
	return false
}

func (c *Core) lease(now time.Time, p placed, rank mustardramp.Rank) Lease {
	at := now.UnixNano()
	l := Lease{member: p.member, rank: rank, granted: now, check: p.check}
	p.member.flights.begin(at)
	if last := p.member.used.Swap(at); last > 0 {
		l.unused = time.Duration(at - last)
	}
	return l
}

func (c *Core) settle(t *Ticket, lease Lease) {
	t.lease = lease
	c.wake(t)
}

func (c *Core) refuse(t *Ticket, denial *mustardramp.Denial) {
	t.denial = denial
	c.wake(t)
}

func (t *Ticket) notify() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

const (
	// riskLimit is the risk that a request takes at once: that of a backend
	// whose work has been well and that failed once.
	riskLimit = 0.55
	// mostRiskTaken is the risk that a request takes after patience: half of the
	// attempts at such a backend are good.
	mostRiskTaken = 0.75
	// wayLimit is the cost of the way that a request takes at once: a short one
	// goes anywhere, a long one stays in its zone. mostWayTaken is that after
	// patience, above that of the longest way of all but the longest bodies.
	wayLimit     = 0.2
	mostWayTaken = 8
	// patienceSpan is the time in which the limits grow. It is a few times the mean
	// work of both sites' services, and within the shortest target.
	patienceSpan = 500 * time.Millisecond
	// patienceStep is the time after which waiting requests are offered to
	// backends beyond the first limits.
	patienceStep = 50 * time.Millisecond
)

// limit bounds the backends that a request takes.
type limit struct {
	risk, way float64
}

// noLimit lets a request take any backend.
var noLimit = limit{risk: math.Inf(1), way: math.Inf(1)}

// limitOf returns the limit of a request that came at a time. It grows while the
// request waits, so that room at backends that may be well, or are far, is used
// when the well and near ones are full. It answers a burst while a third of the
// backends are ill. Where no backend is left that may be well, there is nothing
// to wait for.
func (c *Core) limitOf(v *view, demand *mustardramp.Demand, now, added time.Time) limit {
	if !c.flat {
		return noLimit
	}
	waited := now.Sub(added)
	part := min(1, float64(waited)/float64(patienceSpan))
	l := limit{
		risk: riskLimit + (mostRiskTaken-riskLimit)*part,
		way:  wayLimit + (mostWayTaken-wayLimit)*part,
	}
	if waited >= patienceSpan {
		l.way = noLimit.way
	}
	if c.isLost(now, demand) || !c.hasHope(now, v, demand) {
		l.risk = noLimit.risk
	}
	return l
}

// isLost reports whether the demand misses its target, or its deadline, if it
// waits much longer and may be sent again if it fails. Work that must not repeat
// waits on: late, or refused as not run, is better than lost.
func (c *Core) isLost(now time.Time, demand *mustardramp.Demand) bool {
	if !demand.Idempotent {
		return false
	}
	usual := time.Duration(c.usual.Load())
	late := !demand.Target.IsZero() && now.Add(usual).After(demand.Target)
	return late || !demand.Deadline.IsZero() && now.Add(2*usual).After(demand.Deadline)
}

// hasHope reports whether a backend that the demand has not tried is less risky
// than a request ever takes.
func (c *Core) hasHope(now time.Time, v *view, demand *mustardramp.Demand) bool {
	at := now.UnixNano()
	for _, tier := range v.tiers {
		for _, m := range tier {
			if m.isSound(at, mostRiskTaken) && m.open(at) && !slices.Contains(demand.Tried, m.backend.ID) {
				return true
			}
		}
	}
	return false
}

// placed is a backend at which a place was taken, or none.
type placed struct {
	member *member
	// check is true when the attempt keeps the floor in use.
	check bool
}

// try takes a place at a backend with room, nearest first.
func (c *Core) try(now time.Time, demand *mustardramp.Demand, added time.Time) placed {
	v := c.view.Load()
	at := now.UnixNano()
	roll := c.roll()
	if m := tryTrial(v, demand, at, roll); m != nil {
		return placed{member: m}
	}
	if m := c.newcomer(now, v, demand); m != nil && m.enter() {
		return placed{member: m}
	}
	if m := c.neglected(now, v, demand); m != nil && m.enter() {
		return placed{member: m, check: true}
	}
	limit := c.limitOf(v, demand, now, added)
	for d, tier := range v.tiers {
		if len(tier) == 0 {
			continue
		}
		across := mustardramp.Distance(d) == mustardramp.AcrossRegions
		if across && !c.crossingPays(v) {
			continue
		}
		m := c.choose(tier, demand, at, roll, limit)
		if m == nil {
			continue
		}
		if across && c.link != nil && !c.link.Allow(demand.Rank, demand.Size, now) {
			m.inFlight.Add(-1)
			continue
		}
		return placed{member: m}
	}
	return placed{}
}

func (c *Core) roll() uint64 {
	return mix(c.seed + c.rolls.Add(1))
}

// choose takes a place at one member of a tier.
func (c *Core) choose(tier []*member, demand *mustardramp.Demand, at int64, roll uint64, l limit) *member {
	choice := Choice{members: tier, tried: demand.Tried, place: demand.Place, size: demand.Size, limit: l, at: at, roll: roll}
	for range enterTries {
		var i int
		if c.strategy == nil {
			// A call of the known type keeps the choice on the stack.
			i = TwoChoices{}.Choose(&choice)
		} else {
			other := choice
			i = c.strategy.Choose(&other)
			choice.roll = other.roll
		}
		if i < 0 {
			return nil
		}
		if tier[i].enter() {
			return tier[i]
		}
	}
	return nil
}

// tryTrial sends one in trialEvery of the idempotent requests of the least
// rank to a backend on trial, one at a time.
func tryTrial(v *view, demand *mustardramp.Demand, at int64, roll uint64) *member {
	if len(v.trials) == 0 || !demand.Idempotent || demand.Rank != mustardramp.Bulk || len(demand.Tried) > 0 {
		return nil
	}
	if roll%trialEvery != 0 {
		return nil
	}
	m := v.trials[mix(roll)%uint64(len(v.trials))]
	if !m.room(at) || !m.enter() {
		return nil
	}
	return m
}

// crossingPays reports whether the wait for a near backend is longer than the
// way to a far one.
func (c *Core) crossingPays(v *view) bool {
	near := v.near()
	if near.limit == 0 {
		return true
	}
	waiting := float64(c.queued.Load() + 1)
	wait := waiting * float64(near.latency) / float64(near.limit)
	return wait > float64(crossing)
}

func (c *Core) slotTimes() (costs queue.Costs) {
	for r := range costs {
		costs[r] = time.Duration(c.costs[r].Load())
	}
	return costs
}
