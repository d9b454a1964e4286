package exchange

import (
	"fmt"
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
)

// reconnectBound is the time after a cut from which the deployments count a host
// as connected again.
const reconnectBound = 3 * time.Second

// setControlCut cuts the paths between a host and all control hosts, or restores
// them.
func (m *mesh) setControlCut(host int, cut bool) {
	for c := range m.controls {
		m.cut[direction{hostName(host), hostName(c)}] = cut
		m.cut[direction{hostName(c), hostName(host)}] = cut
	}
}

// TestConfigurationIsLateAfterACut cuts all entry hosts off from the control hosts
// while changes are acknowledged, and reconnects some hosts before the others.
// The reconnected hosts must hold the newest change within reconnectBound.
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
		"idle links":                   {oneWay: idleOneWayDelay},
		"busy links":                   {oneWay: 100 * time.Millisecond},
		"busy links with message loss": {oneWay: 100 * time.Millisecond, loss: 0.03},
	} {
		t.Run(test, func(t *testing.T) {
			for seed := range uint64(*randomSeeds) {
				m := newMeshWithControls(t, seed, hosts, controls)
				m.oneWayDelay, m.loss = tc.oneWay, tc.loss
				m.run(5 * time.Second)
				for i := controls; i < hosts; i++ {
					m.setControlCut(i, true)
				}
				for epoch := range uint64(3) {
					m.run(2 * time.Second)
					for c := range controls {
						m.offer(hostName(c), change("*", epoch+1, 5000))
					}
				}
				m.run(4 * time.Second)
				for i := controls; i < early; i++ {
					m.setControlCut(i, false)
				}
				m.run(reconnectBound)
				for i := controls; i < early; i++ {
					if got := m.nodes[hostName(i)].Node.Newest(); got != 3 {
						t.Errorf("seed %d: %s holds change %d %v after its cut, want 3", seed, hostName(i), got, reconnectBound)
					}
				}
			}
		})
	}
}

// TestConfigurationIsLateAfterTheLossOfControl restarts all control hosts without
// their view of the fleet. The next change must be in force in time also at hosts
// that are unknown to them until then.
func TestConfigurationIsLateAfterTheLossOfControl(t *testing.T) {
	const (
		controls = 5
		hosts    = controls + 130
		// inForce is the time in which a change must be in force everywhere.
		inForce = 2 * time.Second
	)
	for seed := range uint64(*randomSeeds) {
		m := newMeshWithControls(t, seed, hosts, controls)
		m.oneWayDelay, m.loss = 100*time.Millisecond, 0.03
		m.run(5 * time.Second)
		for c := range controls {
			m.down[hostName(c)] = true
		}
		m.run(4 * time.Second)
		for c := range controls {
			m.join(c, seed+1).Node.SetConfirmed(true)
		}
		for epoch := range uint64(4) {
			m.run(500 * time.Millisecond)
			for c := range controls {
				m.offer(hostName(c), change("*", epoch+1, 5000))
			}
			m.run(inForce)
			late := 0
			for i := controls; i < hosts; i++ {
				if m.nodes[hostName(i)].Node.Newest() != mustardramp.Index(epoch+1) {
					late++
				}
			}
			if late > 0 {
				t.Errorf("seed %d: %d of %d hosts lack change %d after %v", seed, late, hosts-controls, epoch+1, inForce)
			}
		}
	}
}

// TestNewBackendIsUnknownAfterCuts cuts half of a large fleet off several times.
// After each cut a backend announces itself at the entry host that has spent most
// of its budget. All other hosts must know the backend within the time that holds
// for a leaving one.
func TestNewBackendIsUnknownAfterCuts(t *testing.T) {
	const (
		controls   = 5
		hosts      = controls + 98
		cuts       = 8
		knownBound = 3 * time.Second
	)
	m := newMeshWithControls(t, 0, hosts, controls)
	m.oneWayDelay, m.loss = 100*time.Millisecond, 0.03
	for cut := range cuts {
		m.cutHalf(hosts)
		m.run(6 * time.Second)
		clear(m.cut)
		m.run(6 * time.Second)
		host, short := m.busiest(hosts)
		backend := mustardramp.Record{
			Kind: mustardramp.RecordBackend, Key: fmt.Sprintf("patha/127.0.0.1:%d", 1000+cut),
			Version: mustardramp.Version{Epoch: 1, Sequence: 1}, Payload: make([]byte, 150),
		}
		late := hosts
		m.onAccepted = func(_ mustardramp.HostName, r mustardramp.Record) {
			if r.Key == backend.Key {
				late--
			}
		}
		m.offer(host, backend)
		m.run(knownBound)
		if late > 0 {
			t.Errorf("after cut %d, %d hosts short of budget: %d of %d hosts lack a backend %v after it joined, want none",
				cut+1, short, late, hosts, knownBound)
		}
	}
}

// cutHalf cuts every second entry host off from the other hosts.
func (m *mesh) cutHalf(hosts int) {
	for i := m.controls; i < hosts; i++ {
		for j := range hosts {
			if i%2 == 0 && (j < m.controls || j%2 == 1) {
				m.cut[direction{hostName(i), hostName(j)}] = true
				m.cut[direction{hostName(j), hostName(i)}] = true
			}
		}
	}
}

// busiest returns the entry host that has spent most bytes, and how many entry
// hosts are short of budget.
func (m *mesh) busiest(hosts int) (host mustardramp.HostName, short int) {
	host = hostName(m.controls)
	for i := m.controls; i < hosts; i++ {
		node := m.nodes[hostName(i)].Node
		if node.Spent() > m.nodes[host].Node.Spent() {
			host = hostName(i)
		}
		if node.IsShortOfBudget(m.now) {
			short++
		}
	}
	return host, short
}
