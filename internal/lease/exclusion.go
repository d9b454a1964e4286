package lease

import (
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/mustardramp/mustardramp"
)

// unreachablePeriod is how long this host excludes a backend that it failed to
// dial. Other hosts may still use it.
const unreachablePeriod = 2 * time.Second

// forgetExclusionAfter is how long an exclusion is kept for a backend that is not in
// the plan. Requests that were sent to it may still be in flight.
const forgetExclusionAfter = time.Minute

// exclusion is why this host must not use a backend that other hosts may use.
type exclusion struct {
	// incarnation is the one that the exclusion is about. A later one is not
	// excluded.
	incarnation mustardramp.Incarnation
	// unreachableUntil is the time until which the backend counts as unreachable
	// after a failed dial, or zero.
	unreachableUntil time.Time
	// quietUntil is the time until which the backend wants no requests of this
	// host, or zero.
	quietUntil time.Time
	// leaving is true once the backend has stated that it is leaving.
	leaving bool
	// departed is true while the backend is no longer listed as serving at this host.
	// A keeper that has not heard of it may still grant its slots.
	departed bool
	// notedAt is when the backend stated leaving or quietUntil, or zero.
	notedAt time.Time
	// changedAt is when the exclusion was last changed.
	changedAt time.Time
}

// declinesRequests reports whether the backend itself wants no requests of this host.
func (e *exclusion) declinesRequests(now time.Time) bool {
	return e.leaving || now.Before(e.quietUntil)
}

// isWithdrawn reports whether slots of the backend that were granted before must not be
// used.
func (e *exclusion) isWithdrawn(now time.Time) bool {
	return e.departed || e.declinesRequests(now)
}

// isActive reports whether this host must not use the backend.
func (e *exclusion) isActive(now time.Time) bool {
	return e.isWithdrawn(now) || now.Before(e.unreachableUntil)
}

// exclusions holds the exclusions of one service. Readers load the map through an
// atomic pointer and must not change it; mu serializes writers. The zero value is
// empty.
type exclusions struct {
	mu   sync.Mutex
	byID atomic.Pointer[map[mustardramp.BackendID]exclusion]
}

// all returns the current map, which is nil if it was never changed.
func (x *exclusions) all() map[mustardramp.BackendID]exclusion {
	if m := x.byID.Load(); m != nil {
		return *m
	}
	return nil
}

// find returns the exclusion of a backend's incarnation.
func (x *exclusions) find(b *mustardramp.Backend) (exclusion, bool) {
	e, ok := x.all()[b.ID]
	return e, ok && e.incarnation == b.Incarnation
}

// update changes the exclusion of a backend's incarnation. An older incarnation than
// the known one is ignored.
func (x *exclusions) update(now time.Time, b *mustardramp.Backend, change func(*exclusion)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	e := x.all()[b.ID]
	if e.incarnation > b.Incarnation {
		return
	}
	if e.incarnation != b.Incarnation {
		e = exclusion{incarnation: b.Incarnation}
	}
	e.changedAt = now
	change(&e)
	next := maps.Clone(x.all())
	if next == nil {
		next = map[mustardramp.BackendID]exclusion{}
	}
	next[b.ID] = e
	x.byID.Store(&next)
}

// prune removes the exclusions that have ended or that a later incarnation in the
// standings replaces.
func (x *exclusions) prune(now time.Time, standings []mustardramp.Standing) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(x.all()) == 0 {
		return
	}
	listed := backendsByID(standings)
	next := make(map[mustardramp.BackendID]exclusion, len(x.all()))
	for id, e := range x.all() {
		b := listed[id]
		e.departed = e.departed && !isServing(b, e.incarnation)
		isReplaced := b != nil && b.Incarnation > e.incarnation
		isForgotten := b == nil && now.Sub(e.changedAt) > forgetExclusionAfter
		if e.isActive(now) && !isReplaced && !isForgotten {
			next[id] = e
		}
	}
	x.byID.Store(&next)
}

