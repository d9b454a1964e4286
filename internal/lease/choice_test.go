package lease

import (
	"context"
	"math"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/pool"
)

// TestAsksSpreadOverKeepers replays the quiet load of a service that is too
// large for one keeper: no keeper tells of a wait, and each gets the asks that
// its slots are for.
func TestAsksSpreadOverKeepers(t *testing.T) {
	const (
		backends = 66 // tildeling, grown, in one region
		asks     = 60000
		within   = 0.1
	)
	var standings []mustardramp.Standing
	for i := range backends {
		standings = append(standings, standing(i, kolA, 3))
	}
	p := New(Config{Pool: pool.Config{Terms: terms(), Place: kolA}})
	p.Update(standings)
	groups := p.plan.Load().groups
	if len(groups) < 2 {
		t.Fatalf("got %d groups, want several", len(groups))
	}
	got := map[GroupID]int{}
	demand := bulk()
	for range asks {
		got[p.choose(&demand, nil).id]++
	}
	for _, g := range groups {
		want := asks * float64(g.slots) / (3 * backends)
		if math.Abs(float64(got[g.id])-want) > within*want {
			t.Errorf("got %d asks at the keeper of part %d, want about %.0f", got[g.id], g.id.Part, want)
		}
	}
}

// TestChoiceBesideChangingWaits chooses while keepers tell of other waits: each
// choice must name a group.
func TestChoiceBesideChangingWaits(t *testing.T) {
	var standings []mustardramp.Standing
	for i := range 66 {
		standings = append(standings, standing(i, kolA, 3))
	}
	p := New(Config{Pool: pool.Config{Terms: terms(), Place: kolA}})
	p.Update(standings)
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error {
		for n := 0; ctx.Err() == nil; n++ {
			for _, g := range p.plan.Load().groups {
				p.note(g.id, mustardramp.Bulk, time.Duration(n%7)*leastError)
			}
		}
		return nil
	})
	demand := bulk()
	for range 20_000 {
		if p.choose(&demand, nil) == nil {
			t.Error("got no group, want one")
			break
		}
	}
	cancel()
	_ = group.Wait()
}
