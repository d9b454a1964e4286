package exchange

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
)

// TestEntryHostsConfirmAnIsolatedControlHost guards against a control host that counts
// as confirmed without a quorum, because the entry hosts that it feeds hold what it
// holds.
func TestEntryHostsConfirmAnIsolatedControlHost(t *testing.T) {
	c := newControlCore(0)
	c.Node.SetConfirmed(true)
	var peers []Peer
	for i := 1; i <= 2*minReadyPeers; i++ {
		peers = append(peers, Peer{Name: hostName(i), Address: hostAddress(i)})
	}
	c.Node.SetLinks(start, peers)
	c.Node.SetConfirmed(false)
	for i, p := range peers {
		now := start.Add(time.Duration(i) * minBatchPause)
		resp := &Response{Ready: true, Digests: c.Node.Digests(), Newest: c.Node.Newest()}
		if _, err := c.HandleResponse(now, Send{To: p, Request: &Request{}}, resp); err != nil {
			t.Fatal(err)
		}
	}
	if c.Node.Ready() {
		t.Errorf("got a ready control host after the answers of %d ready entry hosts, want it ready by a quorum only", len(peers))
	}
}

// TestChangesAreLateBesideIsolatedControlHosts cuts the control hosts of one region, or
// one control host, off from the others, while the entry hosts have spent their savings
// of bytes. All entry hosts still reach all control hosts. The changes that the majority
// accepts must be in force everywhere in time.
func TestChangesAreLateBesideIsolatedControlHosts(t *testing.T) {
	const (
		controls = 5
		hosts    = controls + 44
		changes  = 20
		pause    = 330 * time.Millisecond
		size     = 5000 // the bytes of a table of 25 routes
		inForce  = 2 * time.Second
	)
	for test, tc := range map[string]struct {
		isolated []int
		oneWay   time.Duration
		loss     float64
	}{
		"region":                 {isolated: []int{2, 3}, oneWay: idleOneWayDelay},
		"region, busy links":     {isolated: []int{2, 3}, oneWay: 100 * time.Millisecond},
		"one host":               {isolated: []int{1}, oneWay: idleOneWayDelay},
		"one host, message loss": {isolated: []int{1}, oneWay: idleOneWayDelay, loss: 0.01},
	} {
		t.Run(test, func(t *testing.T) {
			for seed := range uint64(*randomSeeds) {
				m := newMeshWithControls(t, seed, hosts, controls)
				m.oneWayDelay, m.loss = tc.oneWay, tc.loss
				m.startConfirming()
				for i := controls; i < hosts; i++ {
					budget := m.nodes[hostName(i)].Node.budget
					budget.forceSpend(m.now, budget.updates.Burst())
				}
				epoch := uint64(1)
				m.offerAtControls(change("*", epoch, size), nil)
				m.run(reconnectBound)
				m.isolateControls(tc.isolated)
				connected := m.now.Add(reconnectBound)
				late := map[mustardramp.HostName]int{}
				for range changes {
					epoch++
					want := epoch
					m.offerAtControls(change("*", epoch, size), tc.isolated)
					m.after(later(m.now.Add(inForce), connected).Sub(m.now), func() {
						for i := controls; i < hosts; i++ {
							if uint64(m.nodes[hostName(i)].Node.Newest()) < want {
								late[hostName(i)]++
							}
						}
					})
					m.run(pause)
				}
				m.run(reconnectBound)
				if len(late) > 0 {
					t.Errorf("seed %d: got changes late at %d of %d entry hosts, want none: %s", seed, len(late), hosts-controls, fmt.Sprint(late))
				}
			}
		})
	}
}

// startConfirming makes each control host confirm its log at intervals, as confirmLog
// does.
func (m *mesh) startConfirming() {
	for i := range m.controls {
		m.confirm(hostName(i), m.nodes[hostName(i)])
	}
}

// confirm models one confirmation by a quorum and the pause after it.
func (m *mesh) confirm(host mustardramp.HostName, c *Core) {
	if m.nodes[host] != c {
		return
	}
	begun, timeout, succeeds := m.now, c.Node.confirmTimeout(m.now), m.hasQuorum(host)
	took := timeout
	if succeeds {
		took = min(timeout, 4*m.oneWayDelay)
	}
	m.after(took, func() {
		c.Node.noteQuorumRead(m.now, begun, succeeds && took < timeout)
		m.wake(host)
		m.after(max(0, begun.Add(confirmInterval).Sub(m.now)), func() { m.confirm(host, c) })
	})
}

// hasQuorum reports whether a control host reaches most control hosts both ways.
func (m *mesh) hasQuorum(host mustardramp.HostName) bool {
	reached := 0
	for i := range m.controls {
		other := hostName(i)
		if !m.down[other] && !m.cut[direction{host, other}] && !m.cut[direction{other, host}] {
			reached++
		}
	}
	return !m.down[host] && 2*reached > m.controls
}

// isolateControls cuts some control hosts off from the other control hosts.
func (m *mesh) isolateControls(isolated []int) {
	for i := range m.controls {
		for _, other := range isolated {
			isCut := i != other && !slices.Contains(isolated, i)
			m.cut[direction{hostName(i), hostName(other)}] = isCut
			m.cut[direction{hostName(other), hostName(i)}] = isCut
		}
	}
}

// offerAtControls offers a record at all control hosts but the isolated ones.
func (m *mesh) offerAtControls(r mustardramp.Record, isolated []int) {
	for i := range m.controls {
		if !slices.Contains(isolated, i) {
			m.offer(hostName(i), r)
		}
	}
}
