package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mustardramp/mustardramp"
)

const (
	// randomZoneLinks is the number of links to random hosts of the own zone, in
	// addition to the one to the successor in the zone.
	randomZoneLinks = 2
	// bridgesPerRegion is the number of hosts of a region that hold links to
	// another region, and the number of hosts there to which each holds a link.
	bridgesPerRegion = 2
	// peerRefreshInterval is the time after which the peers are chosen again even
	// if no host changed.
	peerRefreshInterval = time.Second
)

// Peers returns the hosts to call: mostly hosts of the own zone, the successor in
// the region and, on a bridge host, hosts of other regions. Hosts that do not
// answer this host are left out. The hosts that this host probes to confirm a
// suspicion, and one lost host if there is any, are added.
func (m *Members) Peers(now time.Time) []Host {
	if !m.peersStale && now.Sub(m.peersChosenAt) < peerRefreshInterval {
		return m.peers
	}
	m.peersStale, m.peersChosenAt = false, now
	picked := make(map[mustardramp.HostName]bool)
	alive := m.linkCandidates(now)
	region := alive.filter(func(h *Host) bool { return h.Place.Region == m.self.Place.Region })
	zone := region.filter(func(h *Host) bool { return h.Place.Zone == m.self.Place.Zone })
	m.pickRing(picked, zone, "zone")
	m.pickRandom(picked, zone, randomZoneLinks)
	m.pickRing(picked, region, "region")
	m.pickBridges(picked, region, alive)
	for name := range m.probes {
		picked[name] = true
	}
	if m.probedLost = m.nextLostHost(now); m.probedLost != "" {
		picked[m.probedLost] = true
	}
	m.peers = m.hostsByName(picked)
	return m.peers
}

// Sources returns up to count hosts from which a started host can learn the
// present state, of the own region if that has enough hosts.
func (m *Members) Sources(now time.Time, count int) []Host {
	picked := make(map[mustardramp.HostName]bool)
	alive := m.linkCandidates(now)
	region := alive.filter(func(h *Host) bool { return h.Place.Region == m.self.Place.Region })
	m.pickRandom(picked, region, count)
	m.pickRandom(picked, alive, count-len(picked))
	return m.hostsByName(picked)
}

// hostsByName returns the hosts with the given names, sorted by name.
func (m *Members) hostsByName(names map[mustardramp.HostName]bool) []Host {
	var out []Host
	for name := range names {
		if e := m.members[name]; e != nil {
			out = append(out, e.Host)
		}
	}
	sortByName(out)
	return out
}

type hostList []*Host

// isAvoided reports whether this host holds no link to the host because calls to
// it fail.
func (e *member) isAvoided(now time.Time) bool {
	return !e.failingSince.IsZero() && e.lastFailure.Sub(e.failingSince) >= suspectAfter && now.Sub(e.lastFailure) < avoidDuration
}

// linkCandidates lists the hosts to which this host may hold links.
func (m *Members) linkCandidates(now time.Time) hostList {
	var out hostList
	for _, e := range m.members {
		if e.Standing < Draining && !e.isAvoided(now) {
			out = append(out, &e.Host)
		}
	}
	return out
}

func (h hostList) filter(fn func(*Host) bool) hostList {
	var out hostList
	for _, host := range h {
		if fn(host) {
			out = append(out, host)
		}
	}
	return out
}

// pickRing picks the successor of this host on a ring of hashes, so that the links
// connect all hosts of the ring.
func (m *Members) pickRing(picked map[mustardramp.HostName]bool, ring hostList, salt string) {
	if len(ring) == 0 {
		return
	}
	position := func(h mustardramp.HostName) uint64 { return score(salt, string(h)) }
	self := position(m.self.Name)
	next := slices.MinFunc(ring, func(a, b *Host) int {
		return cmp.Compare(position(a.Name)-self, position(b.Name)-self)
	})
	picked[next.Name] = true
}

// pickRandom picks hosts by a hash of both names. The choice is stable while the
// hosts do not change.
func (m *Members) pickRandom(picked map[mustardramp.HostName]bool, from hostList, count int) {
	for _, h := range from.rendezvous(string(m.self.Name), count+len(picked)) {
		if count > 0 && !picked[h.Name] {
			picked[h.Name] = true
			count--
		}
	}
}

// pickBridges picks hosts of each region to which this host is a bridge.
func (m *Members) pickBridges(picked map[mustardramp.HostName]bool, region, alive hostList) {
	regions := make(map[mustardramp.Region]hostList)
	for _, h := range alive {
		if h.Place.Region != m.self.Place.Region {
			regions[h.Place.Region] = append(regions[h.Place.Region], h)
		}
	}
	all := append(slices.Clone(region), &m.self)
	for other, there := range regions {
		if !m.isBridge(other, all) {
			continue
		}
		for _, h := range there.rendezvous(string(m.self.Place.Region), bridgesPerRegion) {
			picked[h.Name] = true
		}
	}
}

// isBridge reports whether this host is one of the bridge hosts to a region. They
// are chosen by hash.
func (m *Members) isBridge(other mustardramp.Region, all hostList) bool {
	for _, h := range all.rendezvous(string(other), bridgesPerRegion) {
		if h.Name == m.self.Name {
			return true
		}
	}
	return false
}

// rendezvous returns up to count hosts that rendezvous hashing assigns to a key:
// those with the lowest hashes of the key and their name.
func (h hostList) rendezvous(key string, count int) hostList {
	type scored struct {
		score uint64
		host  *Host
	}
	all := make([]scored, len(h))
	for i, host := range h {
		all[i] = scored{score(key, string(host.Name)), host}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.host.Name, b.host.Name))
	})
	out := make(hostList, min(count, len(all)))
	for i := range out {
		out[i] = all[i].host
	}
	return out
}

// isVerifier reports whether this host is one of those that probe a suspected
// host.
func (m *Members) isVerifier(suspect *member) bool {
	candidates := hostList{&m.self}
	for _, e := range m.members {
		if e != suspect && e.Standing == Alive {
			if _, isObserver := suspect.suspicions[e.Host.Name]; !isObserver {
				candidates = append(candidates, &e.Host)
			}
		}
	}
	for _, h := range candidates.rendezvous(string(suspect.Host.Name), verifierCount) {
		if h.Name == m.self.Name {
			return true
		}
	}
	return false
}

// nextLostHost returns a lost host to call, so that both sides of a healed
// partition find each other. A hash of name and time chooses the host anew after
// each rejoinInterval.
func (m *Members) nextLostHost(now time.Time) mustardramp.HostName {
	round := now.UnixNano() / int64(rejoinInterval)
	var chosen mustardramp.HostName
	lowest := uint64(0)
	for name, e := range m.members {
		if e.Standing != Lost {
			continue
		}
		if !e.lastSuccess.IsZero() && now.Sub(e.lastSuccess) < rejoinInterval {
			// The host answers, and rejoins once it learns what this side knows.
			return name
		}
		s := score(string(m.self.Name), string(name)) ^ xxhash.Sum64String(time.Duration(round).String())
		if chosen == "" || s < lowest {
			chosen, lowest = name, s
		}
	}
	return chosen
}

// ProbedLostHost returns the lost host among the peers, or an empty name.
func (m *Members) ProbedLostHost() mustardramp.HostName {
	return m.probedLost
}

func score(a, b string) uint64 {
	return xxhash.Sum64String(a + "\x00" + b)
}
