package lease

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/mustardramp/mustardramp"
)

// distanceWaitFactors holds, by distance, the factor of the expected wait at a
// group. Under overload all queues are long, and the slot of a remote lease is idle
// while messages are in transit.
var distanceWaitFactors = [...]float64{mustardramp.SameZone: 1, mustardramp.SameRegion: 3, mustardramp.AcrossRegions: 10}

// distancePenalties holds, by distance, the additional wait up to which a group of
// the same zone is preferred.
var distancePenalties = [...]time.Duration{
	mustardramp.SameZone:      0,
	mustardramp.SameRegion:    9 * time.Millisecond,
	mustardramp.AcrossRegions: 48 * time.Millisecond,
}

// bytesPerPenalty is the body size that adds another distance penalty.
const bytesPerPenalty = 2 << 10

// distancePenalty returns the distance penalty of a request in nanoseconds. It
// grows with the body size, since long bodies load the link between regions.
func distancePenalty(d mustardramp.Distance, size mustardramp.Bytes) float64 {
	return float64(distancePenalties[d]) * (1 + float64(max(0, size))/bytesPerPenalty)
}

// groupWaits holds what the keeper of a group reported: the waits by rank and the
// free slots.
type groupWaits struct {
	ranks [mustardramp.RankCount]rankWait
	room  statedRoom
}

// rankWait is the reported wait of one rank.
type rankWait struct {
	// wait is in nanoseconds.
	wait atomic.Int64
	// reportedAt is the time of the report in Unix nanoseconds.
	reportedAt atomic.Int64
}

// recordWait stores the wait that a group's keeper reported for a rank.
func (p *Pool) recordWait(id GroupID, rank mustardramp.Rank, wait time.Duration) {
	s := &p.groupWaits(id).ranks[rank]
	s.wait.Store(int64(wait))
	s.reportedAt.Store(p.clock.Now().UnixNano())
}

// groupWaits returns what is known of a group, which it creates at the first use.
func (p *Pool) groupWaits(id GroupID) *groupWaits {
	value, ok := p.waits.Load(id)
	if !ok {
		value, _ = p.waits.LoadOrStore(id, &groupWaits{})
	}
	return value.(*groupWaits)
}

// expectedWait returns a lower bound, in nanoseconds, of the wait of a rank at a
// group, or 0 when no wait is known. The time now is in Unix nanoseconds.
func (p *Pool) expectedWait(id GroupID, rank mustardramp.Rank, now int64) float64 {
	value, ok := p.waits.Load(id)
	if !ok {
		return 0
	}
	s := &value.(*groupWaits).ranks[rank]
	wait := s.wait.Load()
	if wait == 0 {
		return 0
	}
	// A queue's wait decreases no faster than time passes.
	return max(0, float64(wait-(now-s.reportedAt.Load())))
}

// choose returns a group where the demand is expected to start soonest, or nil
// when no group can take it.
func (p *Pool) choose(demand *mustardramp.Demand, skip map[GroupID]bool) *group {
	now := p.clock.Now()
	groups := p.plan.Load().groups
	// Each wait is read only once, since waits change concurrently.
	var buffer [groupBuffer]float64
	costs, maxCost := p.costs(groups, buffer[:0], demand, skip, now)
	if math.IsInf(maxCost, 1) {
		return nil
	}
	best := p.pickWeighted(groups, costs, maxCost, now)
	if !p.allowCrossing(best, demand, now) {
		return p.chooseInRegion(demand, skip)
	}
	return best
}

// costs returns the cost of each group, appended to costs, and the cost up to which
// groups count as equal to the cheapest one. The latter is infinity when no group can
// take the demand.
func (p *Pool) costs(groups []*group, costs []float64, demand *mustardramp.Demand, skip map[GroupID]bool, now time.Time) (all []float64, maxCost float64) {
	minCost := math.Inf(1)
	for _, g := range groups {
		cost := p.cost(g, demand, skip, now.UnixNano())
		costs = append(costs, cost)
		minCost = min(minCost, cost)
	}
	return costs, minCost + float64(minWaitError)
}

// cost returns the expected delay of a demand at a group in nanoseconds, or
// infinity when the group is skipped or can't serve the demand. The time at is in
// Unix nanoseconds.
func (p *Pool) cost(g *group, demand *mustardramp.Demand, skip map[GroupID]bool, at int64) float64 {
	if skip[g.id] || !g.canServe(demand) || p.isWithdrawnGroup(g, time.Unix(0, at)) {
		return math.Inf(1)
	}
	d := p.config.Pool.Place.To(g.place)
	return p.expectedWait(g.id, demand.Rank, at)*distanceWaitFactors[d] + distancePenalty(d, demand.Size)
}

// pickWeighted returns a random group among those that cost at most maxCost,
// weighted by their room. In a large service most groups report no wait, so that
// without the random choice all hosts would send all requests to the keeper that
// comes first in the plan.
func (p *Pool) pickWeighted(groups []*group, costs []float64, maxCost float64, now time.Time) *group {
	var buffer [groupBuffer]float64
	weights, total := p.roomWeights(groups, buffer[:0], now), 0.0
	for i := range groups {
		if costs[i] <= maxCost {
			total += weights[i]
		}
	}
	// The upper 53 bits of the random number give a number from 0 to below 1.
	offset := float64(mix(p.config.Pool.Seed+p.draws.Add(1))>>11) / (1 << 53) * total
	var picked *group
	for i, g := range groups {
		if costs[i] > maxCost {
			continue
		}
		picked = g
		if offset -= weights[i]; offset < 0 {
			break
		}
	}
	p.recordAge(picked, now)
	return picked
}

// groupBuffer is the number of groups up to which a choice needs no allocation.
const groupBuffer = 16

// weight returns the number of the group's slots, but at least 1, so that a group
// whose backends are all on trial can be picked.
func (g *group) weight() int {
	return max(1, int(g.slots))
}

// chooseInRegion chooses among the groups of this host's region.
func (p *Pool) chooseInRegion(demand *mustardramp.Demand, skip map[GroupID]bool) *group {
	groups := p.plan.Load().groups
	excluded := p.excludeCrossing(groups, skip)
	if len(excluded) == len(groups) {
		return nil
	}
	return p.choose(demand, excluded)
}

// excludeCrossing returns the groups to skip and those of other regions.
func (p *Pool) excludeCrossing(groups []*group, skip map[GroupID]bool) map[GroupID]bool {
	excluded := map[GroupID]bool{}
	for _, g := range groups {
		if p.config.Pool.Place.To(g.place) == mustardramp.AcrossRegions || skip[g.id] {
			excluded[g.id] = true
		}
	}
	return excluded
}

// allowCrossing reports whether the demand may go to the group. A demand for
// another region is charged to the link between the regions and is allowed only
// while its rank has link capacity left.
func (p *Pool) allowCrossing(g *group, demand *mustardramp.Demand, now time.Time) bool {
	if p.config.Pool.Link == nil || p.config.Pool.Place.To(g.place) != mustardramp.AcrossRegions {
		return true
	}
	return p.config.Pool.Link.Allow(demand.Rank, demand.Size, now)
}

// canServe reports whether the group has a backend for the demand. Idempotent bulk
// work may use backends on trial.
func (g *group) canServe(demand *mustardramp.Demand) bool {
	if g.usable > 0 {
		return true
	}
	return demand.Idempotent && demand.Rank == mustardramp.Bulk && len(g.excluded) < len(g.standings)
}
