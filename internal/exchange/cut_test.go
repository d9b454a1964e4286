package exchange

import (
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
