package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/retry"
)

// BenchmarkRetries measures the attempts per request while some of nine
// backends fail every request at once, and in a flood.
func BenchmarkRetries(b *testing.B) {
	cases := []struct {
		name string
		dead int
		load float64
	}{
		{"dead=0/load=80", 0, 0.8},
		{"dead=1/load=50", 1, 0.5},
		{"dead=3/load=50", 3, 0.5},
		{"dead=9/load=80", 9, 0.8},
		{"dead=0/load=500", 0, 5},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			for range b.N {
				f := newFleet(fleetSize{hosts: 40, backends: 9, slots: 6}, fleetSeed)
				rate := c.load * f.capacity()
				for i := range c.dead {
					f.backends[i].Dead = true
				}
				f.load(leases(f), mustardramp.Normal, rate, 0, f.until, 10*time.Second)
				f.run()
				t := f.total()
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(float64(f.attempts)/float64(t.offered), "attempts/request")
				b.ReportMetric(100*t.servedShare(), "served-%")
			}
		})
	}
}

// BenchmarkHedges measures the gain and the cost of hedges if one of nine
// backends is ten times slower.
func BenchmarkHedges(b *testing.B) {
	for _, load := range []int{30, 50, 80, 95} {
		for _, budget := range []mustardramp.Percent{0, 5, 10, 20} {
			b.Run(fmt.Sprintf("load=%d/budget=%.0f", load, float64(budget)), func(b *testing.B) {
				for range b.N {
					measureHedges(b, float64(load)/100, budget)
				}
			})
		}
	}
}

func measureHedges(b *testing.B, load float64, budget mustardramp.Percent) {
	f := newFleet(fleetSize{hosts: 40, backends: 9, slots: 6}, fleetSeed)
	f.backends[1].Slowness = 10
	for i := range f.hosts {
		f.budgets[i] = retry.New(budget)
		f.hedges = append(f.hedges, &retry.Hedge{Budget: f.budgets[i]})
	}
	f.load(leases(f), mustardramp.Normal, load*f.capacity(), 0, f.until, 10*time.Second)
	f.run()
	t := f.total()
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(t.quantile(0.5).Seconds()*1000, "wait-p50-ms")
	b.ReportMetric(t.quantile(0.99).Seconds()*1000, "wait-p99-ms")
	b.ReportMetric(t.quantile(0.999).Seconds()*1000, "wait-p99.9-ms")
	b.ReportMetric(100*float64(f.hedgeCount)/float64(t.offered), "hedges/100")
	b.ReportMetric(100*f.utilization(), "use-%")
	b.ReportMetric(100*t.servedShare(), "served-%")
}
