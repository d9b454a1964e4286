package pool

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/retry"
	"github.com/mustardramp/mustardramp/internal/slotfake"
)

// The sizes and times of the simulations. The work of a request is drawn from
// an exponential distribution.
const (
	meanWork     = 100 * time.Millisecond
	zoneDelay    = 200 * time.Microsecond
	regionDelay  = 1500 * time.Microsecond
	farDelay     = 8 * time.Millisecond
	attemptLimit = 3
	// distancePenalty is the number of one-way delays between a host and a core
	// that are added to the core's expected wait.
	distancePenalty = 6
	fleetSeed       = 9165
)

var fleetPlaces = []mustardramp.Place{
	kolA, kolB, silA, {Zone: "sil-b", Region: "siliguri"},
}

func oneWayDelay(a, b mustardramp.Place) time.Duration {
	return [...]time.Duration{zoneDelay, regionDelay, farDelay}[a.To(b)]
}

// fleet simulates the hosts in front of the backends of one service.
type fleet struct {
	clock     slotfake.Clock
	source    *slotfake.Source
	hosts     []mustardramp.Place
	backends  []*slotfake.Backend
	standings []mustardramp.Standing
	budgets   []*retry.Budget
	// hedges are nil if work is not hedged.
	hedges     []*retry.Hedge
	hedgeCount int
	// fifo puts all work into one rank.
	fifo  bool
	terms Terms
	// from is when counting starts, until when arrivals stop.
	from, until time.Duration
	tally       [mustardramp.RankCount]outcome
	sheds       int
	// work is the slot time used while requests were counted, workByRank the
	// part of it that served each rank.
	work       time.Duration
	workByRank [mustardramp.RankCount]time.Duration
	attempts   int
	failures   int
}

// outcome counts the requests of one rank that arrived while requests were
// counted.
type outcome struct {
	offered, served int
	waits           []time.Duration
	denied          map[mustardramp.RefusalKind]int
}

type fleetSize struct {
	hosts, backends, slots int
}

func newFleet(s fleetSize, seed uint64) *fleet {
	f := &fleet{source: slotfake.NewSource(seed), from: 5 * time.Second, until: 35 * time.Second}
	f.terms = terms()
	for i := range s.hosts {
		f.hosts = append(f.hosts, fleetPlaces[i%len(fleetPlaces)])
		f.budgets = append(f.budgets, retry.New(20))
	}
	for i := range s.backends {
		st := serving(i, fleetPlaces[i%len(fleetPlaces)], mustardramp.Slots(s.slots))
		f.standings = append(f.standings, st)
		f.backends = append(f.backends, &slotfake.Backend{Clock: &f.clock, Slots: s.slots})
	}
	return f
}

// capacity returns the requests per second that all slots can serve.
func (f *fleet) capacity() float64 {
	sum := 0.0
	for _, b := range f.backends {
		sum += float64(b.Slots) / max(1, b.Slowness)
	}
	return sum / meanWork.Seconds()
}

// request is one request of a caller.
type request struct {
	host    int
	rank    mustardramp.Rank
	demand  mustardramp.Demand
	work    time.Duration
	arrived time.Duration
	counted bool
	tries   int
	// ended is true once an answer or a denial was given.
	ended bool
}

// balancer distributes requests over the backends.
type balancer interface {
	offer(r *request)
}

// load adds arrivals of a rank, spread over all hosts.
func (f *fleet) load(w balancer, rank mustardramp.Rank, rate float64, from, until time.Duration, deadline time.Duration) {
	n := 0
	f.source.Poisson(&f.clock, rate, from, until, func() {
		n++
		r := &request{
			host: f.source.Intn(len(f.hosts)), rank: rank, work: f.source.Exponential(meanWork), arrived: f.clock.Elapsed(),
			counted: f.clock.Elapsed() >= f.from,
		}
		r.demand = mustardramp.Demand{
			Rank: rank, Caller: mustardramp.CallerName(fmt.Sprint("caller-", n%7)), Idempotent: true,
			Deadline: f.clock.Now().Add(deadline), Size: 1000,
		}
		if f.fifo {
			r.demand.Rank = mustardramp.Normal
		}
		if r.counted {
			f.tally[rank].offered++
		}
		w.offer(r)
	})
}

func (f *fleet) run() {
	f.clock.Run(f.from)
	before := f.usedTime()
	f.clock.Run(f.until)
	f.work = f.usedTime() - before
	f.clock.Run(f.until + time.Minute)
}

