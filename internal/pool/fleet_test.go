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

// The sizes and times of the measurements. Work is drawn from an exponential
// distribution.
const (
	meanWork    = 100 * time.Millisecond
	zoneDelay   = 200 * time.Microsecond
	regionDelay = 1500 * time.Microsecond
	farDelay    = 8 * time.Millisecond
	mostTries   = 3
	// farPenalty is the number of ways between a host and a core that count
	// against the core.
	farPenalty = 6
	fleetSeed  = 9165
)

var fleetPlaces = []mustardramp.Place{
	kolA, kolB, silA, {Zone: "sil-b", Region: "siliguri"},
}

func delay(a, b mustardramp.Place) time.Duration {
	return [...]time.Duration{zoneDelay, regionDelay, farDelay}[a.To(b)]
}

// fleet is a set of hosts before the backends of one service.
type fleet struct {
	clock     slotfake.Clock
	source    *slotfake.Source
	hosts     []mustardramp.Place
	backends  []*slotfake.Backend
	standings []mustardramp.Standing
	budgets   []*retry.Budget
	// hedges are nil when work is not hedged.
	hedges []*retry.Hedge
	hedged int
	// fifo puts all work into one rank.
	fifo  bool
	terms Terms
	// until is when arrivals stop; from is when counting starts.
	from, until time.Duration
	tally       [mustardramp.RankCount]outcome
	sheds       int
	// work is the slot time used while requests were counted, and done the
	// part of it that served a rank.
	work     time.Duration
	done     [mustardramp.RankCount]time.Duration
	attempts int
	failures int
}

// outcome counts the requests of one rank that arrived in the counted time.
type outcome struct {
	offered, served int
	waits           []time.Duration
	denied          map[mustardramp.RefusalKind]int
}

type size struct {
	hosts, backends, slots int
}

