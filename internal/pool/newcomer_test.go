package pool

import (
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
)

// TestNewcomersGetWork guards against new backends that stay idle after a
// scale-out at low load, when the known backends have room for all the work.
// Each new backend must get an attempt within two seconds.
func TestNewcomersGetWork(t *testing.T) {
	const (
		known, joining = 10, 5
		pause          = 50 * time.Millisecond
		work           = 100 * time.Millisecond
	)
	now := time.Unix(1_000_000, 0)
	c := NewCore(Config{Terms: terms(), Strategy: LowestCost{}, SingleTier: true})
	var standings []mustardramp.Standing
	used := map[mustardramp.BackendID]int{}
	send := func(attempts int) {
		for range attempts {
			lease, _, denial := c.Offer(now, demand(mustardramp.Urgent))
			if denial != nil || !lease.Valid() {
				t.Fatalf("got no slot (%v), want one", denial)
			}
			used[lease.Backend().ID]++
			now = now.Add(pause)
			c.Finish(now, lease, mustardramp.ResultSuccess, work)
		}
	}
	for i := range known {
		standings = append(standings, serving(i, mustardramp.Place{}, 3))
	}
	c.Update(now, standings)
	send(100)
	for i := range joining {
		standings = append(standings, serving(known+i, mustardramp.Place{}, 3))
		c.Update(now, standings)
	}
	clear(used)
	send(int(2 * time.Second / pause))
	for _, s := range standings[known:] {
		if used[s.Backend.ID] == 0 {
			t.Errorf("got no attempt at %s in two seconds, want one", s.Backend.ID)
		}
	}
}

// TestNoNewcomersBeforeFirstRequest checks that a pool that had no work yet prefers none
// of its backends.
func TestNoNewcomersBeforeFirstRequest(t *testing.T) {
	c := NewCore(Config{Terms: terms(), Strategy: LowestCost{}, SingleTier: true})
	c.Update(start, []mustardramp.Standing{serving(0, mustardramp.Place{}, 3)})
	c.Update(start, []mustardramp.Standing{serving(0, mustardramp.Place{}, 3), serving(1, mustardramp.Place{}, 3)})
	if got := len(c.view.Load().newcomers); got != 0 {
		t.Errorf("got %d newcomers before the first request, want none", got)
	}
}
