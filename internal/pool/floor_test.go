package pool

import (
	"slices"
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
)

// TestFloorIsUsedWhileWorkFails guards against backends that stay unused after
// they recover. Four of ten backends failed three seconds ago and are healthy
// again, while one request in five fails at the others. In the next two seconds
// at least the floor of the backends must get attempts.
func TestFloorIsUsedWhileWorkFails(t *testing.T) {
	const (
		backends  = 10
		unhealthy = 4
		floor     = 7 // of ten: the floor of 70 %
	)
	now := time.Unix(1_000_000, 0)
	c := NewCore(Config{Terms: terms(), Strategy: LowestCost{}, SingleTier: true})
	var standings []mustardramp.Standing
	for i := range backends {
		standings = append(standings, serving(i, mustardramp.Place{}, 6))
	}
	c.Update(now, standings)
	at := now.UnixNano()
	c.view.Load().each(func(m *member) {
		for i := range unhealthy {
			if m.backend.ID == standings[i].Backend.ID {
				m.estimate.observe(at, failureEvidence)
				m.estimate.observe(at, failureEvidence)
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
		result := mustardramp.ResultSuccess
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

// TestHealthyBackendsLeftUnused guards the floor in every 2 s window: seven in
// ten of the healthy backends get requests. A backend is healthy if it was not
// in its unhealthy state for 6 s and lost no request by chance for 2 s.
func TestHealthyBackendsLeftUnused(t *testing.T) {
	const (
		seeds       = 10
		floor       = 0.7
		window      = 2 * time.Second
		healthyTime = 6 * time.Second
		step        = 250 * time.Millisecond
	)
	tests := map[string]scenario{
		"mohor, one region": {faults: quietDayFaults, backends: 11, perSecond: 44},
		"low load":          {faults: quietDayFaults, backends: 11, perSecond: 25},
		"tildeling":         {faults: quietDayFaults, backends: 8, perSecond: 50},
		"rare faults":       {faults: faultModel{unhealthy: 7 * time.Second, healthy: 2 * time.Minute, failureRate: unhealthyFailureRate}, backends: 11, perSecond: 44},
		"short faults":      {faults: faultModel{unhealthy: 2 * time.Second, healthy: 16 * time.Second, failureRate: unhealthyFailureRate}, backends: 11, perSecond: 44},
		"long faults":       {faults: faultModel{unhealthy: 30 * time.Second, healthy: time.Minute, failureRate: 1}, backends: 11, perSecond: 44},
		"partial failures":  {faults: faultModel{unhealthy: 7 * time.Second, healthy: 16 * time.Second, failureRate: 0.3}, backends: 11, perSecond: 44},
		"large service":     {faults: quietDayFaults, backends: 22, perSecond: 90},
		"no faults":         {faults: faultModel{unhealthy: time.Nanosecond, healthy: time.Hour}, backends: 11, perSecond: 44},
	}
	for name, s := range tests {
		t.Run(name, func(t *testing.T) {
			windows, low := 0, 0
			for seed := range uint64(seeds) {
				r := replay(LowestCost{}, true, s, seed)
				for w := start.Add(healthyTime); w.Add(window).Before(start.Add(replayTime)); w = w.Add(step) {
					healthyCount, used := 0, 0
					for i := range s.backends {
						if overlaps(r.unhealthySpans[i], w.Add(-healthyTime), w.Add(window)) || within(r.failedAt[i], w.Add(-window), w.Add(window)) {
							continue
						}
						healthyCount++
						if within(r.sentAt[i], w, w.Add(window)) {
							used++
						}
					}
					windows++
					if float64(used) < floor*float64(healthyCount) {
						low++
					}
				}
			}
			if low > 0 {
				t.Errorf("got fewer than %v of the healthy backends used in %d of %d windows of %v, want none", floor, low, windows, window)
			}
		})
	}
}

// within reports whether one of the sorted times lies in [from, to).
func within(times []time.Time, from, to time.Time) bool {
	i, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	return i < len(times) && times[i].Before(to)
}

// overlaps reports whether one of the spans overlaps the time between from and
// to.
func overlaps(spans []span, from, to time.Time) bool {
	return slices.ContainsFunc(spans, func(s span) bool { return s.from.Before(to) && s.to.After(from) })
}
