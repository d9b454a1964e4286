package lease

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/pool"
)

// Explanation describes to operators what Acquire would do with a first attempt now.
type Explanation struct {
	// Groups lists all groups of the service in the order of the plan.
	Groups []GroupExplanation
	// Denial is set if no group would take the demand.
	Denial *mustardramp.Denial
}

// GroupExplanation describes one group of backends.
type GroupExplanation struct {
	ID       GroupID
	Distance mustardramp.Distance
	// Keeper is the host that would be asked for a slot. It may be this host.
	Keeper mustardramp.HostName
	// IsKeptHere is true if this host is the first keeper of the group, so that it knows
	// all attempts in flight there.
	IsKeptHere bool
	Slots      mustardramp.Slots
	// Wait is the wait of the rank that the choice among groups expects, and WaitAge the
	// age of the report. Both are only valid if IsWaitKnown is true.
	Wait, WaitAge time.Duration
	IsWaitKnown   bool
	// Free is the last statement of free slots less waiting requests, and FreeAge its
	// age. Both are only valid if IsFreeKnown is true. IsFreeTooOld is true if the
	// statement no longer counts in the choice.
	Free         int
	FreeAge      time.Duration
	IsFreeKnown  bool
	IsFreeTooOld bool
	// Weight is the weight in the random choice among equally good groups, and Share the
	// probability that the demand goes to the group first.
	Weight, Share float64
	// Excluded is why the demand does not go to the group, or empty.
	Excluded string
	// Local is what this host would decide if it grants the slots of the group itself.
	// It is nil if another host decides, or if the demand does not go to the group.
	Local *pool.Evaluation
	// Denial is set if the demand would be denied once it goes to the group.
	Denial   *mustardramp.Denial
	Backends []BackendExplanation
}

// BackendExplanation describes one backend of a group.
type BackendExplanation struct {
	Standing mustardramp.Standing
	// Excluded is why the backend gets no requests of this host, or empty.
	Excluded string
	// Load is nil if this host does not grant slots of the group.
	Load *pool.BackendLoad
}

// Reasons for which a group gets no request.
const (
	excludedNoBackend  = "no backend of the group is usable"
	excludedWithdrawn  = "its backends asked this host for no requests"
	excludedCost       = "another group is expected to be faster"
	excludedLink       = "the rank has used its share of the link between the regions"
	excludedOtherGroup = "its backends would not take the request now"
)

// Explain returns what Acquire would do with a first attempt now. It takes no slot, draws
// no random number and calls no other host.
func (p *Pool) Explain(demand mustardramp.Demand) Explanation {
	now := p.clock.Now()
	plan := p.plan.Load()
	out := Explanation{Groups: make([]GroupExplanation, len(plan.groups))}
	for i, g := range plan.groups {
		out.Groups[i] = p.describeGroup(g, demand.Rank, now)
	}
	for i, weight := range p.readRoomWeights(plan.groups, now) {
		out.Groups[i].Weight = weight
	}
	if demand.RequireHealthy = p.hasOtherGroups(); demand.RequireHealthy {
		if out.explainAny(p, plan.groups, &demand, now) {
			return out
		}
		demand.RequireHealthy = false
	}
	out.explainAny(p, plan.groups, &demand, now)
	return out
}

