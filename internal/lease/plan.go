package lease

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/mustardramp/mustardramp"
)

const (
	// groupSize is the target number of backends in a group. 12 backends receive
	// 36 to 50 requests per second in a large deployment; with groups of 32 the
	// keepers were the bottleneck on links of 2.9 Mbit/s (docs/MEASUREMENTS.md).
	// Services of small deployments have one keeper per region with either size.
	groupSize = 12
	// keepersPerGroup is the number of hosts that are tried in order for a lease
	// of a group.
	keepersPerGroup = 3
)

// group is a set of backends in one region, with its keepers.
type group struct {
	id        GroupID
	place     mustardramp.Place
	standings []mustardramp.Standing
	// excluded lists the backends that are neither usable nor on trial.
	excluded []mustardramp.BackendID
	// best holds the keepers of the group in the order in which they are tried,
	// and keepers their names.
	best    []scoredHost
	keepers []mustardramp.HostName
	// slots counts the slots of the usable backends.
	slots mustardramp.Slots
	// usable counts the usable backends.
	usable int
}

// plan is an immutable division of a service's backends into groups.
type plan struct {
	groups []*group
	byID   map[GroupID]*group
	// groupOf maps each backend to its group.
	groupOf map[mustardramp.BackendID]GroupID
	// backendCount is the number of backends of the service, and hostCount the
	// number of hosts in the fleet.
	backendCount, hostCount int
}

// newPlan returns the plan for the backends and the fleet. Equal backends and
// fleets lead to equal groups and keepers on every host. The old plan, if not nil,
// is the one for the fleet before the diff.
func newPlan(service mustardramp.ServiceName, standings []mustardramp.Standing, fleet *Fleet, old *plan, diff fleetDiff) *plan {
	p := &plan{byID: map[GroupID]*group{}, groupOf: make(map[mustardramp.BackendID]GroupID, len(standings)), backendCount: len(standings), hostCount: len(fleet.hosts)}
	sizes := map[mustardramp.Region]int{}
	for i := range standings {
		sizes[standings[i].Backend.Place.Region]++
	}
	for i := range standings {
		s := &standings[i]
		region := standings[i].Backend.Place.Region
		parts := (sizes[region] + groupSize - 1) / groupSize
		id := GroupID{Region: region, Part: partOf(s.Backend.ID, parts)}
		p.groupOf[s.Backend.ID] = id
		p.ensureGroup(id, mustardramp.Place{Region: region}).add(s)
	}
	for _, g := range p.groups {
		g.selectKeepers(service, fleet.hosts, old.find(g), diff)
	}
	slices.SortFunc(p.groups, func(a, b *group) int {
		return cmp.Or(cmp.Compare(a.id.Region, b.id.Region), cmp.Compare(a.id.Part, b.id.Part))
	})
	return p
}

// partOf selects the part of a region that a backend belongs to by rendezvous
// hashing: when backends join and a part is added, only the backends that move to
// the new part get a new keeper, which has no data about them yet.
func partOf(id mustardramp.BackendID, parts int) int {
	hash := xxhash.Sum64String(string(id))
	best, bestScore := 0, uint64(0)
	for part := range parts {
		if score := mix(hash ^ mix(uint64(part))); part == 0 || score > bestScore {
			best, bestScore = part, score
		}
	}
	return best
}

// find returns the group with the ID and the place of g, or nil.
func (p *plan) find(g *group) *group {
	if p == nil {
		return nil
	}
	found := p.byID[g.id]
	if found == nil || found.place != g.place {
		return nil
	}
	return found
}

// ensureGroup returns the group with the ID, which it adds if there is none.
func (p *plan) ensureGroup(id GroupID, place mustardramp.Place) *group {
	g := p.byID[id]
	if g == nil {
		g = &group{id: id, place: place}
		p.byID[id] = g
		p.groups = append(p.groups, g)
	}
	return g
}

// add adds a backend to the group.
func (g *group) add(s *mustardramp.Standing) {
	g.standings = append(g.standings, *s)
	if s.Usable() {
		g.usable++
		g.slots += s.Backend.Slots
	}
	if !s.Usable() && !s.Trial {
		g.excluded = append(g.excluded, s.Backend.ID)
	}
}

// selectKeepers selects the keepers of the group: the nearest hosts, and among
// those the first by rendezvous hashing, so that the loss of a host moves only the
// groups that it kept. Hosts that did not change are compared again only when a
// keeper of the old group was removed.
func (g *group) selectKeepers(service mustardramp.ServiceName, hosts []hashedHost, old *group, diff fleetDiff) {
	if old != nil && !old.hasLostKeeper(diff.removed) {
		g.best, g.keepers = old.best, old.keepers
		hosts = diff.added
	}
	if len(hosts) == 0 {
		return
	}
	best := slices.Clone(g.best)
	seed := g.hash(service)
	for i := range hosts {
		h := &hosts[i]
		s := scoredHost{name: h.Name, distance: g.place.To(h.Place), score: mix(h.hash ^ seed)}
		best = insert(best, s)
	}
	g.best, g.keepers = best, nil
	for i := range best {
		g.keepers = append(g.keepers, best[i].name)
	}
}

// hasLostKeeper reports whether one of the group's keepers was removed.
func (g *group) hasLostKeeper(removed map[mustardramp.HostName]bool) bool {
	for i := range g.best {
		if removed[g.best[i].name] {
			return true
		}
	}
	return false
}

// insert adds a host to the ordered keepers if it is among the first
// keepersPerGroup.
func insert(best []scoredHost, s scoredHost) []scoredHost {
	if len(best) == keepersPerGroup && !s.before(&best[len(best)-1]) {
		return best
	}
	if len(best) < keepersPerGroup {
		best = append(best, scoredHost{})
	}
	at := len(best) - 1
	for ; at > 0 && s.before(&best[at-1]); at-- {
		best[at] = best[at-1]
	}
	best[at] = s
	return best
}

// scoredHost is a host with the values that order the keepers of a group.
type scoredHost struct {
	name     mustardramp.HostName
	distance mustardramp.Distance
	score    uint64
}

// before reports whether s comes before other in the order of keepers.
func (s *scoredHost) before(other *scoredHost) bool {
	if s.distance != other.distance {
		return s.distance < other.distance
	}
	if s.score != other.score {
		return s.score > other.score
	}
	return s.name < other.name
}

// hash returns the hash that seeds the order of the group's keepers.
func (g *group) hash(service mustardramp.ServiceName) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%d", service, g.id.Region, g.id.Part))
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
