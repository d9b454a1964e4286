package lease

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/mustardramp/mustardramp"
)

// reluctance weighs the waits at groups that are further away: in a flood all
// queues are long, and a lease far away leaves its slot idle on the way.
var reluctance = [...]float64{mustardramp.SameZone: 1, mustardramp.SameRegion: 3, mustardramp.AcrossRegions: 10}

// detour is the wait that a nearer group is worth.
var detour = [...]time.Duration{
	mustardramp.SameZone:      0,
	mustardramp.SameRegion:    9 * time.Millisecond,
	mustardramp.AcrossRegions: 48 * time.Millisecond,
}

// bytesPerDetour is the length of a body from which its way is worth as much
// waiting as the way itself.
const bytesPerDetour = 2 << 10

// detourOf returns the wait that a nearer group is worth to a request. Long
// bodies are dear on the link between regions.
func detourOf(d mustardramp.Distance, size mustardramp.Bytes) float64 {
	return float64(detour[d]) * (1 + float64(max(0, size))/bytesPerDetour)
}

// stated is what a keeper said of the wait in its queue.
type stated struct {
	ranks [mustardramp.RankCount]statement
}

type statement struct {
	wait atomic.Int64
	// at is the time in Unix nanoseconds.
	at atomic.Int64
}

// note keeps a keeper's word on its queue.
func (p *Pool) note(id GroupID, rank mustardramp.Rank, wait time.Duration) {
	value, ok := p.waits.Load(id)
	if !ok {
		value, _ = p.waits.LoadOrStore(id, &stated{})
	}
	s := &value.(*stated).ranks[rank]
	s.wait.Store(int64(wait))
	s.at.Store(p.clock.Now().UnixNano())
}

// expected returns the least wait of a rank at a group, as far as is known.
func (p *Pool) expected(id GroupID, rank mustardramp.Rank, now int64) float64 {
	value, ok := p.waits.Load(id)
	if !ok {
		return 0
	}
	s := &value.(*stated).ranks[rank]
	wait := s.wait.Load()
	if wait == 0 {
		return 0
	}
	// A queue shrinks no faster than time passes.
	return max(0, float64(wait-(now-s.at.Load())))
}

// choose returns a group where the demand is expected to start soonest, or nil.
func (p *Pool) choose(demand *mustardramp.Demand, skip map[GroupID]bool) *group {
	now := p.clock.Now()
	groups := p.plan.Load().groups
	// Waits change meanwhile: each is looked at once.
	costs := make([]float64, len(groups))
	least := math.Inf(1)
	for i, g := range groups {
		costs[i] = p.cost(g, demand, skip, now.UnixNano())
		least = min(least, costs[i])
	}
	if math.IsInf(least, 1) {
		return nil
	}
	best := p.draw(groups, costs, least+float64(leastError))
	if !p.mayCross(best, demand, now) {
		return p.chooseNear(demand, skip)
	}
	return best
}

// cost returns the time that a demand is expected to lose at a group, or
// infinity where the demand may not go.
func (p *Pool) cost(g *group, demand *mustardramp.Demand, skip map[GroupID]bool, at int64) float64 {
	if skip[g.id] || !g.fits(demand) {
		return math.Inf(1)
	}
	d := p.config.Pool.Place.To(g.place)
	return p.expected(g.id, demand.Rank, at)*reluctance[d] + detourOf(d, demand.Size)
}

// draw picks one of the groups that cost no more than most, by the number of
// their slots. It answers the load of a large service: most waits are told as
// none, and the keeper that every host names first would have all the asks.
func (p *Pool) draw(groups []*group, costs []float64, most float64) *group {
	total := 0
	for i, g := range groups {
		if costs[i] <= most {
			total += g.weight()
		}
	}
	roll := int(mix(p.config.Pool.Seed+p.rolls.Add(1)) % uint64(total))
	var drawn *group
	for i, g := range groups {
		if costs[i] > most {
			continue
		}
		drawn = g
		if roll -= g.weight(); roll < 0 {
			break
		}
	}
	return drawn
}

// weight is at least 1, so that a group on trial alone can be drawn.
func (g *group) weight() int {
	return max(1, int(g.slots))
}

// chooseNear chooses among the groups of this host's region.
func (p *Pool) chooseNear(demand *mustardramp.Demand, skip map[GroupID]bool) *group {
	near := map[GroupID]bool{}
	for _, g := range p.plan.Load().groups {
		if p.config.Pool.Place.To(g.place) == mustardramp.AcrossRegions || skip[g.id] {
			near[g.id] = true
		}
	}
	if len(near) == len(p.plan.Load().groups) {
		return nil
	}
	return p.choose(demand, near)
}

// mayCross books the bytes of a request that would cross the narrow link.
func (p *Pool) mayCross(g *group, demand *mustardramp.Demand, now time.Time) bool {
	if p.config.Pool.Link == nil || p.config.Pool.Place.To(g.place) != mustardramp.AcrossRegions {
		return true
	}
	return p.config.Pool.Link.Allow(demand.Rank, demand.Size, now)
}

// fits reports whether the group has a backend for the demand.
func (g *group) fits(demand *mustardramp.Demand) bool {
	if g.usable > 0 {
		return true
	}
	return demand.Idempotent && demand.Rank == mustardramp.Bulk && len(g.shunned) < len(g.standings)
}