// explainAny follows acquireAny for all groups that the random choice may pick. It
// reports whether the demand is decided there, and otherwise sets the denial.
func (e *Explanation) explainAny(p *Pool, groups []*group, demand *mustardramp.Demand, now time.Time) bool {
	skip := map[GroupID]bool{}
	e.Denial = nil
	var lastErr *mustardramp.Denial
	for {
		shares := p.shares(groups, demand, skip, now)
		isDecided, isSkipping := false, false
		for i, g := range groups {
			out := &e.Groups[i]
			out.Share, out.Local, out.Denial = shares[i], nil, nil
			out.Excluded = p.exclusionOf(g, demand, skip, now)
			if shares[i] == 0 {
				continue
			}
			out.Excluded = ""
			p.explainGroup(out, g, demand)
			if out.Denial != nil && canTryOtherGroup(out.Denial) {
				lastErr, skip[g.id], isSkipping = out.Denial, true, true
				continue
			}
			isDecided = true
		}
		if isSkipping {
			// The shares change without the groups that were skipped.
			continue
		}
		if isDecided {
			return true
		}
		break
	}
	e.Denial = lastErr
	noDraw := func() float64 { return 0 }
	if lastErr == nil {
		e.Denial = p.noGroupDenial(demand, noDraw)
	} else if denial := p.withdrawnDenial(noDraw); denial != nil {
		e.Denial = denial
	}
	return false
}

// shares returns the probability of each group in the next choice. A demand that may not
// cross regions goes to the groups of this region.
func (p *Pool) shares(groups []*group, demand *mustardramp.Demand, skip map[GroupID]bool, now time.Time) []float64 {
	shares := make([]float64, len(groups))
	costs, maxCost := p.costs(groups, nil, demand, skip, now)
	if math.IsInf(maxCost, 1) {
		return shares
	}
	weights, total := p.readRoomWeights(groups, now), 0.0
	for i := range groups {
		if costs[i] <= maxCost {
			total += weights[i]
		}
	}
	crossing := 0.0
	for i, g := range groups {
		if costs[i] > maxCost {
			continue
		}
		if !p.mayCross(g, demand, now) {
			crossing += weights[i] / total
			continue
		}
		shares[i] = weights[i] / total
	}
	if crossing == 0 {
		return shares
	}
	for i, share := range p.shares(groups, demand, p.excludeCrossing(groups, skip), now) {
		shares[i] += crossing * share
	}
	return shares
}

// mayCross reports what allowCrossing would report, without a charge.
func (p *Pool) mayCross(g *group, demand *mustardramp.Demand, now time.Time) bool {
	if p.config.Pool.Link == nil || p.config.Pool.Place.To(g.place) != mustardramp.AcrossRegions {
		return true
	}
	return p.config.Pool.Link.HasCapacity(demand.Rank, now)
}

// exclusionOf returns why a group without a share gets no request.
func (p *Pool) exclusionOf(g *group, demand *mustardramp.Demand, skip map[GroupID]bool, now time.Time) string {
	switch {
	case !g.canServe(demand):
		return excludedNoBackend
	case p.isWithdrawnGroup(g, now):
		return excludedWithdrawn
	case skip[g.id]:
		return excludedOtherGroup
	case !p.mayCross(g, demand, now):
		return excludedLink
	default:
		return excludedCost
	}
}

// readRoomWeights returns the same as roomWeights without a change of what is known.
func (p *Pool) readRoomWeights(groups []*group, now time.Time) []float64 {
	weights := make([]float64, len(groups))
	uses := p.usesRooms(groups)
	for i, g := range groups {
		weights[i] = float64(g.weight())
		if !uses {
			continue
		}
		weights[i] = math.NaN()
		if value, ok := p.waits.Load(g.id); ok {
			room := &value.(*groupWaits).room
			room.mu.Lock()
			if mean, _, ok := room.read(now, p.maxLoadAge()); ok {
				weights[i] = mean
			}
			room.mu.Unlock()
		}
	}
	if uses {
		weighRooms(groups, weights)
	}
	return weights
}

// explainGroup adds what would happen to the demand at the group's keeper.
func (p *Pool) explainGroup(out *GroupExplanation, g *group, demand *mustardramp.Demand) {
	if i, ok := p.nextKeeper(g, 0); ok {
		known, ok := p.peers.Load(g.keepers[i])
		if !ok {
			return
		}
		peer, limit := known.(*peer), p.waitingLimit(g, demand.Rank)
		peer.mu.Lock()
		isFull := peer.isFull(demand.Rank, limit)
		peer.mu.Unlock()
		if isFull {
			out.Denial = p.overloadDenial(g, peer, demand, limit)
		}
		return
	}
	evaluation := p.groupPool(g).Evaluate(p.localDemand(g, demand))
	out.Local, out.Denial = &evaluation, evaluation.Denial
}