func (f *fleet) usedTime() (used time.Duration) {
	for _, b := range f.backends {
		used += b.Used()
	}
	return used
}

// canRetry reports whether a failed request may be sent once more.
func (f *fleet) canRetry(r *request) bool {
	return r.tries < attemptLimit && f.clock.Now().Before(r.demand.Deadline) && f.budgets[r.host].Allow(r.demand.Rank, f.clock.Now())
}

// send carries one attempt to a backend and the answer back.
func (f *fleet) send(r *request, from mustardramp.Place, b int, done func(mustardramp.Result)) {
	r.tries++
	if r.counted {
		f.attempts++
	}
	if r.tries == 1 {
		f.budgets[r.host].CountRequest(r.demand.Rank, f.clock.Now())
	}
	oneWay := oneWayDelay(from, f.standings[b].Backend.Place)
	f.clock.After(oneWay, func() {
		f.backends[b].Serve(r.work, func(a slotfake.Answer) {
			result := [...]mustardramp.Result{mustardramp.ResultSuccess, mustardramp.ResultShed, mustardramp.ResultError}[a]
			f.clock.After(oneWay, func() {
				f.budgets[r.host].Observe(r.demand.Rank, result, f.clock.Now())
				if result == mustardramp.ResultShed && r.counted {
					f.sheds++
				}
				if result.Failed() && r.counted {
					f.failures++
				}
				done(result)
			})
		})
	})
}

func (f *fleet) served(r *request) {
	r.ended = true
	if now := f.clock.Elapsed(); now >= f.from && now < f.until {
		f.workByRank[r.rank] += r.work
	}
	if !r.counted {
		return
	}
	o := &f.tally[r.rank]
	if f.clock.Now().After(r.demand.Deadline) {
		f.denied(r, mustardramp.KindTimeout)
		return
	}
	o.served++
	o.waits = append(o.waits, f.clock.Elapsed()-r.arrived-r.work)
}

func (f *fleet) denied(r *request, kind mustardramp.RefusalKind) {
	r.ended = true
	if !r.counted {
		return
	}
	o := &f.tally[r.rank]
	if o.denied == nil {
		o.denied = map[mustardramp.RefusalKind]int{}
	}
	o.denied[kind]++
}

// total sums the ranks.
func (f *fleet) total() (t outcome) {
	for _, o := range f.tally {
		t.offered += o.offered
		t.served += o.served
		t.waits = append(t.waits, o.waits...)
	}
	return t
}

func (o *outcome) servedShare() float64 {
	return float64(o.served) / float64(max(1, o.offered))
}

func (o *outcome) quantile(q float64) time.Duration {
	if len(o.waits) == 0 {
		return 0
	}
	slices.Sort(o.waits)
	return o.waits[int(q*float64(len(o.waits)-1))]
}

func (o *outcome) mean() time.Duration {
	if len(o.waits) == 0 {
		return 0
	}
	var sum time.Duration
	for _, w := range o.waits {
		sum += w
	}
	return sum / time.Duration(len(o.waits))
}

// utilization returns the share of slot time used while requests were counted.
func (f *fleet) utilization() float64 {
	return f.work.Seconds() / f.slotTime()
}

// utilizationBy returns the share of slot time that served a rank.
func (f *fleet) utilizationBy(rank mustardramp.Rank) float64 {
	return f.workByRank[rank].Seconds() / f.slotTime()
}

func (f *fleet) slotTime() float64 {
	slots := 0
	for _, b := range f.backends {
		slots += b.Slots
	}
	return float64(slots) * (f.until - f.from).Seconds()
}

// directBalancer sends each request at once to the backend that choose returns.
type directBalancer struct {
	*fleet
	choose func(r *request) int
	ended  func(r *request, b int)
}

func (d *directBalancer) offer(r *request) {
	b := d.choose(r)
	d.send(r, d.hosts[r.host], b, func(result mustardramp.Result) {
		if d.ended != nil {
			d.ended(r, b)
		}
		if result == mustardramp.ResultSuccess {
			d.served(r)
			return
		}
		if d.canRetry(r) {
			d.offer(r)
			return
		}
		d.denied(r, mustardramp.KindShed)
	})
}