// noteDepartures excludes the backends that were listed as serving and no longer are.
func (x *exclusions) noteDepartures(now time.Time, before, after []mustardramp.Standing) {
	listed := backendsByID(after)
	for i := range before {
		b := &before[i].Backend
		if isServing(b, b.Incarnation) && !isServing(listed[b.ID], b.Incarnation) {
			x.update(now, b, func(e *exclusion) { e.departed = true })
		}
	}
}

// backendsByID returns the backends of the standings by their id.
func backendsByID(standings []mustardramp.Standing) map[mustardramp.BackendID]*mustardramp.Backend {
	byID := make(map[mustardramp.BackendID]*mustardramp.Backend, len(standings))
	for i := range standings {
		byID[standings[i].Backend.ID] = &standings[i].Backend
	}
	return byID
}

// isServing reports whether an incarnation of a backend takes new requests. The backend
// is nil if it is not listed.
func isServing(b *mustardramp.Backend, incarnation mustardramp.Incarnation) bool {
	return b != nil && b.Incarnation == incarnation && b.State < mustardramp.Leaving
}

// recordReachability records from the result of an attempt whether this host can
// reach the backend.
func (p *Pool) recordReachability(b *mustardramp.Backend, result mustardramp.Result) {
	now := p.clock.Now()
	switch result {
	case mustardramp.ResultDial:
		p.exclusions.update(now, b, func(e *exclusion) { e.unreachableUntil = now.Add(unreachablePeriod) })
	case mustardramp.ResultSuccess:
		if e, ok := p.exclusions.find(b); ok && now.Before(e.unreachableUntil) {
			p.exclusions.update(now, b, func(e *exclusion) { e.unreachableUntil = time.Time{} })
		}
	}
}

// note excludes a backend as it asked for in an answer. If that was the last usable
// backend of its group, the requests that wait there are given up.
func (p *Pool) note(b *mustardramp.Backend, n mustardramp.Notice) {
	now := p.clock.Now()
	p.exclusions.update(now, b, func(e *exclusion) {
		if n.Leaving && !e.leaving {
			e.leaving, e.notedAt = true, now
			p.noticeCounts.Left.Add(1)
			klog.InfoS("backend-left-alone", "service", p.Service(), "backend", b.Address, "incarnation", b.Incarnation, "cause", "leaving")
		}
		until := now.Add(n.Quiet)
		if n.Quiet > 0 && until.After(e.quietUntil) {
			if !now.Before(e.quietUntil) {
				klog.InfoS("backend-left-alone", "service", p.Service(), "backend", b.Address, "incarnation", b.Incarnation,
					"cause", "quiet", "ms", n.Quiet.Milliseconds())
			}
			e.quietUntil, e.notedAt = until, now
			p.noticeCounts.Quieted.Add(1)
		}
	})
	plan := p.plan.Load()
	if g := plan.byID[plan.groupOf[b.ID]]; g != nil && p.isWithdrawnGroup(g, now) {
		p.waiting.cancelGroup(g.id)
	}
}

// isWithdrawn reports whether a backend wants no requests of this host, or no longer
// serves as far as this host knows.
func (p *Pool) isWithdrawn(b *mustardramp.Backend) bool {
	e, ok := p.exclusions.find(b)
	return ok && e.isWithdrawn(p.clock.Now()) || p.hasDeparted(*b)
}

// hasDeparted reports whether this host knows that a backend has left.
func (p *Pool) hasDeparted(b mustardramp.Backend) bool {
	return p.config.HasDeparted != nil && p.config.HasDeparted(b)
}

// excludeDeparted excludes a backend that has left, so that its keeper does not grant
// its slots again.
func (p *Pool) excludeDeparted(b mustardramp.Backend) {
	if p.hasDeparted(b) {
		p.exclusions.update(p.clock.Now(), &b, func(e *exclusion) { e.departed = true })
	}
}

