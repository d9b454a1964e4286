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
	// crossRegionRoundTrip is the time that a request loses on the way to
	// another region and back.
	crossRegionRoundTrip = 16 * time.Millisecond
	// requestsPerTrial is the number of eligible requests of which one goes to
	// a backend on trial.
	requestsPerTrial = 20
	// maxChoiceAttempts is how often a choice is repeated when another request
	// took the last slot of the chosen backend.
	maxChoiceAttempts = 4
)

// Lease is the right to one attempt at a backend. Its zero value names no
// backend.
type Lease struct {
	member  *member
	rank    mustardramp.Rank
	granted time.Time
	charge  queue.Charge
	// probe is true for an attempt that keeps a backend from staying unused.
	probe bool
	// idleTime is how long the backend had no attempt before this one, or 0 if
	// it is the first.
	idleTime time.Duration
}

// Backend returns the backend to send the attempt to.
func (l *Lease) Backend() mustardramp.Backend {
	return l.member.backend
}

// Valid reports whether the lease names a backend.
func (l *Lease) Valid() bool {
	return l.member != nil
}

// Ticket is a request's place in the queue. It is settled once, by a lease or
// by a denial.
type Ticket struct {
	item   queue.Item[*Ticket]
	demand mustardramp.Demand
	lease  Lease
	denial *mustardramp.Denial
	// wake receives one value when the ticket is settled.
	wake chan struct{}
}

// Expiry returns the latest time at which starting the request is still useful.
func (t *Ticket) Expiry() time.Time {
	return t.item.Expiry
}

// Core makes the decisions of a pool. It reads no clock and starts no
// goroutines, and its methods are safe for concurrent use.
type Core struct {
	strategy   Strategy
	link       Link
	place      mustardramp.Place
	singleTier bool
	view       atomic.Pointer[view]
	terms      atomic.Pointer[Terms]
	seed       uint64
	// draws is the number of random numbers drawn. It is above 0 once the pool
	// was asked for a slot.
	draws atomic.Uint64
	// queued is the number of waiting tickets. While it is 0, requests are
	// served without taking mu.
	queued atomic.Int64
	// serviceLatency is the moving mean latency of good answers in nanoseconds.
	serviceLatency atomic.Int64
	// leaseOverhead measures the message delays that add to the duration of a
	// lease.
	leaseOverhead leaseOverhead
	// onceShare tells whether the service has requests that cannot be retried.
	onceShare onceShare
	// meanSlotTimes are the moving mean slot times by rank in nanoseconds.
	meanSlotTimes [mustardramp.RankCount]atomic.Int64

	// onSettled is called with each settled ticket while mu is held.
	onSettled func(*Ticket)

	mu         sync.Mutex
	queue      queue.Queue[*Ticket]
	departures departureInterval
}

// NewCore returns a Core without backends.
func NewCore(config Config) *Core {
	c := &Core{strategy: config.Strategy, link: config.Link, place: config.Place, singleTier: config.SingleTier, seed: mix(config.Seed), onSettled: (*Ticket).notify}
	c.view.Store(&view{})
	c.queue.OnExpire = func(item *queue.Item[*Ticket]) {
		c.queued.Add(-1)
		c.deny(item.Value, c.expiredDenial(item.Value, item.Expiry))
	}
	c.Configure(config.Terms)
	return c
}

// Configure replaces the terms. Waiting tickets keep their expiry.
func (c *Core) Configure(terms Terms) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.terms.Store(&terms)
	c.queue.Configure(terms.queueTerms())
}

// Update replaces the view of the backends and serves waiting tickets.
func (c *Core) Update(now time.Time, standings []mustardramp.Standing) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := newView(now, c.view.Load(), c.distance, &c.serviceLatency, standings)
	if c.singleTier {
		v.each(func(m *member) { m.leaseOverhead = &c.leaseOverhead })
	}
	v.findNewcomers(c.view.Load(), c.draws.Load() > 0)
	c.view.Store(v)
	c.dispatch(now)
}

func (c *Core) distance(p mustardramp.Place) mustardramp.Distance {
	if c.singleTier {
		return mustardramp.SameZone
	}
	return c.place.To(p)
}

// Offer requests a slot for a demand. It returns a valid lease, a ticket in the
// queue or a denial.
func (c *Core) Offer(now time.Time, demand mustardramp.Demand) (Lease, *Ticket, *mustardramp.Denial) {
	if denial := c.checkDeadline(now, &demand); denial != nil {
		return Lease{}, nil, denial
	}
	c.onceShare.observe(&demand)
	if c.mayStartAtOnce(now, &demand) {
		if reserved := c.tryReserve(now, &demand, now); reserved.member != nil {
			return c.lease(now, reserved, demand.Rank), nil, nil
		}
	}
	return c.enqueue(now, demand)
}

