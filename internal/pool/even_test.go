package pool

import (
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
)

// TestHealthyBackendsGetEqualWork guards against a choice by the small differences of
// risk between healthy backends. The risk is lowest at the backend that was used
// last, so that a few backends would get most of a light load.
func TestHealthyBackendsGetEqualWork(t *testing.T) {
	const (
		backends = 12
		requests = 1200
		most     = 1.5 // times the mean
		work     = 50 * time.Millisecond
	)
	now := time.Unix(1_000_000, 0)
	c := NewCore(Config{Terms: terms(), Strategy: LowestCost{}, SingleTier: true})
	var standings []mustardramp.Standing
	for i := range backends {
		standings = append(standings, serving(i, mustardramp.Place{}, 3))
	}
	c.Update(now, standings)
	arrivals := map[mustardramp.BackendID]int{}
	busiest := 0
	var running []Lease
	for range requests {
		lease, _, denial := c.Offer(now, demand(mustardramp.Urgent))
		if denial != nil || !lease.Valid() {
			t.Fatalf("got no slot (%v), want one", denial)
		}
		arrivals[lease.Backend().ID]++
		busiest = max(busiest, arrivals[lease.Backend().ID])
		running = append(running, lease)
		now = now.Add(work / 4)
		if len(running) == 4 {
			c.Finish(now, running[0], mustardramp.ResultSuccess, work)
			running = running[1:]
		}
	}
	if got := float64(busiest) * backends / requests; got > most {
		t.Errorf("got %.2f times the mean at the busiest backend, want at most %.1f", got, most)
	}
}
