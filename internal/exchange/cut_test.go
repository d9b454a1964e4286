package exchange

import (
	"fmt"
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
)

// contactWindow is the time after a cut from which the deployments count a host
// as in touch again.
const contactWindow = 3 * time.Second

// cutFromControl cuts the paths between a host and all control hosts, or heals
// them.
func (m *mesh) cutFromControl(host int, isCut bool) {
	for c := range m.controls {
		m.cut[direction{name(host), name(c)}] = isCut
		m.cut[direction{name(c), name(host)}] = isCut
	}
}

// TestConfigurationIsLateAfterACut replays a day on which all entry hosts were cut
// off from control while changes were acknowledged, some for less long than the
// others.
func TestConfigurationIsLateAfterACut(t *testing.T) {
	const (
		controls = 5
		hosts    = controls + 44
		early    = controls + 6
	)
	for test, tc := range map[string]struct {
		oneWay time.Duration
		loss   float64
	}{
		"idle links":           {oneWay: oneWay},
		"busy links":           {oneWay: 100 * time.Millisecond},
		"busy links that lose": {oneWay: 100 * time.Millisecond, loss: 0.03},
	} {
		t.Run(test, func(t *testing.T) {
			for seed := range uint64(*seeds) {
				m := newControlledMesh(t, seed, hosts, controls)
				m.oneWay, m.loss = tc.oneWay, tc.loss
				m.run(5 * time.Second)
				for i := controls; i < hosts; i++ {
					m.cutFromControl(i, true)
				}
				for epoch := range uint64(3) {
					m.run(2 * time.Second)
					for c := range controls {
						m.offer(name(c), change("*", epoch+1, 5000))
					}
				}
				m.run(4 * time.Second)
				for i := controls; i < early; i++ {
					m.cutFromControl(i, false)
				}
				m.run(contactWindow)
				for i := controls; i < early; i++ {
					if got := m.nodes[name(i)].Node.Newest(); got != 3 {
						t.Errorf("seed %d: %s holds change %d %v after its cut, want 3", seed, name(i), got, contactWindow)
					}
				}
			}
		})
	}
}

// TestConfigurationIsLateAfterTheLossOfControl restarts all control hosts without
// what they knew of the fleet: the next change must be in force in time at hosts
// that they have not heard of yet.
func TestConfigurationIsLateAfterTheLossOfControl(t *testing.T) {
	const (
		controls = 5
		hosts    = controls + 130
		// inForce is the time in which a change is in force everywhere.
		inForce = 2 * time.Second
	)
	for seed := range uint64(*seeds) {
		m := newControlledMesh(t, seed, hosts, controls)
		m.oneWay, m.loss = 100*time.Millisecond, 0.03
		m.run(5 * time.Second)
		for c := range controls {
			m.down[name(c)] = true
		}
		m.run(4 * time.Second)
		for c := range controls {
			m.join(c, seed+1).Node.SetConfirmed(true)
		}
		for epoch := range uint64(4) {
			m.run(500 * time.Millisecond)
			for c := range controls {
				m.offer(name(c), change("*", epoch+1, 5000))
			}
			m.run(inForce)
			late := 0
			for i := controls; i < hosts; i++ {
				if m.nodes[name(i)].Node.Newest() != mustardramp.Index(epoch+1) {
					late++
				}
			}
			if late > 0 {
				t.Errorf("seed %d: %d of %d hosts lack change %d after %v", seed, late, hosts-controls, epoch+1, inForce)
			}
		}
	}
}

// TestNewBackendIsUnknownAfterCuts cuts half of a large fleet off several times: a
// backend that then announces itself at the busiest entry host must be known to all
// others within the time in which a leaving one is.
func TestNewBackendIsUnknownAfterCuts(t *testing.T) {
	const (
		controls = 5
		hosts    = controls + 98
		cuts     = 8
		spread   = 3 * time.Second
	)
	m := newControlledMesh(t, 0, hosts, controls)
	m.oneWay, m.loss = 100*time.Millisecond, 0.03
	for cut := range cuts {
		m.cutHalf(hosts)
		m.run(6 * time.Second)
		clear(m.cut)
		m.run(6 * time.Second)
		at, short := m.busiest(hosts)
		backend := mustardramp.Record{
			Kind: mustardramp.RecordBackend, Key: fmt.Sprintf("patha/127.0.0.1:%d", 1000+cut),
			Version: mustardramp.Version{Epoch: 1, Sequence: 1}, Payload: make([]byte, 150),
		}
		late := hosts
		m.heard = func(_ mustardramp.HostName, r mustardramp.Record) {
			if r.Key == backend.Key {
				late--
			}
		}
		m.offer(at, backend)
		m.run(spread)
		if late > 0 {
			t.Errorf("after cut %d, %d hosts short of budget: %d of %d hosts lack a backend %v after it joined, want none",
				cut+1, short, late, hosts, spread)
		}
	}
}

// cutHalf cuts every second entry host off from the other hosts.
func (m *mesh) cutHalf(hosts int) {
	for i := m.controls; i < hosts; i++ {
		for j := range hosts {
			if i%2 == 0 && (j < m.controls || j%2 == 1) {
				m.cut[direction{name(i), name(j)}] = true
				m.cut[direction{name(j), name(i)}] = true
			}
		}
	}
}

// busiest returns the entry host that has spent most, and how many are short of
// budget.
func (m *mesh) busiest(hosts int) (at mustardramp.HostName, short int) {
	at = name(m.controls)
	for i := m.controls; i < hosts; i++ {
		node := m.nodes[name(i)].Node
		if node.Spent() > m.nodes[at].Node.Spent() {
			at = name(i)
		}
		if node.IsShort(m.now) {
			short++
		}
	}
	return at, short
}