func roundRobin(f *fleet) balancer {
	nextBackend := make([]int, len(f.hosts))
	for i := range nextBackend {
		nextBackend[i] = f.source.Intn(len(f.backends))
	}
	return &directBalancer{fleet: f, choose: func(r *request) int {
		nextBackend[r.host]++
		return nextBackend[r.host] % len(f.backends)
	}}
}

func random(f *fleet) balancer {
	return &directBalancer{fleet: f, choose: func(*request) int { return f.source.Intn(len(f.backends)) }}
}

// leastInFlight counts the attempts of each host separately and ignores places.
func leastInFlight(f *fleet) balancer {
	inFlight := make([][]int, len(f.hosts))
	for i := range inFlight {
		inFlight[i] = make([]int, len(f.backends))
	}
	choose := func(r *request) int {
		own := inFlight[r.host]
		start := f.source.Intn(len(own))
		best := start
		for k := range own {
			if i := (start + k) % len(own); own[i] < own[best] {
				best = i
			}
		}
		own[best]++
		return best
	}
	return &directBalancer{fleet: f, choose: choose, ended: func(r *request, b int) { inFlight[r.host][b]-- }}
}

// poolBalancer asks a Core before each attempt; several hosts may share one.
type poolBalancer struct {
	*fleet
	cores  []*Core
	places []mustardramp.Place
	// pick returns the core for a request.
	pick func(r *request) int
	// onAnswer records the state that a core's answer carries to a host.
	onAnswer func(r *request, core int)
	// broadcasts counts the broadcasts of waits to all hosts.
	broadcasts int
	tickets    map[*Ticket]func()
	// proxied is true if attempts leave from the core's place. Otherwise they
	// leave from the host's place once the lease has arrived there.
	proxied bool
}

func (p *poolBalancer) offer(r *request) {
	i := p.pick(r)
	p.clock.After(p.hopDelay(r, i), func() { p.acquire(r, i) })
}

// hopDelay returns the one-way delay between the request's host and a core. It
// is 0 if each host has its own core.
func (p *poolBalancer) hopDelay(r *request, core int) time.Duration {
	if len(p.cores) == len(p.hosts) {
		return 0
	}
	return oneWayDelay(p.hosts[r.host], p.places[core])
}

func (p *poolBalancer) acquire(r *request, core int) {
	lease, ticket, denial := p.cores[core].Offer(p.clock.Now(), r.demand)
	if denial != nil {
		p.deny(r, core, denial.Kind)
		return
	}
	if lease.Valid() {
		p.dispatch(r, core, lease)
		return
	}
	p.await(r, core, ticket)
}

func (p *poolBalancer) deny(r *request, core int, kind mustardramp.RefusalKind) {
	p.clock.After(p.hopDelay(r, core), func() {
		p.notifyHost(r, core)
		p.denied(r, kind)
	})
}

func (p *poolBalancer) notifyHost(r *request, core int) {
	if p.onAnswer != nil {
		p.onAnswer(r, core)
	}
}

// await stands in for the goroutine that waits for a ticket.
func (p *poolBalancer) await(r *request, core int, t *Ticket) {
	p.tickets[t] = func() {
		delete(p.tickets, t)
		lease, denial, _ := p.cores[core].Settled(t)
		if denial != nil {
			p.deny(r, core, denial.Kind)
			return
		}
		p.dispatch(r, core, lease)
	}
	p.scheduleRecheck(core, t)
}

// scheduleRecheck checks a ticket again when it expires or a hold ends.
func (p *poolBalancer) scheduleRecheck(core int, t *Ticket) {
	now := p.clock.Now()
	until := t.Expiry()
	if at, held := p.cores[core].NextAvailable(now); held && at.Before(until) {
		until = at
	}
	p.clock.After(max(until.Sub(now), time.Millisecond), func() {
		if p.tickets[t] == nil {
			return
		}
		p.cores[core].Expire(p.clock.Now(), t)
		if p.tickets[t] != nil {
			p.scheduleRecheck(core, t)
		}
	})
}

// settled resumes the request of a ticket after the core's event is over.
func (p *poolBalancer) settled(t *Ticket) {
	p.clock.After(0, func() {
		if resume := p.tickets[t]; resume != nil {
			resume()
		}
	})
}

