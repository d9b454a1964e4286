package exchange

import (
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/membership"
)

// leavingBound is the time in which every host must know that a backend leaves.
const leavingBound = 3 * time.Second

type direction = [2]mustardramp.HostName

func TestLeavingIsKnownEverywhere(t *testing.T) {
	cases := map[string]struct {
		loss  float64
		fault func(m *mesh)
	}{
		"no fault":           {},
		"10% message loss":   {loss: 0.1},
		"20% message loss":   {loss: 0.2},
		"control hosts down": {loss: 0.1, fault: func(m *mesh) { m.takeDown(0, 1, 2, 3, 4) }},
		"one-way cuts":       {fault: func(m *mesh) { m.cutRandom(0.15) }},
		"one-way cuts and 10% message loss": {loss: 0.1, fault: func(m *mesh) {
			m.cutRandom(0.1)
		}},
		"bridge host down": {fault: func(m *mesh) { m.takeDown(m.findBridge()) }},
		"regions connected one way": {fault: func(m *mesh) {
			m.cutRegions("siliguri", "kolkata", 3)
		}},
	}
	for test, tc := range cases {
		t.Run(test, func(t *testing.T) {
			for seed := range uint64(*randomSeeds) {
				m := newMesh(t, seed, 40)
				m.loss = tc.loss
				if tc.fault != nil {
					tc.fault(m)
				}
				known := map[mustardramp.HostName]bool{}
				m.onAccepted = func(host mustardramp.HostName, r mustardramp.Record) {
					known[host] = known[host] || r.Kind == mustardramp.RecordBackend
				}
				m.offer(hostName(9), mustardramp.Record{
					Kind: mustardramp.RecordBackend, Key: "patha/10.1.0.1:80",
					Version: mustardramp.Version{Epoch: 4, Sequence: 2}, Payload: make([]byte, 120),
				})
				m.run(leavingBound)
				for _, host := range m.names {
					if !known[host] && !m.down[host] {
						t.Errorf("seed %d: %s does not know after %v", seed, host, leavingBound)
					}
				}
			}
		})
	}
}

// takeDown stops hosts.
func (m *mesh) takeDown(numbers ...int) {
	for _, i := range numbers {
		m.down[hostName(i)] = true
	}
}

// cutRandom cuts a random share of the directions between hosts.
func (m *mesh) cutRandom(share float64) {
	for _, a := range m.names {
		for _, b := range m.names {
			if a != b && m.random.Float64() < share {
				m.cut[direction{a, b}] = true
			}
		}
	}
}

// findBridge returns the number of a host that holds a link to another region.
func (m *mesh) findBridge() int {
	for i := range m.names {
		if i == 9 {
			continue
		}
		for _, p := range m.nodes[hostName(i)].Members.Peers(m.now) {
			if p.Place.Region != zones[i%len(zones)].Region {
				return i
			}
		}
	}
	m.t.Fatal("no host has a link to another region")
	return 0
}

// cutRegions cuts the direction from one region to another, except to the first
// hosts of the other.
func (m *mesh) cutRegions(from, to mustardramp.Region, except int) {
	for i, a := range m.names {
		for j, b := range m.names {
			if zones[i%len(zones)].Region != from || zones[j%len(zones)].Region != to {
				continue
			}
			if j >= except*len(zones) {
				m.cut[direction{a, b}] = true
			}
		}
	}
}

func standingOf(m *mesh, at, of int) membership.Standing {
	for _, member := range m.nodes[hostName(at)].Members.List() {
		if member.Host.Name == hostName(of) {
			return member.Standing
		}
	}
	return membership.Lost
}

func TestLostHostIsLostEverywhere(t *testing.T) {
	m := newMesh(t, 1, 40)
	m.takeDown(7, 8)
	m.run(10 * time.Second)
	for i := range m.names {
		for _, lost := range []int{7, 8} {
			if got := standingOf(m, i, lost); got != membership.Lost && !m.down[hostName(i)] {
				t.Errorf("at %s: standing of %s: got %v, want lost", hostName(i), hostName(lost), got)
			}
		}
	}
	m.join(7, 99)
	m.run(5 * time.Second)
	for i := range m.names {
		if got := standingOf(m, i, 7); i != 7 && i != 8 && got != membership.Alive {
			t.Errorf("at %s: standing of the restarted %s: got %v, want alive", hostName(i), hostName(7), got)
		}
	}
}

// TestBusyLinksLoseNoHost guards against hosts that count as lost because uploads
// fill the links of a large fleet and an answer takes 0.7 s.
func TestBusyLinksLoseNoHost(t *testing.T) {
	m := newMesh(t, 1, 60)
	m.oneWayDelay = 350 * time.Millisecond
	m.run(20 * time.Second)
	for _, host := range m.names {
		for _, other := range m.nodes[host].Members.List() {
			if other.Standing == membership.Lost {
				t.Errorf("got %s lost as seen from %s, want it alive", other.Host.Name, host)
			}
		}
	}
}

// TestBadPathsDoNotLoseAHost guards against a host that counts as lost because a
// few others cannot reach it, while the rest can.
func TestBadPathsDoNotLoseAHost(t *testing.T) {
	for seed := range uint64(*randomSeeds) {
		m := newMesh(t, seed, 40)
		m.loss = 0.05
		for _, a := range []int{0, 1, 2, 11, 12, 20} {
			m.cut[direction{hostName(a), hostName(5)}] = true
		}
		for range 20 {
			m.run(time.Second)
			for i := range m.names {
				if got := standingOf(m, i, 5); i != 5 && got == membership.Lost {
					t.Fatalf("seed %d: at %s: got %s lost, want it not lost", seed, hostName(i), hostName(5))
				}
			}
		}
	}
}

func TestRegionsFindEachOtherAgain(t *testing.T) {
	m := newMesh(t, 2, 20)
	m.cutRegions("kolkata", "siliguri", 0)
	m.cutRegions("siliguri", "kolkata", 0)
	m.run(time.Minute)
	m.offer(hostName(0), change("patha", 3, 1000))
	m.offer(hostName(2), change("mohor", 4, 1000))
	m.run(time.Minute)
	clear(m.cut)
	m.run(30 * time.Second)
	want := m.nodes[hostName(0)].Node.State()
	if got := len(m.nodes[hostName(0)].Node.Records(mustardramp.RecordChange)); got != 2 {
		t.Errorf("got %d changes, want 2", got)
	}
	for i, host := range m.names {
		if got := m.nodes[host].Node.State(); got != want {
			t.Errorf("%s: got %v, want %v", host, got, want)
		}
		for j := range m.names {
			if got := standingOf(m, i, j); i != j && got != membership.Alive {
				t.Errorf("at %s: standing of %s: got %v, want alive", host, hostName(j), got)
			}
		}
	}
}

func TestDrainingIsKnown(t *testing.T) {
	m := newMesh(t, 1, 12)
	m.deliver(hostName(4), m.nodes[hostName(4)].Drain(m.now))
	m.run(leavingBound)
	for i := range m.names {
		if got := standingOf(m, i, 4); i != 4 && got != membership.Draining {
			t.Errorf("at %s: standing of %s: got %v, want draining", hostName(i), hostName(4), got)
		}
	}
}
