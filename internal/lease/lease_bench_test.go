package lease

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/pool"
)

// BenchmarkAcquireLocal measures one Acquire and Release at the host that keeps
// the group, with one and with 2,000 services. Run it with -cpu 1,8.
func BenchmarkAcquireLocal(b *testing.B) {
	for _, services := range []int{1, 2000} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			var pools []*Pool
			for range services {
				p := New(Config{Pool: pool.Config{Terms: terms(), Place: kolA}, Holder: Holder{Host: "host-0"}})
				p.SetHosts([]Host{{Name: "host-0", Place: kolA}})
				var standings []mustardramp.Standing
				for n := range 22 {
					standings = append(standings, standing(n, []mustardramp.Place{kolA, kolB, silA}[n%3], 6))
				}
				p.Update(standings)
				pools = append(pools, p)
			}
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

// BenchmarkAcquireOverLinks measures one Acquire and Release of a lease from
// another host over loopback.
func BenchmarkAcquireOverLinks(b *testing.B) {
	net := newNetwork(4, standing(1, kolA, 100))
	connectOverLinks(b, net)
	p, _ := poolWithRemoteKeeper(net)
	b.ReportAllocs()
	for b.Loop() {
		slot, err := p.Acquire(context.Background(), mustardramp.Demand{Rank: mustardramp.Normal, Caller: "clerk"})
		if err != nil {
			b.Fatal(err)
		}
		slot.Release(mustardramp.ResultSuccess, time.Millisecond)
	}
}

// BenchmarkNewPlan measures the plan of a service with 30 backends and 6,400 hosts:
// without an old plan, with an old plan for the same hosts, and after one host was
// added.
func BenchmarkNewPlan(b *testing.B) {
	places := []mustardramp.Place{kolA, kolB, silA}
	var hosts []Host
	for i := range 6400 {
		hosts = append(hosts, Host{Name: mustardramp.HostName(fmt.Sprint("host-", i)), Place: places[i%3]})
	}
	var standings []mustardramp.Standing
	for n := range 30 {
		standings = append(standings, standing(n, places[n%3], 6))
	}
	all := NewFleet(hosts)
	base := newPlan("patha", standings, all, nil, fleetDiff{})
	tests := map[string]struct {
		old  *plan
		diff fleetDiff
	}{
		"no-old-plan": {},
		"same-hosts":  {old: base},
		"one-added":   {old: base, diff: fleetDiff{added: NewFleet([]Host{{Name: "host-x", Place: kolA}}).hosts}},
	}
	for name, tt := range tests {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				newPlan("patha", standings, all, tt.old, tt.diff)
			}
		})
	}
}
