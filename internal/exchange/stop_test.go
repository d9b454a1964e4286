package exchange

import (
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
)

// TestStoppingHostFallsBehind drains every fourth entry host while changes are
// acknowledged. A host serves until its stop ends, so each change must be in force
// at the stopping ones in the time that holds for the others.
func TestStoppingHostFallsBehind(t *testing.T) {
	const (
		controls = 5
		hosts    = controls + 36
		changes  = 20
		pause    = 300 * time.Millisecond
		size     = 3000 // bytes of a change
		loss     = 0.03
		// inForce is the time in which a change must be in force everywhere.
		inForce = 2 * time.Second
	)
	for test, oneWay := range map[string]time.Duration{
		"idle links": idleOneWayDelay,
		"busy links": 100 * time.Millisecond,
	} {
		t.Run(test, func(t *testing.T) {
			for seed := range uint64(*randomSeeds) {
				m := newMeshWithControls(t, seed, hosts, controls)
				m.oneWayDelay, m.loss = oneWay, loss
				m.run(5 * time.Second)
				for i := controls; i < hosts; i += 4 {
					m.deliver(hostName(i), m.nodes[hostName(i)].Drain(m.now))
				}
				late := map[mustardramp.HostName]int{}
				for i := range uint64(changes) {
					for c := range controls {
						m.offer(hostName(c), change("*", i+1, size))
					}
					m.after(inForce, func() {
						for _, host := range m.names[controls:] {
							if uint64(m.nodes[host].Node.Newest()) < i+1 {
								late[host]++
							}
						}
					})
					m.run(pause)
				}
				m.run(2 * inForce)
				if len(late) > 0 {
					t.Errorf("seed %d: got changes late by host %v, want none of %d within %v", seed, late, changes, inForce)
				}
			}
		})
	}
}
