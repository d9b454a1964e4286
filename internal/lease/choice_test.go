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

// TestRequestsSpreadOverKeepers checks that each keeper of a large service gets
// requests in proportion to its slots when no keeper reports a wait.
func TestRequestsSpreadOverKeepers(t *testing.T) {
	const (
		backends = 66 // service tildeling in one region of a large deployment
		requests = 60000
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
	for range requests {
		got[p.choose(&demand, nil).id]++
	}
	for _, g := range groups {
		want := requests * float64(g.slots) / (3 * backends)
		if math.Abs(float64(got[g.id])-want) > within*want {
			t.Errorf("got %d requests at the keeper of part %d, want about %.0f", got[g.id], g.id.Part, want)
		}
	}
}

// TestChooseDuringWaitUpdates checks that a choice always returns a group while the
// reported waits change concurrently.
func TestChooseDuringWaitUpdates(t *testing.T) {
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
				p.recordWait(g.id, mustardramp.Bulk, time.Duration(n%7)*minWaitError)
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
