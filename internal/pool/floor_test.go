package pool

import (
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
)

// TestFloorIsUsedWhileWorkFails has four of ten backends that failed three
// seconds ago and are well again, while one request in five fails at the
// others. For two seconds more than a tenth of the work is lost: at least the
// floor of the backends must be tried meanwhile.
func TestFloorIsUsedWhileWorkFails(t *testing.T) {
	const (
		backends = 10
		ill      = 4
		floor    = 7 // of ten: the floor of 70 %
	)
	now := time.Unix(1_000_000, 0)
	c := NewCore(Config{Terms: terms(), Strategy: Soundest{}, Flat: true})
	var standings []mustardramp.Standing
	for i := range backends {
		standings = append(standings, serving(i, mustardramp.Place{}, 6))
	}
	c.Update(now, standings)
	at := now.UnixNano()
	c.view.Load().each(func(m *member) {
		for i := range ill {
			if m.backend.ID == standings[i].Backend.ID {
				m.belief.observe(at, sign)
				m.belief.observe(at, sign)
			}
		}
	})
	now = now.Add(3 * time.Second)
	used := map[mustardramp.BackendID]bool{}
	for i := range 40 {
		lease, _, denial := c.Offer(now, demand(mustardramp.Urgent))
		if denial != nil || !lease.Valid() {
			t.Fatalf("got no slot (%v), want one", denial)
		}
		used[lease.Backend().ID] = true
		result := mustardramp.ResultGood
		if i%5 == 0 {
			result = mustardramp.ResultError
		}
		now = now.Add(50 * time.Millisecond)
		c.Finish(now, lease, result, 50*time.Millisecond)
	}
	if len(used) < floor {
		t.Errorf("got %d of %d backends used in two seconds, want at least %d", len(used), backends, floor)
	}
}