// mayStartAtOnce reports whether the demand is offered to the backends before it
// queues.
func (c *Core) mayStartAtOnce(now time.Time, demand *mustardramp.Demand) bool {
	return c.queued.Load() == 0 && (!demand.RequireHealthy || c.hasAcceptableBackend(now, c.view.Load(), demand))
}

// Finish ends an attempt and gives the freed slot to a waiting ticket. It
// returns how the result changed the backend's risk.
func (c *Core) Finish(now time.Time, lease Lease, result mustardramp.Result, latency time.Duration) RiskChange {
	lease.member.starts.remove(lease.granted.UnixNano())
	change := lease.member.finish(result, latency, now)
	if result == mustardramp.ResultSuccess {
		updateMean(&c.meanSlotTimes[lease.rank], now.Sub(lease.granted))
		c.leaseOverhead.observe(now.Sub(lease.granted), latency)
	}
	if c.queued.Load() == 0 {
		return change
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue.Settle(lease.charge, now.Sub(lease.granted))
	c.dispatch(now)
	return change
}

// Poll gives free slots to waiting tickets. It is meant for the end
// of a hold, when no other event happens.
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
	c.deny(t, c.expiredDenial(t, now))
}

// Withdraw removes the ticket of a request that was canceled. If a lease was
// granted in the meantime, Withdraw returns it, and it must be finished.
func (c *Core) Withdraw(t *Ticket) Lease {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.queue.Remove(&t.item) {
		c.queued.Add(-1)
	}
	return t.lease
}

// NextAvailable returns the next time at which a backend may accept work
// without another event, or false if there is none.
func (c *Core) NextAvailable(now time.Time) (time.Time, bool) {
	at := now.UnixNano()
	meanLatency := time.Duration(c.serviceLatency.Load())
	earliest := int64(math.MaxInt64)
	c.view.Load().each(func(m *member) {
		if h := m.heldUntil.Load(); h > at {
			earliest = min(earliest, h)
		}
		if m.failurePenalty.at(at, meanLatency) > 0 {
			earliest = min(earliest, at+int64(max(meanLatency/4, penaltyTick)))
		}
	})
	return time.Unix(0, earliest), earliest != math.MaxInt64
}

// enqueue queues a demand and serves it if a slot is free by now. It denies a
// demand that no backend may take or that cannot start in time.
func (c *Core) enqueue(now time.Time, demand mustardramp.Demand) (Lease, *Ticket, *mustardramp.Denial) {
	if denial := c.checkBackends(now, &demand, takeSlot); denial != nil {
		return Lease{}, nil, denial
	}
	t := c.newTicket(now, demand)
	c.mu.Lock()
	defer c.mu.Unlock()
	if denial := c.checkWait(now, t); denial != nil {
		return Lease{}, nil, denial
	}
	// The count is raised before the slots are examined again: an attempt that
	// ends in the meantime either sees the count or leaves its slot for this
	// check.
	c.queued.Add(1)
	if evicted := c.queue.Push(&t.item); evicted != nil {
		c.queued.Add(-1)
		c.deny(evicted.Value, c.queueFullDenial(evicted.Value))
	}
	c.dispatch(now)
	return t.lease, t, t.denial
}

// newTicket returns the ticket of a demand, which is not queued yet.
func (c *Core) newTicket(now time.Time, demand mustardramp.Demand) *Ticket {
	t := &Ticket{demand: demand, wake: make(chan struct{}, 1)}
	t.item = queue.Item[*Ticket]{
		Value: t, Rank: demand.Rank, Caller: demand.Caller,
		Added: now, Expiry: c.expiry(now, &demand), OnTime: c.latestOnTimeStart(&demand),
	}
	return t
}

// dispatch gives free slots to waiting tickets in the order of the queue.
func (c *Core) dispatch(now time.Time) {
	costs := c.slotTimes()
	for c.queue.Total() > 0 && c.hasFreeSlot(now) {
		var reserved reservation
		item := c.queue.Next(now, costs, func(item *queue.Item[*Ticket]) bool {
			reserved = c.tryReserve(now, &item.Value.demand, item.Added)
			return reserved.member != nil
		})
		if item == nil {
			return
		}
		c.queued.Add(-1)
		c.departures.observe(now, item.Added)
		lease := c.lease(now, reserved, item.Rank)
		lease.charge = item.Charge()
		c.settle(item.Value, lease)
	}
}

// hasFreeSlot reports whether any backend has room. It is a quick check before
// tickets are offered one by one.
func (c *Core) hasFreeSlot(now time.Time) bool {
	at := now.UnixNano()
	v := c.view.Load()
	for _, tier := range v.tiers {
		for _, m := range tier {
			if m.hasRoom(at) {
				return true
			}
		}
	}
	for _, m := range v.trials {
		if m.hasRoom(at) {
			return true
		}
	}
	return false
}