// groupPool returns the pool of this host's lessor of a group. Without a lessor, it
// returns a new pool, which is not kept.
func (p *Pool) groupPool(g *group) *pool.Pool {
	if l, ok := p.lessors.Load(g.id); ok {
		return l.(*lessor).pool
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.newGroupPool(g)
}

// describeGroup returns what this host knows of a group, whatever the demand.
func (p *Pool) describeGroup(g *group, rank mustardramp.Rank, now time.Time) GroupExplanation {
	out := GroupExplanation{
		ID: g.id, Distance: p.config.Pool.Place.To(g.place), Slots: g.slots,
		Keeper: p.config.Holder.Host, IsKeptHere: len(g.keepers) == 0 || p.config.Peers == nil || p.isFirstKeeper(g),
	}
	if i, ok := p.nextKeeper(g, 0); ok {
		out.Keeper = g.keepers[i]
	}
	if value, ok := p.waits.Load(g.id); ok {
		waits := value.(*groupWaits)
		if reportedAt := waits.ranks[rank].reportedAt.Load(); reportedAt > 0 {
			out.Wait = time.Duration(p.expectedWait(g.id, rank, now.UnixNano()))
			out.WaitAge, out.IsWaitKnown = time.Duration(max(0, now.UnixNano()-reportedAt)), true
		}
		out.describeRoom(&waits.room, g, now, p.maxLoadAge())
	}
	loads := map[mustardramp.BackendID]pool.BackendLoad{}
	if l, ok := p.lessors.Load(g.id); ok {
		for _, load := range l.(*lessor).pool.Loads() {
			loads[load.Backend] = load
		}
	}
	for _, s := range g.standings {
		b := BackendExplanation{Standing: s, Excluded: p.exclusionReason(&s, now)}
		if load, ok := loads[s.Backend.ID]; ok {
			b.Load = &load
		}
		out.Backends = append(out.Backends, b)
	}
	slices.SortFunc(out.Backends, func(a, b BackendExplanation) int {
		return cmp.Compare(a.Standing.Backend.ID, b.Standing.Backend.ID)
	})
	return out
}

// describeRoom adds the last statement of a group's free slots.
func (e *GroupExplanation) describeRoom(room *statedRoom, g *group, now time.Time, maxAge time.Duration) {
	room.mu.Lock()
	defer room.mu.Unlock()
	if room.statedAt.IsZero() {
		return
	}
	e.Free, e.FreeAge, e.IsFreeKnown = int(math.Round(room.last*float64(g.weight()))), max(0, now.Sub(room.statedAt)), true
	_, _, ok := room.read(now, maxAge)
	e.IsFreeTooOld = !ok
}

// exclusionReason returns why a backend gets no requests of this host, or "".
func (p *Pool) exclusionReason(s *mustardramp.Standing, now time.Time) string {
	switch e, ok := p.exclusions.find(&s.Backend); {
	case s.Backend.State != mustardramp.Serving:
		return s.Backend.State.String()
	case s.Trial:
		return "on trial: " + s.Cause
	case s.Ejected:
		return "ejected: " + s.Cause
	case s.Avoided:
		return "avoided by this host: " + s.Cause
	case !ok:
		return ""
	case e.leaving:
		return "leaving, as it stated in an answer"
	case e.departed:
		return "lost: it is no longer listed as serving"
	case now.Before(e.quietUntil):
		return "asked this host for no requests for another " + e.quietUntil.Sub(now).Round(time.Millisecond).String()
	case now.Before(e.unreachableUntil):
		return "lost: this host could not reach it, and tries again in " + e.unreachableUntil.Sub(now).Round(time.Millisecond).String()
	default:
		return ""
	}
}
