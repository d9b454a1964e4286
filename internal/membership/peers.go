package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mustardramp/mustardramp"
)

const (
	// zoneLinks is the number of links to random hosts of the own zone, beside
	// the one to the successor in the zone.
	zoneLinks = 2
	// bridgeHosts is the number of hosts of a region that hold links to the
	// other regions, and the number of hosts there to which each holds one.
	bridgeHosts = 2
	// choosePause is the time for which a choice of peers stands if nothing
	// that it follows from changes.
	choosePause = time.Second
)

// Peers returns the hosts to call: mostly of the own zone, one of the region's
// other zones, and from the bridge hosts of a region to those of the others.
// Hosts that are doubted here give way to others. Hosts that this host is asked
// to verify, and now and then a lost one, come on top.
func (m *Members) Peers(now time.Time) []Host {
	if !m.changed && now.Sub(m.chosenAt) < choosePause {
		return m.chosen
	}
	m.changed, m.chosenAt = false, now
	picked := make(map[mustardramp.HostName]bool)
	alive := m.alive(now)
	region := alive.where(func(h *Host) bool { return h.Place.Region == m.self.Place.Region })
	zone := region.where(func(h *Host) bool { return h.Place.Zone == m.self.Place.Zone })
	m.pickRing(picked, zone, "zone")
	m.pickRandom(picked, zone, zoneLinks)
	m.pickRing(picked, region, "region")
	m.pickBridges(picked, region, alive)
	for name := range m.probes {
		picked[name] = true
	}
	if m.called = m.rejoining(now); m.called != "" {
		picked[m.called] = true
	}
	m.chosen = m.hosts(picked)
	return m.chosen
}

// Sources returns up to count hosts, of the own region where there are enough,
// from which a started host may learn the present state.
func (m *Members) Sources(now time.Time, count int) []Host {
	picked := make(map[mustardramp.HostName]bool)
	alive := m.alive(now)
	region := alive.where(func(h *Host) bool { return h.Place.Region == m.self.Place.Region })
	m.pickRandom(picked, region, count)
	m.pickRandom(picked, alive, count-len(picked))
	return m.hosts(picked)
}

// hosts returns the named hosts, sorted.
func (m *Members) hosts(names map[mustardramp.HostName]bool) []Host {
	var out []Host
	for name := range names {
		if e := m.members[name]; e != nil {
			out = append(out, e.Host)
		}
	}
	slices.SortFunc(out, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

type hosts []*Host

// avoided reports whether calls from here to the host fail.
func (e *member) avoided(now time.Time) bool {
	return !e.silent.IsZero() && e.missed.Sub(e.silent) >= suspectAfter && now.Sub(e.missed) < avoidTime
}

// alive lists the hosts to which links make sense.
func (m *Members) alive(now time.Time) hosts {
	var out hosts
	for _, e := range m.members {
		if e.Standing < Draining && !e.avoided(now) {
			out = append(out, &e.Host)
		}
	}
	return out
}

func (h hosts) where(fn func(*Host) bool) hosts {
	var out hosts
	for _, host := range h {
		if fn(host) {
			out = append(out, host)
		}
	}
	return out
}

// pickRing picks the successor of this host on a ring of hashes, so that the
// links join all hosts of the ring.
func (m *Members) pickRing(picked map[mustardramp.HostName]bool, ring hosts, name string) {
	if len(ring) == 0 {
		return
	}
	place := func(h mustardramp.HostName) uint64 { return score(name, string(h)) }
	self := place(m.self.Name)
	next := slices.MinFunc(ring, func(a, b *Host) int {
		return cmp.Compare(place(a.Name)-self, place(b.Name)-self)
	})
	picked[next.Name] = true
}

// pickRandom picks hosts by a hash of both names: the choice is stable while
// the hosts are.
func (m *Members) pickRandom(picked map[mustardramp.HostName]bool, from hosts, count int) {
	for _, h := range from.best(string(m.self.Name), count+len(picked)) {
		if count > 0 && !picked[h.Name] {
			picked[h.Name] = true
			count--
		}
	}
}

// pickBridges picks hosts of each other region, if this host is a bridge there.
func (m *Members) pickBridges(picked map[mustardramp.HostName]bool, region, alive hosts) {
	regions := make(map[mustardramp.Region]hosts)
	for _, h := range alive {
		if h.Place.Region != m.self.Place.Region {
			regions[h.Place.Region] = append(regions[h.Place.Region], h)
		}
	}
	all := append(slices.Clone(region), &m.self)
	for other, there := range regions {
		if !m.bridges(other, all) {
			continue
		}
		for _, h := range there.best(string(m.self.Place.Region), bridgeHosts) {
			picked[h.Name] = true
		}
	}
}

// bridges reports whether this host holds links to a region: the bridge hosts
// do, chosen by hash.
func (m *Members) bridges(other mustardramp.Region, all hosts) bool {
	for _, h := range all.best(string(other), bridgeHosts) {
		if h.Name == m.self.Name {
			return true
		}
	}
	return false
}

// best returns the hosts with the lowest hashes together with a name.
func (h hosts) best(name string, count int) hosts {
	type scored struct {
		score uint64
		host  *Host
	}
	all := make([]scored, len(h))
	for i, host := range h {
		all[i] = scored{score(name, string(host.Name)), host}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.host.Name, b.host.Name))
	})
	out := make(hosts, min(count, len(all)))
	for i := range out {
		out[i] = all[i].host
	}
	return out
}

// verifies reports whether this host is one of those that probe a doubted host.
func (m *Members) verifies(doubted *member) bool {
	candidates := hosts{&m.self}
	for _, e := range m.members {
		if e != doubted && e.Standing == Alive {
			if _, observer := doubted.doubts[e.Host.Name]; !observer {
				candidates = append(candidates, &e.Host)
			}
		}
	}
	for _, h := range candidates.best(string(doubted.Host.Name), verifiers) {
		if h.Name == m.self.Name {
			return true
		}
	}
	return false
}

// rejoining returns a lost host to call, so that two sides of a healed
// partition find each other; the hosts take turns by name and time.
func (m *Members) rejoining(now time.Time) mustardramp.HostName {
	turn := now.UnixNano() / int64(rejoinPause)
	var chosen mustardramp.HostName
	lowest := uint64(0)
	for name, e := range m.members {
		if e.Standing != Lost {
			continue
		}
		if !e.echoed.IsZero() && now.Sub(e.echoed) < rejoinPause {
			// It answers: what this side knows brings it back.
			return name
		}
		s := score(string(m.self.Name), string(name)) ^ xxhash.Sum64String(time.Duration(turn).String())
		if chosen == "" || s < lowest {
			chosen, lowest = name, s
		}
	}
	return chosen
}

// Called returns the lost host that is called at present, or none.
func (m *Members) Called() mustardramp.HostName {
	return m.called
}

func score(a, b string) uint64 {
	return xxhash.Sum64String(a + "\x00" + b)
}
