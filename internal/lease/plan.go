package lease

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/mustardramp/mustardramp"
)

const (
	// groupSize is the number of backends that one keeper takes on.
	groupSize = 32
	// keepersPerGroup is the number of hosts that are asked for a group, one
	// after the other.
	keepersPerGroup = 3
)

// group is a set of backends in one zone and the hosts that keep it.
type group struct {
	id        GroupID
	place     mustardramp.Place
	standings []mustardramp.Standing
	// shunned lists the backends that this host does not use.
	shunned []mustardramp.BackendID
	// keepers are the hosts to ask, the best first.
	keepers []mustardramp.HostName
	slots   mustardramp.Slots
	usable  int
}

// plan is an immutable division of a service's backends.
type plan struct {
	groups []*group
	byID   map[GroupID]*group
	// known counts the backends.
	known int
}

// divide makes a plan. Equal sets of backends and hosts lead to equal groups
// and keepers on each host. The keepers of groups that the old plan knows are
// taken from it, unless it is nil.
func divide(service mustardramp.ServiceName, standings []mustardramp.Standing, hosts []candidate, old *plan) *plan {
	p := &plan{byID: map[GroupID]*group{}, known: len(standings)}
	sizes := map[mustardramp.Zone]int{}
	for i := range standings {
		sizes[standings[i].Backend.Place.Zone]++
	}
	for i := range standings {
		s := &standings[i]
		zone := s.Backend.Place.Zone
		parts := (sizes[zone] + groupSize - 1) / groupSize
		id := GroupID{Zone: zone, Part: int(xxhash.Sum64String(string(s.Backend.ID)) % uint64(parts))}
		p.group(id, s.Backend.Place).add(s)
	}
	for _, g := range p.groups {
		if known := old.find(g); known != nil {
			g.keepers = known.keepers
			continue
		}
		g.keepers = rank(service, g, hosts)
	}
	slices.SortFunc(p.groups, func(a, b *group) int {
		return cmp.Or(cmp.Compare(a.id.Zone, b.id.Zone), cmp.Compare(a.id.Part, b.id.Part))
	})
	return p
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

// candidate is a host with the hash of its name.
type candidate struct {
	Host
	hash uint64
}

// candidates hashes the names once for all groups.
func candidates(hosts []Host) []candidate {
	all := make([]candidate, 0, len(hosts))
	for _, h := range hosts {
		all = append(all, candidate{Host: h, hash: xxhash.Sum64String(string(h.Name))})
	}
	return all
}

// rank lists the best hosts for a group: the nearest, and among those the
// first by rendezvous hashing, so that the loss of a host moves only the groups
// that it kept.
func rank(service mustardramp.ServiceName, g *group, hosts []candidate) []mustardramp.HostName {
	seed := g.hash(service)
	var best [keepersPerGroup]scored
	n := 0
	for i := range hosts {
		h := &hosts[i]
		s := scored{name: h.Name, distance: g.place.To(h.Place), score: mix(h.hash ^ seed)}
		if n == keepersPerGroup && !s.before(&best[n-1]) {
			continue
		}
		if n < keepersPerGroup {
			n++
		}
		at := n - 1
		for ; at > 0 && s.before(&best[at-1]); at-- {
			best[at] = best[at-1]
		}
		best[at] = s
	}
	names := make([]mustardramp.HostName, 0, n)
	for i := range best[:n] {
		names = append(names, best[i].name)
	}
	return names
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
	return xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%d", service, g.id.Zone, g.id.Part))
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
