package lease

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/mustardramp/mustardramp"
)

// TestBudgetIsOverspentByRequestsCountedTwice has all backends of two regions be
// ill, or a dial fail: a request counts once, whatever it asks for before it is sent.
func TestBudgetIsOverspentByRequestsCountedTwice(t *testing.T) {
	for name, result := range map[string]mustardramp.Result{
		"all backends ill": mustardramp.ResultError,
		"a dial fails":     mustardramp.ResultDial,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { countRequests(t, result) })
		})
	}
}

// countRequests sends requests whose first attempt ends with a result, and compares
// their number with what all keepers count.
func countRequests(t *testing.T, result mustardramp.Result) {
	net := newNetwork(8,
		standing(1, kolA, 10), standing(2, kolA, 10), standing(3, kolB, 10),
		standing(4, silA, 10), standing(5, silA, 10), standing(6, silA, 10))
	defer net.close()
	settings := terms()
	settings.Pooled = true
	for _, p := range net.pools {
		p.Configure(settings)
	}
	const requests = 100
	for i := range requests {
		p := net.pools[net.hosts[i%len(net.hosts)].Name]
		d := bulk()
		for range 2 {
			slot, err := p.Acquire(t.Context(), d)
			if err != nil {
				break
			}
			d.Tried = append(d.Tried, slot.Backend().ID)
			d.Repeat = result != mustardramp.ResultDial
			slot.Release(result, time.Millisecond)
		}
		time.Sleep(40 * time.Millisecond)
	}
	time.Sleep(time.Second)
	counted := 0
	for _, p := range net.pools {
		for _, d := range p.allDesks() {
			// No further attempt is allowed, so that the account is told.
			account, _ := d.window.Allow(time.Now())
			counted += account.Fresh
		}
	}
	if counted != requests {
		t.Errorf("got %d requests counted, want %d", counted, requests)
	}
}
