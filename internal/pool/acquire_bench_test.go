package pool

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
)

// BenchmarkAcquire measures one Acquire and Release without a wait, with the
// backends of 1 service and of 2,000 services. Run it with -cpu 1,8.
func BenchmarkAcquire(b *testing.B) {
	for _, services := range []int{1, 2000} {
		for _, backends := range []int{22, 30} {
			b.Run(fmt.Sprintf("services=%d/backends=%d", services, backends), func(b *testing.B) {
				pools := newPools(services, backends)
				demand := mustardramp.Demand{Rank: mustardramp.Normal, Caller: "clerk"}
				b.ReportAllocs()
				b.ResetTimer()
				b.RunParallel(func(pb *testing.PB) {
					for i := 0; pb.Next(); i++ {
						slot, err := pools[i%services].Acquire(context.Background(), demand)
						if err != nil {
							b.Error(err)
							return
						}
						slot.Release(mustardramp.ResultSuccess, time.Millisecond)
					}
				})
			})
		}
	}
}

// BenchmarkAcquireQueued measures Acquire and Release with more workers than
// slots, so that most acquisitions wait for a release.
func BenchmarkAcquireQueued(b *testing.B) {
	p := New(Config{Terms: terms(), Place: kolA})
	p.Update([]mustardramp.Standing{serving(1, kolA, 2)})
	b.ReportAllocs()
	b.SetParallelism(4)
	b.RunParallel(func(pb *testing.PB) {
		demand := mustardramp.Demand{Rank: mustardramp.Normal, Caller: "clerk"}
		for pb.Next() {
			slot, err := p.Acquire(context.Background(), demand)
			if err != nil {
				b.Error(err)
				return
			}
			slot.Release(mustardramp.ResultSuccess, time.Microsecond)
		}
	})
}

// BenchmarkDenial measures the denial of a request when the queue is full.
func BenchmarkDenial(b *testing.B) {
	c := newCore(serving(1, kolA, 1))
	c.Offer(start, demand(mustardramp.Normal))
	for range 300 {
		c.Offer(start, demand(mustardramp.Normal))
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, _, denial := c.Offer(start, demand(mustardramp.Normal)); denial == nil {
			b.Fatal("got no denial")
		}
	}
}

func newPools(services, backends int) []*Pool {
	pools := make([]*Pool, services)
	for i := range pools {
		pools[i] = New(Config{Terms: terms(), Place: kolA, Seed: uint64(i)})
		var standings []mustardramp.Standing
		for n := range backends {
			standings = append(standings, serving(n, fleetPlaces[n%2], 6))
		}
		pools[i].Update(standings)
	}
	return pools
}