// lease records the start of an attempt at a reserved backend and returns the
// attempt's lease.
func (c *Core) lease(now time.Time, reserved reservation, rank mustardramp.Rank) Lease {
	at := now.UnixNano()
	l := Lease{member: reserved.member, rank: rank, granted: now, probe: reserved.probe}
	reserved.member.starts.add(at)
	if last := reserved.member.lastAttempt.Swap(at); last > 0 {
		l.idleTime = time.Duration(at - last)
	}
	return l
}

func (c *Core) settle(t *Ticket, lease Lease) {
	t.lease = lease
	c.onSettled(t)
}

func (c *Core) deny(t *Ticket, denial *mustardramp.Denial) {
	t.denial = denial
	c.onSettled(t)
}

func (t *Ticket) notify() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

const (
	// initialRiskLimit is the highest risk that a request accepts without
	// waiting: that of a backend that worked well and failed once.
	initialRiskLimit = 0.55
	// maxRiskLimit is the highest risk that a request accepts after waiting:
	// half of the attempts at such a backend succeed.
	maxRiskLimit = 0.75
	// initialNetworkCostLimit is the highest network cost that a request
	// accepts without waiting. A request with a short body is within it
	// everywhere, one with a long body only in its zone. maxNetworkCostLimit is
	// the limit after waiting. It exceeds the network cost of the longest
	// distance for all but the longest bodies.
	initialNetworkCostLimit = 0.2
	maxNetworkCostLimit     = 8
	// limitGrowthTime is the time in which the limits grow from their initial
	// to their highest value. It is a few times the mean work of a request and
	// shorter than the shortest target.
	limitGrowthTime = 500 * time.Millisecond
	// limitGrowthStep is the interval at which waiting requests are offered to
	// backends that the grown limits admit.
	limitGrowthStep = 50 * time.Millisecond
)

// costLimits bounds the risk and the network cost of the backends that a
// request accepts.
type costLimits struct {
	risk, network float64
}

// noCostLimits lets a request accept any backend.
var noCostLimits = costLimits{risk: math.Inf(1), network: math.Inf(1)}

// limitsFor returns the limits of a request that arrived at the time added.
// They grow while the request waits, so that slots at risky or distant backends
// are used when the healthy and near ones are full, as in a burst while a third
// of the backends are unhealthy. If no acceptable backend is left, waiting
// gains nothing and any risk is accepted.
func (c *Core) limitsFor(v *view, demand *mustardramp.Demand, now, added time.Time) costLimits {
	if !c.singleTier {
		return noCostLimits
	}
	waited := now.Sub(added)
	fraction := min(1, float64(waited)/float64(limitGrowthTime))
	l := costLimits{
		risk:    initialRiskLimit + (maxRiskLimit-initialRiskLimit)*fraction,
		network: initialNetworkCostLimit + (maxNetworkCostLimit-initialNetworkCostLimit)*fraction,
	}
	if waited >= limitGrowthTime {
		l.network = noCostLimits.network
	}
	if c.isNearlyLate(now, demand) || !c.hasAcceptableBackend(now, v, demand) {
		l.risk = noCostLimits.risk
	}
	return l
}

// isNearlyLate reports whether the demand would miss its target or its deadline
// if it waited much longer and had to be retried after a failure. Work that
// must not repeat keeps waiting: a late answer, or a refusal as not run, is
// better than an unknown outcome.
func (c *Core) isNearlyLate(now time.Time, demand *mustardramp.Demand) bool {
	if !demand.Idempotent {
		return false
	}
	meanLatency := time.Duration(c.serviceLatency.Load())
	missesTarget := !demand.Target.IsZero() && now.Add(meanLatency).After(demand.Target)
	return missesTarget || !demand.Deadline.IsZero() && now.Add(2*meanLatency).After(demand.Deadline)
}

// hasAcceptableBackend reports whether a backend that the demand has not tried
// has a risk below maxRiskLimit.
func (c *Core) hasAcceptableBackend(now time.Time, v *view, demand *mustardramp.Demand) bool {
	at := now.UnixNano()
	for _, tier := range v.tiers {
		for _, m := range tier {
			if m.isRiskBelow(at, maxRiskLimit) && m.isAvailable(at) && !slices.Contains(demand.Tried, m.backend.ID) {
				return true
			}
		}
	}
	return false
}

// reservation is a backend at which a slot was taken, or none.
type reservation struct {
	member *member
	// probe is true for an attempt that keeps a backend from staying unused.
	probe bool
}

// reserveMode states whether a decision takes what it decides on.
type reserveMode uint8

const (
	// takeSlot takes a slot, and capacity of the link between regions.
	takeSlot reserveMode = iota
	// evaluateOnly takes nothing.
	evaluateOnly
)