// excludedBackends returns the backends of the group that this host must not use. A
// backend that only the keeper knows yet may belong to any group.
func (p *Pool) excludedBackends(g *group) []mustardramp.BackendID {
	out := slices.Clip(slices.Clone(g.excluded))
	now := p.clock.Now()
	groupOf := p.plan.Load().groupOf
	for id, e := range p.exclusions.all() {
		known, ok := groupOf[id]
		isElsewhere := ok && known != g.id
		if !isElsewhere && e.isActive(now) && !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	return out
}

// isWithdrawnGroup reports whether all usable backends of a group want no requests of
// this host.
func (p *Pool) isWithdrawnGroup(g *group, now time.Time) bool {
	all := p.exclusions.all()
	if len(all) < g.usable || g.usable == 0 {
		return false
	}
	for i := range g.standings {
		s := &g.standings[i]
		if !s.Usable() {
			continue
		}
		e, ok := all[s.Backend.ID]
		if !ok || e.incarnation != s.Backend.Incarnation || !e.isWithdrawn(now) {
			return false
		}
	}
	return true
}

// quietRemaining returns the time until the first usable backend accepts requests of
// this host again, or 0 if none of them is quiet.
func (p *Pool) quietRemaining(now time.Time) time.Duration {
	var earliest time.Duration
	for _, g := range p.plan.Load().groups {
		for i := range g.standings {
			e, ok := p.exclusions.find(&g.standings[i].Backend)
			if !ok || e.leaving || !g.standings[i].Usable() || !now.Before(e.quietUntil) {
				continue
			}
			if remaining := e.quietUntil.Sub(now); earliest == 0 || remaining < earliest {
				earliest = remaining
			}
		}
	}
	return earliest
}

// quietSpread is the part of the remaining time by which the times differ after
// which callers are told to return.
const quietSpread = 0.3

// withdrawnDenial returns the denial of a demand while all usable backends of the
// service want no requests of this host and one of them is only quiet. It returns
// nil at any other time. draw returns a random number from 0 to 1.
func (p *Pool) withdrawnDenial(draw func() float64) *mustardramp.Denial {
	now := p.clock.Now()
	for _, g := range p.plan.Load().groups {
		if g.usable > 0 && !p.isWithdrawnGroup(g, now) {
			return nil
		}
	}
	remaining := p.quietRemaining(now)
	if remaining == 0 {
		return nil
	}
	spread := 1 + quietSpread*draw()
	return &mustardramp.Denial{
		Kind:       mustardramp.KindQuiet,
		Reason:     "Every usable backend of the service asked this host to send no requests for now.",
		Facts:      []mustardramp.Fact{{Name: "remaining", Value: strconv.FormatInt(remaining.Milliseconds(), 10) + "ms"}},
		RetryAfter: time.Duration(float64(remaining) * spread),
	}
}

// NoticeCounts counts what backends stated to this host in answers since its start.
type NoticeCounts struct {
	// Left counts the incarnations that stated that they are leaving.
	Left atomic.Int64
	// Quieted counts the requests for a quiet time that extended the former one.
	Quieted atomic.Int64
}

// NoticeCounts returns the counters of the service.
func (p *Pool) NoticeCounts() *NoticeCounts {
	return &p.noticeCounts
}

// Exclusion describes to operators why this host leaves a backend alone.
type Exclusion struct {
	Backend     mustardramp.BackendID
	Incarnation mustardramp.Incarnation
	// Leaving is true if the backend stated in an answer that it is leaving.
	Leaving bool
	// Quiet is how long the backend still wants no requests of this host, or 0.
	Quiet time.Duration
	// Age is the time since the backend stated this.
	Age time.Duration
}

// Exclusions lists the backends that want no requests of this host, in no order.
func (p *Pool) Exclusions() []Exclusion {
	now := p.clock.Now()
	var out []Exclusion
	for id, e := range p.exclusions.all() {
		if e.declinesRequests(now) {
			out = append(out, Exclusion{Backend: id, Incarnation: e.incarnation, Leaving: e.leaving, Quiet: max(0, e.quietUntil.Sub(now)), Age: now.Sub(e.notedAt)})
		}
	}
	return out
}

// Service returns the name of the pool's service.
func (p *Pool) Service() mustardramp.ServiceName {
	return p.config.Pool.Terms.Service
}