func newFleet(s size, seed uint64) *fleet {
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

// request is one call of a caller.
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

// way is one way to bring requests to backends.
type way interface {
	offer(r *request)
}

// load adds arrivals of a rank at all hosts.
func (f *fleet) load(w way, rank mustardramp.Rank, rate float64, from, until time.Duration, deadline time.Duration) {
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
	before := f.used()
	f.clock.Run(f.until)
	f.work = f.used() - before
	f.clock.Run(f.until + time.Minute)
}

func (f *fleet) used() (used time.Duration) {
	for _, b := range f.backends {
		used += b.Used()
	}
	return used
}

// again reports whether a shed request may be sent once more.
func (f *fleet) again(r *request) bool {
	return r.tries < mostTries && f.clock.Now().Before(r.demand.Deadline) && f.budgets[r.host].Allow(r.demand.Rank, f.clock.Now())
}

// send carries one attempt to a backend and its answer back.
func (f *fleet) send(r *request, from mustardramp.Place, b int, done func(mustardramp.Result)) {
	r.tries++
	if r.counted {
		f.attempts++
	}
	if r.tries == 1 {
		f.budgets[r.host].Fresh(r.demand.Rank, f.clock.Now())
	}
	way := delay(from, f.standings[b].Backend.Place)
	f.clock.After(way, func() {
		f.backends[b].Serve(r.work, func(a slotfake.Answer) {
			result := [...]mustardramp.Result{mustardramp.ResultGood, mustardramp.ResultShed, mustardramp.ResultError}[a]
			f.clock.After(way, func() {
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
		f.done[r.rank] += r.work
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

func (o *outcome) share() float64 {
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

// use returns the share of slot time used while requests were counted.
func (f *fleet) use() float64 {
	return f.work.Seconds() / f.slotTime()
}

// useOf returns the share of slot time that served a rank.
func (f *fleet) useOf(rank mustardramp.Rank) float64 {
	return f.done[rank].Seconds() / f.slotTime()
}

func (f *fleet) slotTime() float64 {
	slots := 0
	for _, b := range f.backends {
		slots += b.Slots
	}
	return float64(slots) * (f.until - f.from).Seconds()
}

// unaware sends each request at once to a backend that choose names.
type unaware struct {
	*fleet
	choose func(r *request) int
	ended  func(r *request, b int)
}

func (u *unaware) offer(r *request) {
	b := u.choose(r)
	u.send(r, u.hosts[r.host], b, func(result mustardramp.Result) {
		if u.ended != nil {
			u.ended(r, b)
		}
		if result == mustardramp.ResultGood {
			u.served(r)
			return
		}
		if u.again(r) {
			u.offer(r)
			return
		}
		u.denied(r, mustardramp.KindShed)
	})
}

func roundRobin(f *fleet) way {
	turn := make([]int, len(f.hosts))
	for i := range turn {
		turn[i] = f.source.Intn(len(f.backends))
	}
	return &unaware{fleet: f, choose: func(r *request) int {
		turn[r.host]++
		return turn[r.host] % len(f.backends)
	}}
}

func random(f *fleet) way {
	return &unaware{fleet: f, choose: func(*request) int { return f.source.Intn(len(f.backends)) }}
}

// leastInFlight counts at each host alone and ignores places.
func leastInFlight(f *fleet) way {
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
	return &unaware{fleet: f, choose: choose, ended: func(r *request, b int) { inFlight[r.host][b]-- }}
}

// pooled asks a Core before each attempt; several hosts may share one.
type pooled struct {
	*fleet
	cores  []*Core
	places []mustardramp.Place
	// pick returns the core for a request.
	pick func(r *request) int
	// hear takes in the state that a core's answer brings to a host.
	hear func(r *request, core int)
	// told counts the statements of waits to all hosts.
	told    int
	tickets map[*Ticket]func()
	// carried attempts leave from the core's place, others from the host's
	// once the lease has come back to it.
	carried bool
}

func (p *pooled) offer(r *request) {
	i := p.pick(r)
	p.clock.After(p.hop(r, i), func() { p.ask(r, i) })
}

// hop is the way between the request's host and a core; it is nothing when
// each host has its own.
func (p *pooled) hop(r *request, core int) time.Duration {
	if len(p.cores) == len(p.hosts) {
		return 0
	}
	return delay(p.hosts[r.host], p.places[core])
}

func (p *pooled) ask(r *request, core int) {
	lease, ticket, denial := p.cores[core].Offer(p.clock.Now(), r.demand)
	if denial != nil {
		p.turnAway(r, core, denial.Kind)
		return
	}
	if lease.Valid() {
		p.dispatch(r, core, lease)
		return
	}
	p.watch(r, core, ticket)
}

func (p *pooled) turnAway(r *request, core int, kind mustardramp.RefusalKind) {
	p.clock.After(p.hop(r, core), func() {
		p.tell(r, core)
		p.denied(r, kind)
	})
}

func (p *pooled) tell(r *request, core int) {
	if p.hear != nil {
		p.hear(r, core)
	}
}

// watch stands in for the goroutine that waits.
func (p *pooled) watch(r *request, core int, t *Ticket) {
	p.tickets[t] = func() {
		delete(p.tickets, t)
		lease, denial, _ := p.cores[core].Settled(t)
		if denial != nil {
			p.turnAway(r, core, denial.Kind)
			return
		}
		p.dispatch(r, core, lease)
	}
	p.nap(core, t)
}

// nap looks at a ticket again when it expires or a hold ends.
func (p *pooled) nap(core int, t *Ticket) {
	now := p.clock.Now()
	until := t.Expiry()
	if at, held := p.cores[core].Release(now); held && at.Before(until) {
		until = at
	}
	p.clock.After(max(until.Sub(now), time.Millisecond), func() {
		if p.tickets[t] == nil {
			return
		}
		p.cores[core].Expire(p.clock.Now(), t)
		if p.tickets[t] != nil {
			p.nap(core, t)
		}
	})
}

// settled resumes the request of a ticket, after the core's event is over.
func (p *pooled) settled(t *Ticket) {
	p.clock.After(0, func() {
		if resume := p.tickets[t]; resume != nil {
			resume()
		}
	})
}

func (p *pooled) dispatch(r *request, core int, lease Lease) {
	id := lease.Backend().ID
	b := slices.IndexFunc(p.standings, func(s mustardramp.Standing) bool { return s.Backend.ID == id })
	from, back := p.places[core], time.Duration(0)
	if !p.carried {
		from, back = p.hosts[r.host], p.hop(r, core)
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

// hedge sends a first attempt a second time when its answer is late.
func (p *pooled) hedge(r *request, core int, id mustardramp.BackendID) {
	if p.hedges == nil || r.tries > 0 {
		return
	}
	h := p.hedges[r.host]
	late, ok := h.Delay(r.rank, r.demand.Idempotent)
	if !ok {
		return
	}
	p.clock.After(late, func() {
		if r.ended || !h.Start(r.rank, p.cores[core].Pressure(r.rank) > 0, p.clock.Now()) {
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
			p.hedged++
		}
		p.dispatch(r, core, lease)
	})
}

func (p *pooled) ended(r *request, core int, id mustardramp.BackendID, result mustardramp.Result) {
	p.tell(r, core)
	if r.ended {
		return
	}
	if p.hedges != nil && result == mustardramp.ResultGood {
		p.hedges[r.host].Learn(r.rank, p.clock.Elapsed()-r.arrived)
	}
	switch {
	case result == mustardramp.ResultGood && p.carried:
		r.ended = true
		p.clock.After(p.hop(r, core), func() { p.served(r) })
	case result == mustardramp.ResultGood:
		p.served(r)
	case p.again(r):
		r.demand.Tried = append(r.demand.Tried, id)
		p.ask(r, core)
	default:
		p.denied(r, mustardramp.KindShed)
	}
}

// telling spreads the waits at cores to all hosts.
type telling func(p *pooled, share func(core int, waits [mustardramp.RankCount]time.Duration))

// every tells all waits at fixed intervals.
func every(interval time.Duration) telling {
	return func(p *pooled, share func(int, [mustardramp.RankCount]time.Duration)) {
		var tell func()
		tell = func() {
			for i := range p.cores {
				share(i, p.waits(i))
				p.told++
			}
			if p.clock.Elapsed() < p.until {
				p.clock.After(interval, tell)
			}
		}
		p.clock.After(interval, tell)
	}
}

func (p *pooled) waits(core int) (waits [mustardramp.RankCount]time.Duration) {
	for _, r := range mustardramp.Ranks() {
		waits[r] = p.cores[core].Pressure(r)
	}
	return waits
}

// told is the wait by rank that a core stated, and when.
type told struct {
	wait [mustardramp.RankCount]float64
	at   [mustardramp.RankCount]time.Duration
}

// reluctance weighs the waits at cores that are further away.
var reluctance = [distances]float64{1, 3, 10}

// static divides the slots among the hosts for good; a host without any uses
// one slot of a backend that others use too.
func static(f *fleet) way {
	p := &pooled{fleet: f, tickets: map[*Ticket]func(){}, places: f.hosts, pick: func(r *request) int { return r.host }}
	owned := make([]map[int]mustardramp.Slots, len(f.hosts))
	for i := range owned {
		owned[i] = map[int]mustardramp.Slots{}
	}
	turn := 0
	for b, s := range f.standings {
		for range s.Backend.Slots {
			owned[turn%len(owned)][b]++
			turn++
		}
	}
	for ; turn < len(owned); turn++ {
		owned[turn][turn%len(f.standings)]++
	}
	for i, place := range f.hosts {
		var own []mustardramp.Standing
		for b, s := range f.standings {
			s.Backend.Slots = owned[i][b]
			if s.Backend.Slots > 0 {
				own = append(own, s)
			}
		}
		p.cores = append(p.cores, p.core(i, place, nil, own))
	}
	return p
}

// threshold is the adaptive threshold of Hwang and Xu with the global minimum
// load (GML): every window all hosts get the loads of all backends; a host
// keeps to a backend of its zone while that load is at most a tenth above the
// mean, and takes the least loaded one of its table else.
func threshold(window time.Duration) func(f *fleet) way {
	return func(f *fleet) way {
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
		return &unaware{fleet: f, choose: func(r *request) int {
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

// local gives each host a core of its own.
func local(f *fleet, strategy Strategy) way {
	p := &pooled{fleet: f, tickets: map[*Ticket]func(){}, places: f.hosts, pick: func(r *request) int { return r.host }}
	for i, place := range f.hosts {
		p.cores = append(p.cores, p.core(i, place, strategy, f.standings))
	}
	return p
}

func (p *pooled) core(seed int, place mustardramp.Place, strategy Strategy, standings []mustardramp.Standing) *Core {
	c := NewCore(Config{Terms: p.terms, Place: place, Seed: uint64(seed), Strategy: strategy})
	c.wake = p.settled
	c.Update(p.clock.Now(), standings)
	return c
}

// keepers puts the backends of each zone under one core in that zone. A host
// asks the core with the least expected wait, as far as its last answer told.
func keepers(f *fleet, carried bool, news telling) way {
	p := &pooled{fleet: f, tickets: map[*Ticket]func(){}, places: fleetPlaces, carried: carried}
	byZone := make([][]mustardramp.Standing, len(fleetPlaces))
	for _, s := range f.standings {
		z := slices.Index(fleetPlaces, s.Backend.Place)
		byZone[z] = append(byZone[z], s)
	}
	for z, place := range fleetPlaces {
		p.cores = append(p.cores, p.core(z, place, LeastFilled{}, byZone[z]))
	}
	known := make([][]told, len(f.hosts))
	for h := range known {
		known[h] = make([]told, len(p.cores))
	}
	p.hear = func(r *request, core int) {
		t := &known[r.host][core]
		t.wait[r.demand.Rank] = p.cores[core].Pressure(r.demand.Rank).Seconds()
		t.at[r.demand.Rank] = f.clock.Elapsed()
	}
	share := func(core int, waits [mustardramp.RankCount]time.Duration) {
		for h := range known {
			for rank, wait := range waits {
				known[h][core].wait[rank], known[h][core].at[rank] = wait.Seconds(), f.clock.Elapsed()
			}
		}
	}
	if news != nil {
		news(p, share)
	}
	p.pick = func(r *request) int {
		best, least := 0, 0.0
		for i := range p.cores {
			t := &known[r.host][i]
			d := f.hosts[r.host].To(p.places[i])
			age := (f.clock.Elapsed() - t.at[r.demand.Rank]).Seconds()
			wait := max(0, t.wait[r.demand.Rank]-age)*reluctance[d] + farPenalty*delay(f.hosts[r.host], p.places[i]).Seconds()
			if i == 0 || wait < least {
				best, least = i, wait
			}
		}
		return best
	}
	return p
}
