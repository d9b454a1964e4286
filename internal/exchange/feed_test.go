package exchange

import (
	"testing"
	"time"
)

// TestStormOverBusyLinks replays a storm of changes while uploads fill the
// links of a grown fleet: 98 entry hosts and 5 control hosts, where each
// message takes 200 ms. Each change, or a newer one, must be in force at every
// host within 2.5 s, the least bound of the deployments less half a second for
// the request that tells.
func TestStormOverBusyLinks(t *testing.T) {
	const (
		controls = 5
		hosts    = controls + 98
		changes  = 15
		pause    = 250 * time.Millisecond
		size     = 5000 // of a table of 25 routes
		bound    = 2 * time.Second
	)
	m := newControlledMesh(t, 1, hosts, controls)
	m.oneWay = 200 * time.Millisecond
	m.run(5 * time.Second)
	late := 0
	for i := range uint64(changes) {
		for c := range controls {
			m.offer(name(c), change("*", i+1, size))
		}
		m.after(bound, func() {
			for _, host := range m.names {
				if uint64(m.nodes[host].Node.Newest()) < i+1 {
					late++
				}
			}
		})
		m.run(pause)
	}
	m.run(2 * bound)
	if late > 0 {
		t.Errorf("got %d of %d changes late by host, want none within %v", late, changes*hosts, bound)
	}
}

// TestChangeDoesNotWaitForAnOlderOne offers changes in a row while the first is
// still under way to a fed host on a busy link: each must leave at once.
func TestChangeDoesNotWaitForAnOlderOne(t *testing.T) {
	n := NewNode("control", 1, controlRate)
	n.SetLinks(start, []Peer{{Name: "entry", Address: address(1), Fed: true, Only: true}})
	for i := range uint64(4) {
		now := start.Add(time.Duration(i) * batchPause)
		n.Offer(now, change("*", i+1, 3000))
		sends, _ := n.Poll(now)
		if len(sends) != 1 || len(sends[0].Request.News) == 0 {
			t.Errorf("got %d requests for change %d, want one that carries it", len(sends), i+1)
		}
	}
}
