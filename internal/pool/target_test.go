package pool

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
)

// running is an attempt that ends at a time.
type running struct {
	lease Lease
	began time.Time
	ends  time.Time
	// arrived is when the request came.
	arrived time.Time
}

// runningHeap orders attempts by their end.
type runningHeap []running

func (h runningHeap) Len() int           { return len(h) }
func (h runningHeap) Less(i, j int) bool { return h[i].ends.Before(h[j].ends) }
func (h runningHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *runningHeap) Push(x any)        { *h = append(*h, x.(running)) }
func (h *runningHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// overloadResult counts the requests of an overload.
type overloadResult struct {
	offered, served, onTime int
}

// replayOverload offers requests of 200 ms with a target of 800 ms and a deadline of
// 1,500 ms to 12 backends of 3 slots. load returns the load at a time as a multiple of
// the capacity. Without targets the pool is not told of them.
func replayOverload(length time.Duration, load func(time.Duration) float64, tellTargets bool) overloadResult {
	const (
		backends, slots = 12, 3
		meanWork        = 200 * time.Millisecond
		target          = 800 * time.Millisecond
		deadline        = 1500 * time.Millisecond
		callers         = 20
	)
	random := rand.New(rand.NewPCG(3, 5))
	core := NewCore(Config{Terms: Terms{}, Strategy: LowestCost{}, SingleTier: true, Seed: 3})
	var standings []mustardramp.Standing
	for i := range backends {
		standings = append(standings, serving(i, mustardramp.Place{}, slots))
	}
	now := start
	core.Update(now, standings)
	var out overloadResult
	var inProgress runningHeap
	type waiter struct {
		ticket  *Ticket
		arrived time.Time
	}
	var waiting []waiter
	begin := func(lease Lease, arrived time.Time) {
		work := time.Duration((0.5 + random.Float64()) * float64(meanWork))
		heap.Push(&inProgress, running{lease: lease, began: now, ends: now.Add(work), arrived: arrived})
	}
	collect := func() {
		waiting = slices.DeleteFunc(waiting, func(w waiter) bool {
			lease, denial, settled := core.Settled(w.ticket)
			if settled && denial == nil {
				begin(lease, w.arrived)
			}
			return settled
		})
	}
	finishUntil := func(t time.Time) {
		for len(inProgress) > 0 && !inProgress[0].ends.After(t) {
			r := heap.Pop(&inProgress).(running)
			now = r.ends
			core.Finish(now, r.lease, mustardramp.ResultSuccess, r.ends.Sub(r.began))
			out.served++
			if r.ends.Sub(r.arrived) <= target {
				out.onTime++
			}
			collect()
		}
		now = t
	}
	for t := start; t.Sub(start) < length; {
		rate := load(t.Sub(start)) * backends * slots / meanWork.Seconds()
		t = t.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		finishUntil(t)
		out.offered++
		d := mustardramp.Demand{Rank: mustardramp.Normal, Caller: mustardramp.CallerName(strconv.Itoa(random.IntN(callers))), Deadline: t.Add(deadline)}
		if tellTargets {
			d.Target = t.Add(target)
		}
		lease, ticket, denial := core.Offer(t, d)
		switch {
		case denial != nil:
		case lease.Valid():
			begin(lease, t)
		default:
			waiting = append(waiting, waiter{ticket, t})
		}
	}
	finishUntil(now.Add(time.Minute))
	return out
}

// TestOverloadMakesAllAnswersLate guards against a queue that serves the oldest request
// first under lasting overload, so that nearly every answer misses its target although
// the slots serve as many requests as they can. A short burst must still be served in
// full, late where it must be.
func TestOverloadMakesAllAnswersLate(t *testing.T) {
	lasting := func(time.Duration) float64 { return 1.3 }
	burst := func(at time.Duration) float64 {
		if at%(5*time.Second) < 700*time.Millisecond {
			return 2.4
		}
		return 0.5
	}
	for name, tc := range map[string]struct {
		load func(time.Duration) float64
		// minOnTime and minServed are the least shares of the served, and of what is
		// served without targets.
		minOnTime, minServed float64
	}{
		"lasting overload": {lasting, 0.8, 0.97},
		"bursts":           {burst, 0.65, 0.97},
	} {
		t.Run(name, func(t *testing.T) {
			without := replayOverload(20*time.Second, tc.load, false)
			got := replayOverload(20*time.Second, tc.load, true)
			t.Logf("without targets %+v, with targets %+v", without, got)
			if share := float64(got.onTime) / float64(got.served); share < tc.minOnTime {
				t.Errorf("got %.2f of the served requests within the target (%.2f without targets), want at least %.2f",
					share, float64(without.onTime)/float64(without.served), tc.minOnTime)
			}
			if share := float64(got.served) / float64(without.served); share < tc.minServed {
				t.Errorf("got %d requests served, want at least %.2f of the %d without targets", got.served, tc.minServed, without.served)
			}
		})
	}
}
