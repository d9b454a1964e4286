package lease

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/mustardramp/mustardramp"
)

const (
	// groupSize is the number of backends that one keeper takes on. 12 backends of
	// the grown deployments have 36 to 50 requests a second; with 32 the keepers
	// were the bottleneck on links of 2.9 Mbit/s (docs/MEASUREMENTS.md). Services
	// of the smaller deployments have one keeper a region either way.
	groupSize = 12
	// keepersPerGroup is the number of hosts that are asked for a group, one
	// after the other.
	keepersPerGroup = 3
)

// group is a set of backends in one region and the hosts that keep it.
type group struct {
	id        GroupID
	place     mustardramp.Place
	standings []mustardramp.Standing
	// shunned lists the backends that this host does not use.
	shunned []mustardramp.BackendID
	// best are the hosts that keep the group, in order, and keepers their
	// names.
	best    []scored
	keepers []mustardramp.HostName
	slots   mustardramp.Slots
	usable  int
}

// plan is an immutable division of a service's backends.
type plan struct {
	groups []*group
	byID   map[GroupID]*group
	// known counts the backends, and hosts the hosts of the fleet.
	known, hosts int
}

// divide makes a plan. Equal sets of backends and hosts lead to equal groups
// and keepers on each host. The old plan, if there is one, was made for the
// hosts before the change.
func divide(service mustardramp.ServiceName, standings []mustardramp.Standing, fleet *Fleet, old *plan, c change) *plan {
	p := &plan{byID: map[GroupID]*group{}, known: len(standings), hosts: len(fleet.hosts)}
	sizes := map[mustardramp.Region]int{}
	for i := range standings {
		sizes[standings[i].Backend.Place.Region]++
	}
	for i := range standings {
		s := &standings[i]
		region := standings[i].Backend.Place.Region
		parts := (sizes[region] + groupSize - 1) / groupSize
		id := GroupID{Region: region, Part: partOf(s.Backend.ID, parts)}
		p.group(id, mustardramp.Place{Region: region}).add(s)
	}
	for _, g := range p.groups {
		g.rank(service, fleet.hosts, old.find(g), c)
	}
	slices.SortFunc(p.groups, func(a, b *group) int {
		return cmp.Or(cmp.Compare(a.id.Region, b.id.Region), cmp.Compare(a.id.Part, b.id.Part))
	})
	return p
}

// partOf draws the part of a region that a backend belongs to by rendezvous
// hashing: when backends join and a part is added, only those that move to it
// change their keeper, which knows nothing of them yet.
func partOf(id mustardramp.BackendID, parts int) int {
	hash := xxhash.Sum64String(string(id))
	best, most := 0, uint64(0)
	for part := range parts {
		if score := mix(hash ^ mix(uint64(part))); part == 0 || score > most {
			best, most = part, score
		}
	}
	return best
}

// find returns the group of the same backends' place, or nil.
func (p *plan) find(g *group) *group {
	if p == nil {
		return nil
	}
	known := p.byID[g.id]
	if known == nil || known.place != g.place {
		return nil
	}
	return known
}

func (p *plan) group(id GroupID, place mustardramp.Place) *group {
	g := p.byID[id]
	if g == nil {
		g = &group{id: id, place: place}
		p.byID[id] = g
		p.groups = append(p.groups, g)
	}
	return g
}

func (g *group) add(s *mustardramp.Standing) {
	g.standings = append(g.standings, *s)
	if s.Usable() {
		g.usable++
		g.slots += s.Backend.Slots
	}
	if !s.Usable() && !s.Trial {
		g.shunned = append(g.shunned, s.Backend.ID)
	}
}

// rank finds the best hosts for the group: the nearest, and among those the
// first by rendezvous hashing, so that the loss of a host moves only the groups
// that it kept. Hosts that did not change are ranked again only when one of the
// best was lost.
func (g *group) rank(service mustardramp.ServiceName, hosts []candidate, known *group, c change) {
	if known != nil && !known.lost(c.removed) {
		g.best, g.keepers = known.best, known.keepers
		hosts = c.added
	}
	if len(hosts) == 0 {
		return
	}
	best := slices.Clone(g.best)
	seed := g.hash(service)
	for i := range hosts {
		h := &hosts[i]
		s := scored{name: h.Name, distance: g.place.To(h.Place), score: mix(h.hash ^ seed)}
		best = insert(best, s)
	}
	g.best, g.keepers = best, nil
	for i := range best {
		g.keepers = append(g.keepers, best[i].name)
	}
}

// lost reports whether one of the group's hosts was removed.
func (g *group) lost(removed map[mustardramp.HostName]bool) bool {
	for i := range g.best {
		if removed[g.best[i].name] {
			return true
		}
	}
	return false
}

// insert puts a host into the order of the best.
func insert(best []scored, s scored) []scored {
	if len(best) == keepersPerGroup && !s.before(&best[len(best)-1]) {
		return best
	}
	if len(best) < keepersPerGroup {
		best = append(best, scored{})
	}
	at := len(best) - 1
	for ; at > 0 && s.before(&best[at-1]); at-- {
		best[at] = best[at-1]
	}
	best[at] = s
	return best
}

// scored is a host's place in the order of a group's keepers.
type scored struct {
	name     mustardramp.HostName
	distance mustardramp.Distance
	score    uint64
}

func (s *scored) before(o *scored) bool {
	if s.distance != o.distance {
		return s.distance < o.distance
	}
	if s.score != o.score {
		return s.score > o.score
	}
	return s.name < o.name
}

func (g *group) hash(service mustardramp.ServiceName) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%d", service, g.id.Region, g.id.Part))
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