func (p *poolBalancer) dispatch(r *request, core int, lease Lease) {
	id := lease.Backend().ID
	b := slices.IndexFunc(p.standings, func(s mustardramp.Standing) bool { return s.Backend.ID == id })
	from, back := p.places[core], time.Duration(0)
	if !p.proxied {
		from, back = p.hosts[r.host], p.hopDelay(r, core)
	}
	begun := p.clock.Now()
	p.clock.After(back, func() {
		p.hedge(r, core, id)
		p.send(r, from, b, func(result mustardramp.Result) {
			p.clock.After(back, func() { p.cores[core].Finish(p.clock.Now(), lease, result, p.clock.Now().Sub(begun)) })
			p.ended(r, core, id, result)
		})
	})
}

// hedge sends a first attempt a second time if its answer is late.
func (p *poolBalancer) hedge(r *request, core int, id mustardramp.BackendID) {
	if p.hedges == nil || r.tries > 0 {
		return
	}
	h := p.hedges[r.host]
	late, ok := h.Delay(r.rank, r.demand.Idempotent)
	if !ok {
		return
	}
	p.clock.After(late, func() {
		if r.ended || !h.Start(r.rank, p.cores[core].ExpectedWait(r.rank) > 0, p.clock.Now()) {
			return
		}
		r.demand.Tried = append(r.demand.Tried, id)
		lease, ticket, _ := p.cores[core].Offer(p.clock.Now(), r.demand)
		if ticket != nil {
			lease = p.cores[core].Withdraw(ticket)
		}
		if !lease.Valid() {
			return
		}
		if r.counted {
			p.hedgeCount++
		}
		p.dispatch(r, core, lease)
	})
}

func (p *poolBalancer) ended(r *request, core int, id mustardramp.BackendID, result mustardramp.Result) {
	p.notifyHost(r, core)
	if r.ended {
		return
	}
	if p.hedges != nil && result == mustardramp.ResultSuccess {
		p.hedges[r.host].Learn(r.rank, p.clock.Elapsed()-r.arrived)
	}
	switch {
	case result == mustardramp.ResultSuccess && p.proxied:
		r.ended = true
		p.clock.After(p.hopDelay(r, core), func() { p.served(r) })
	case result == mustardramp.ResultSuccess:
		p.served(r)
	case p.canRetry(r):
		r.demand.Tried = append(r.demand.Tried, id)
		p.acquire(r, core)
	default:
		p.denied(r, mustardramp.KindShed)
	}
}

// waitBroadcast schedules when the waits at cores are shared with all hosts.
type waitBroadcast func(p *poolBalancer, share func(core int, waits [mustardramp.RankCount]time.Duration))

// periodicBroadcast shares all waits at fixed intervals.
func periodicBroadcast(interval time.Duration) waitBroadcast {
	return func(p *poolBalancer, share func(int, [mustardramp.RankCount]time.Duration)) {
		var broadcast func()
		broadcast = func() {
			for i := range p.cores {
				share(i, p.waits(i))
				p.broadcasts++
			}
			if p.clock.Elapsed() < p.until {
				p.clock.After(interval, broadcast)
			}
		}
		p.clock.After(interval, broadcast)
	}
}

func (p *poolBalancer) waits(core int) (waits [mustardramp.RankCount]time.Duration) {
	for _, r := range mustardramp.Ranks() {
		waits[r] = p.cores[core].ExpectedWait(r)
	}
	return waits
}

// reportedWait is the wait by rank that a core reported, and when it did.
type reportedWait struct {
	wait [mustardramp.RankCount]float64
	at   [mustardramp.RankCount]time.Duration
}

// distanceWeights multiply the waits at cores by their distance.
var distanceWeights = [distanceCount]float64{1, 3, 10}

// static divides the slots among the hosts permanently. A host without a slot
// uses one slot of a backend that others use too.
func static(f *fleet) balancer {
	p := &poolBalancer{fleet: f, tickets: map[*Ticket]func(){}, places: f.hosts, pick: func(r *request) int { return r.host }}
	owned := make([]map[int]mustardramp.Slots, len(f.hosts))
	for i := range owned {
		owned[i] = map[int]mustardramp.Slots{}
	}
	nextOwner := 0
	for b, s := range f.standings {
		for range s.Backend.Slots {
			owned[nextOwner%len(owned)][b]++
			nextOwner++
		}
	}
	for ; nextOwner < len(owned); nextOwner++ {
		owned[nextOwner][nextOwner%len(f.standings)]++
	}
	for i, place := range f.hosts {
		var own []mustardramp.Standing
		for b, s := range f.standings {
			s.Backend.Slots = owned[i][b]
			if s.Backend.Slots > 0 {
				own = append(own, s)
			}
		}
		p.cores = append(p.cores, p.newCore(i, place, nil, own))
	}
	return p
}

