package exchange

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/membership"
)

// TestChangeBurstOverBusyLinks guards against late changes when several follow
// each other quickly while uploads fill the links of a large fleet. There are 98
// entry hosts and 5 control hosts, and each message takes 200 ms. Each change, or a
// newer one, must be in force at every host within 2 s: the least bound of the
// deployments, 2.5 s, less half a second for the request that shows the change.
func TestChangeBurstOverBusyLinks(t *testing.T) {
	const (
		controls = 5
		hosts    = controls + 98
		changes  = 15
		pause    = 250 * time.Millisecond
		size     = 5000 // the bytes of a table of 25 routes
		bound    = 2 * time.Second
	)
	m := newMeshWithControls(t, 1, hosts, controls)
	m.oneWayDelay = 200 * time.Millisecond
	m.run(5 * time.Second)
	late := 0
	for i := range uint64(changes) {
		for control := range controls {
			m.offer(hostName(control), change("*", i+1, size))
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

// TestChangeDoesNotWaitForAnOlderOne offers changes in a row while the request
// with the first one is still in flight to a direct host on a busy link. Each must
// be sent at once.
func TestChangeDoesNotWaitForAnOlderOne(t *testing.T) {
	n := NewNode("control", 1, controlRate)
	n.SetLinks(start, []Peer{{Name: "entry", Address: hostAddress(1), Direct: true, ChangesOnly: true}})
	for i := range uint64(4) {
		now := start.Add(time.Duration(i) * minBatchPause)
		n.Offer(now, change("*", i+1, 3000))
		sends, _ := n.Poll(now)
		if len(sends) != 1 || len(sends[0].Request.Records) == 0 {
			t.Errorf("got %d requests for change %d, want one that carries it", len(sends), i+1)
		}
	}
}

// TestDirectHostLacksAnOlderChange guards against the loss of changes that were
// committed before the link to a direct host was opened. The heartbeats must bring
// them.
func TestDirectHostLacksAnOlderChange(t *testing.T) {
	const bound = changeBound
	control, entry := NewNode("control", 1, controlRate), NewNode("entry", 2, 0)
	for i := range uint64(3) {
		control.Offer(start, change(fmt.Sprint("service-", i), i+1, 3000))
	}
	entry.Offer(start, change("service-0", 1, 3000))
	control.SetLinks(start, []Peer{{Name: "entry", Address: hostAddress(1), Direct: true, ChangesOnly: true}})
	for now := start; now.Sub(start) < bound; now = now.Add(minBatchPause) {
		sends, _ := control.Poll(now)
		for _, s := range sends {
			resp, _, err := entry.HandleRequest(now, s.Request)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := control.HandleResponse(now, s.To.Name, s.Request, resp); err != nil {
				t.Fatal(err)
			}
		}
	}
	if got, want := entry.State(), control.State(); got != want {
		t.Errorf("got %v after %v, want %v", got, bound, want)
	}
}

// TestStatePollsBackOff asks a control host whose answers bring nothing new. In a
// fleet in which control hosts have direct links to a part of the hosts, the others
// must not ask all the time.
func TestStatePollsBackOff(t *testing.T) {
	c := NewCore(start, newHost(9, membership.Entry), []netip.AddrPort{hostAddress(0)}, 0)
	c.Node.SetConfirmed(true)
	polls := 0
	for now := start; now.Sub(start) < time.Minute; now = now.Add(statePollInterval) {
		if control, _ := c.NextStatePoll(now); control.IsValid() {
			polls++
			if _, err := c.HandleState(now, control, confirmedState{State: c.Node.State()}); err != nil {
				t.Fatal(err)
			}
		}
	}
	if limit := int(time.Minute / maxSilenceLimit); polls < limit/2 || polls > limit+2 {
		t.Errorf("got %d polls in a minute, want %d to %d", polls, limit/2, limit+2)
	}
}

// TestMessageOfAnOutdatedSenderCountsAsContact sends an entry host the heartbeats of
// a control host that no quorum confirms, or whose changes differ from the entry
// host's. Neither shows that the entry host is up to date, so it must ask a control
// host.
func TestMessageOfAnOutdatedSenderCountsAsContact(t *testing.T) {
	for test, tc := range map[string]struct {
		ready, differ, asks bool
	}{
		"confirmed":                     {ready: true},
		"isolated":                      {asks: true},
		"confirmed, with other changes": {ready: true, differ: true, asks: true},
	} {
		t.Run(test, func(t *testing.T) {
			control := newControlCore(0)
			c := NewCore(start, newHost(9, membership.Entry), []netip.AddrPort{hostAddress(0)}, 0)
			c.Offer(start, control.Members.Statement(), change("*", 1, 100))
			c.Node.SetConfirmed(true)
			digests := c.Node.Digests()
			if tc.differ {
				digests[mustardramp.RecordChange]++
			}
			for now := start.Add(minBatchPause); now.Sub(start) < 2*minSilenceLimit; now = now.Add(changesOnlyHeartbeat) {
				if _, _, err := c.HandleRequest(now, &Request{From: control.Members.Self().Name, Ready: tc.ready, Digests: digests}); err != nil {
					t.Fatal(err)
				}
			}
			asked, _ := c.NextStatePoll(start.Add(2 * minSilenceLimit))
			if asked.IsValid() != tc.asks {
				t.Errorf("got a request to %v, want one: %t", asked, tc.asks)
			}
		})
	}
}

// newControlCore returns a control host in the zone of its number.
func newControlCore(number int) *Core {
	statement := newHost(number, membership.Control)
	statement.Address, statement.Incarnation = hostAddress(number), 1
	return NewCore(start, statement, nil, 0)
}

// TestAskingHostGetsNoChanges lets a host that no control host sends changes to ask one
// that is not the nearest. That one must send it changes for a time, whether the host
// is stopping or another control host counts as nearer.
func TestAskingHostGetsNoChanges(t *testing.T) {
	for test, tc := range map[string]struct {
		ready, leaving, isTarget bool
	}{
		"serving":  {ready: true, isTarget: true},
		"stopping": {ready: true, leaving: true, isTarget: true},
		"started":  {},
	} {
		t.Run(test, func(t *testing.T) {
			control, nearest := newControlCore(1), newControlCore(0)
			entry := newHost(len(zones), membership.Entry)
			entry.Leaving = tc.leaving
			c := NewCore(start, entry, nil, 0)
			control.Offer(start, nearest.Members.Statement())
			control.HandleStateRequest(start, stateRequest{Statement: c.Members.Statement(), Ready: tc.ready})
			isTarget := func(now time.Time) bool {
				return slices.ContainsFunc(control.Members.DirectTargets(now), func(h membership.Host) bool { return h.Name == entry.Name })
			}
			if got := isTarget(start.Add(time.Second)); got != tc.isTarget {
				t.Errorf("got changes sent after the host asked: %t, want %t", got, tc.isTarget)
			}
			if isTarget(start.Add(time.Hour)) {
				t.Error("got changes sent an hour later, want none")
			}
		})
	}
}
