package exchange

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/mustardramp/mustardramp/internal/membership"
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

// TestFedHostLacksAnOlderChange has a change committed before the link to a fed
// host was made: the heartbeats must bring it.
func TestFedHostLacksAnOlderChange(t *testing.T) {
	const bound = changeBound
	control, entry := NewNode("control", 1, controlRate), NewNode("entry", 2, 0)
	for i := range uint64(3) {
		control.Offer(start, change(fmt.Sprint("service-", i), i+1, 3000))
	}
	entry.Offer(start, change("service-0", 1, 3000))
	control.SetLinks(start, []Peer{{Name: "entry", Address: address(1), Fed: true, Only: true}})
	for now := start; now.Sub(start) < bound; now = now.Add(batchPause) {
		sends, _ := control.Poll(now)
		for _, s := range sends {
			resp, _, err := entry.Answer(now, s.Request)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := control.Done(now, s.To.Name, s.Request, resp); err != nil {
				t.Fatal(err)
			}
		}
	}
	if got, want := entry.State(), control.State(); got != want {
		t.Errorf("got %v after %v, want %v", got, bound, want)
	}
}

// TestUnfedHostAsksLessOften has answers that bring nothing new: in a fleet that
// control hosts feed a part of, the others must not ask all the time.
func TestUnfedHostAsksLessOften(t *testing.T) {
	c := NewCore(start, self(9, membership.Entry), []netip.AddrPort{address(0)}, 0)
	c.Node.SetConfirmed(true)
	asked := 0
	for now := start; now.Sub(start) < time.Minute; now = now.Add(askPause) {
		if control, _ := c.Inquire(now); control.IsValid() {
			asked++
			if _, err := c.Told(now, control, confirmedState{State: c.Node.State()}); err != nil {
				t.Fatal(err)
			}
		}
	}
	if most := int(time.Minute / mostContactTime); asked < most/2 || asked > most+2 {
		t.Errorf("got %d questions in a minute, want %d to %d", asked, most/2, most+2)
	}
}

// TestIsolatedControlHostIsNoContact has a feed of a control host that no quorum
// confirms: the host must ask another for what that one cannot know.
func TestIsolatedControlHostIsNoContact(t *testing.T) {
	for test, isReady := range map[string]bool{"confirmed": true, "isolated": false} {
		t.Run(test, func(t *testing.T) {
			statement := self(0, membership.Control)
			statement.Address, statement.Incarnation = address(0), 1
			control := NewCore(start, statement, nil, 0)
			c := NewCore(start, self(9, membership.Entry), []netip.AddrPort{address(0)}, 0)
			c.Offer(start, control.Members.Statement())
			c.Node.SetConfirmed(true)
			for now := start.Add(batchPause); now.Sub(start) < 2*contactTime; now = now.Add(feedHeartbeat) {
				if _, _, err := c.Answer(now, &Request{From: control.Members.Self().Name, Ready: isReady}); err != nil {
					t.Fatal(err)
				}
			}
			asked, _ := c.Inquire(start.Add(2 * contactTime))
			if asked.IsValid() == isReady {
				t.Errorf("got a question to %v, want one: %t", asked, !isReady)
			}
		})
	}
}