// threshold is the adaptive threshold of Hwang and Xu with the global minimum
// load (GML). In every window all hosts receive the loads of all backends. A
// host keeps to a backend of its zone while the load of that backend is at most
// a tenth above the mean, and otherwise takes the least loaded one of its
// table.
func threshold(window time.Duration) func(f *fleet) balancer {
	return func(f *fleet) balancer {
		const alpha = 0.1
		table := make([][]float64, len(f.hosts))
		for h := range table {
			table[h] = make([]float64, len(f.backends))
		}
		limit := 0.0
		var update func()
		update = func() {
			sum := 0.0
			for _, b := range f.backends {
				sum += float64(b.Busy())
			}
			limit = math.Ceil((1 + alpha) * sum / float64(len(f.backends)))
			for h := range table {
				for i, b := range f.backends {
					table[h][i] = float64(b.Busy())
				}
			}
			if f.clock.Elapsed() < f.until {
				f.clock.After(window, update)
			}
		}
		f.clock.After(0, update)
		return &directBalancer{fleet: f, choose: func(r *request) int {
			best, near := 0, -1
			own := table[r.host]
			for i := range own {
				if own[i] < own[best] {
					best = i
				}
				if f.standings[i].Backend.Place == f.hosts[r.host] && (near < 0 || own[i] < own[near]) {
					near = i
				}
			}
			if near >= 0 && own[near] < limit {
				best = near
			}
			own[best]++
			return best
		}}
	}
}

// local gives each host its own core.
func local(f *fleet, strategy Strategy) balancer {
	p := &poolBalancer{fleet: f, tickets: map[*Ticket]func(){}, places: f.hosts, pick: func(r *request) int { return r.host }}
	for i, place := range f.hosts {
		p.cores = append(p.cores, p.newCore(i, place, strategy, f.standings))
	}
	return p
}

func (p *poolBalancer) newCore(seed int, place mustardramp.Place, strategy Strategy, standings []mustardramp.Standing) *Core {
	c := NewCore(Config{Terms: p.terms, Place: place, Seed: uint64(seed), Strategy: strategy})
	c.onSettled = p.settled
	c.Update(p.clock.Now(), standings)
	return c
}

// keepers puts the backends of each zone under one core in that zone. A host
// asks the core with the shortest expected wait, based on the waits last
// reported to it.
func keepers(f *fleet, proxied bool, broadcast waitBroadcast) balancer {
	p := &poolBalancer{fleet: f, tickets: map[*Ticket]func(){}, places: fleetPlaces, proxied: proxied}
	byZone := make([][]mustardramp.Standing, len(fleetPlaces))
	for _, s := range f.standings {
		z := slices.Index(fleetPlaces, s.Backend.Place)
		byZone[z] = append(byZone[z], s)
	}
	for z, place := range fleetPlaces {
		p.cores = append(p.cores, p.newCore(z, place, LeastFilled{}, byZone[z]))
	}
	known := make([][]reportedWait, len(f.hosts))
	for h := range known {
		known[h] = make([]reportedWait, len(p.cores))
	}
	p.onAnswer = func(r *request, core int) {
		t := &known[r.host][core]
		t.wait[r.demand.Rank] = p.cores[core].ExpectedWait(r.demand.Rank).Seconds()
		t.at[r.demand.Rank] = f.clock.Elapsed()
	}
	share := func(core int, waits [mustardramp.RankCount]time.Duration) {
		for h := range known {
			for rank, wait := range waits {
				known[h][core].wait[rank], known[h][core].at[rank] = wait.Seconds(), f.clock.Elapsed()
			}
		}
	}
	if broadcast != nil {
		broadcast(p, share)
	}
	p.pick = func(r *request) int {
		best, least := 0, 0.0
		for i := range p.cores {
			t := &known[r.host][i]
			d := f.hosts[r.host].To(p.places[i])
			age := (f.clock.Elapsed() - t.at[r.demand.Rank]).Seconds()
			wait := max(0, t.wait[r.demand.Rank]-age)*distanceWeights[d] + distancePenalty*oneWayDelay(f.hosts[r.host], p.places[i]).Seconds()
			if i == 0 || wait < least {
				best, least = i, wait
			}
		}
		return best
	}
	return p
}
