package lease

import (
	"cmp"
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
// and keepers on each host.
func divide(service mustardramp.ServiceName, standings []mustardramp.Standing, hosts []Host) *plan {
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
		g.keepers = rank(service, g, hosts)
	}
	slices.SortFunc(p.groups, func(a, b *group) int {
		return cmp.Or(cmp.Compare(a.id.Zone, b.id.Zone), cmp.Compare(a.id.Part, b.id.Part))
	})
	return p
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

// rank orders the hosts nearest to a group by rendezvous hashing, so that the
// loss of a host moves only the groups that it kept.
func rank(service mustardramp.ServiceName, g *group, hosts []Host) []mustardramp.HostName {
	type scored struct {
		name     mustardramp.HostName
		distance mustardramp.Distance
		score    uint64
	}
	all := make([]scored, 0, len(hosts))
	for _, h := range hosts {
		all = append(all, scored{name: h.Name, distance: g.place.To(h.Place), score: score(service, g.id, h.Name)})
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	all = all[:min(len(all), keepersPerGroup)]
	names := make([]mustardramp.HostName, 0, len(all))
	for _, s := range all {
		names = append(names, s.name)
	}
	return names
}

func score(service mustardramp.ServiceName, id GroupID, host mustardramp.HostName) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(service))
	_, _ = d.WriteString("\x00" + string(id.Zone) + "\x00")
	_, _ = d.Write([]byte{byte(id.Part), byte(id.Part >> 8)})
	_, _ = d.WriteString(string(host))
	return d.Sum64()
}