// take takes a slot at a member that has room, or reports false.
func (mode reserveMode) take(m *member) bool {
	return mode == evaluateOnly || m.tryAcquire()
}

// allowCrossing reports whether the link between regions has capacity for a request,
// which is taken in the mode takeSlot.
func (c *Core) allowCrossing(demand *mustardramp.Demand, size mustardramp.Bytes, now time.Time, mode reserveMode) bool {
	switch {
	case c.link == nil:
		return true
	case mode == evaluateOnly:
		return c.link.HasCapacity(demand.Rank, now)
	default:
		return c.link.Allow(demand.Rank, size, now)
	}
}

// tryReserve takes a slot at a backend with room, nearest first.
func (c *Core) tryReserve(now time.Time, demand *mustardramp.Demand, added time.Time) reservation {
	return c.reserve(demand, reserveOptions{now: now, added: added, random: c.nextRandom(), queued: c.queued.Load(), mode: takeSlot})
}

// reserveOptions holds what a choice of a backend depends on beside the demand.
type reserveOptions struct {
	// added is when the request arrived.
	now, added time.Time
	random     uint64
	// queued is the number of waiting requests.
	queued int64
	mode   reserveMode
}

// reserve chooses a backend with room, nearest first.
func (c *Core) reserve(demand *mustardramp.Demand, o reserveOptions) reservation {
	v := c.view.Load()
	now, random, mode := o.now, o.random, o.mode
	at := now.UnixNano()
	if m := pickTrial(v, demand, at, random); m != nil && mode.take(m) {
		return reservation{member: m}
	}
	if m := c.pickNewcomer(now, v, demand); m != nil && mode.take(m) {
		return reservation{member: m}
	}
	if m := c.pickOverdue(now, v, demand); m != nil && mode.take(m) {
		return reservation{member: m, probe: true}
	}
	limits := c.limitsFor(v, demand, now, o.added)
	for d, tier := range v.tiers {
		if len(tier) == 0 {
			continue
		}
		crossRegion := mustardramp.Distance(d) == mustardramp.AcrossRegions
		if crossRegion && !isCrossRegionFaster(v, o.queued) {
			continue
		}
		m := c.choose(tier, demand, at, random, limits, mode)
		if m == nil {
			continue
		}
		if crossRegion && !c.allowCrossing(demand, demand.Size, now, mode) {
			if mode == takeSlot {
				m.inFlight.Add(-1)
			}
			continue
		}
		return reservation{member: m}
	}
	return reservation{}
}

func (c *Core) nextRandom() uint64 {
	return c.randomOf(c.draws.Add(1))
}

// randomOf returns the random number of a draw.
func (c *Core) randomOf(draw uint64) uint64 {
	return mix(c.seed + draw)
}

// choose chooses one member of a tier, and takes a slot there in the mode takeSlot.
func (c *Core) choose(tier []*member, demand *mustardramp.Demand, at int64, random uint64, l costLimits, mode reserveMode) *member {
	choice := Choice{members: tier, tried: demand.Tried, place: demand.Place, size: demand.Size, limits: l, at: at, random: random, failureCost: 1}
	if c.isCanary(demand) {
		choice.failureCost = canaryFailureCost
	}
	for range maxChoiceAttempts {
		var i int
		if c.strategy == nil {
			// A call of the concrete type keeps the choice on the stack.
			i = TwoChoices{}.Choose(&choice)
		} else {
			other := choice
			i = c.strategy.Choose(&other)
			choice.random = other.random
		}
		if i < 0 {
			return nil
		}
		if mode.take(tier[i]) {
			return tier[i]
		}
	}
	return nil
}

// pickTrial returns a backend on trial with room, or nil. One in requestsPerTrial of
// the idempotent requests of the lowest rank gets a slot there, one at a time.
func pickTrial(v *view, demand *mustardramp.Demand, at int64, random uint64) *member {
	if len(v.trials) == 0 || !demand.Idempotent || demand.Rank != mustardramp.Bulk || len(demand.Tried) > 0 {
		return nil
	}
	if random%requestsPerTrial != 0 {
		return nil
	}
	m := v.trials[mix(random)%uint64(len(v.trials))]
	if !m.hasRoom(at) {
		return nil
	}
	return m
}

// isCrossRegionFaster reports whether the wait for a backend in this region is
// longer than the round trip to another region.
func isCrossRegionFaster(v *view, queued int64) bool {
	region := v.regionUsage()
	if region.limit == 0 {
		return true
	}
	waiting := float64(queued + 1)
	wait := waiting * float64(region.latency) / float64(region.limit)
	return wait > float64(crossRegionRoundTrip)
}

func (c *Core) slotTimes() (costs queue.Costs) {
	for r := range costs {
		costs[r] = time.Duration(c.meanSlotTimes[r].Load())
	}
	return costs
}
