package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
)

// BenchmarkChoice measures ways to share slots among hosts. Each run simulates
// half a minute; the duration of the run itself is meaningless.
func BenchmarkChoice(b *testing.B) {
	sizes := map[string]fleetSize{
		"patha":    {hosts: 40, backends: 9, slots: 6},
		"mohor":    {hosts: 44, backends: 22, slots: 6},
		"arkivmot": {hosts: 36, backends: 8, slots: 3},
		"tildel":   {hosts: 40, backends: 15, slots: 3},
	}
	balancers := []struct {
		name  string
		build func(*fleet) balancer
	}{
		{"round-robin", roundRobin},
		{"random", random},
		{"least-in-flight", leastInFlight},
		{"threshold-100ms", threshold(100 * time.Millisecond)},
		{"threshold-1s", threshold(time.Second)},
		{"static", static},
		{"two-choices", func(f *fleet) balancer { return local(f, nil) }},
		{"least-filled", func(f *fleet) balancer { return local(f, LeastFilled{}) }},
		{"leases-no-broadcast", func(f *fleet) balancer { return keepers(f, false, nil) }},
		{"leases", leases},
		{"leases-proxied", func(f *fleet) balancer { return keepers(f, true, leaseBroadcast()) }},
	}
	for _, name := range []string{"patha", "mohor", "tildel", "arkivmot"} {
		for _, load := range []int{50, 80, 95, 120} {
			for _, w := range balancers {
				b.Run(fmt.Sprintf("%s/load=%d/%s", name, load, w.name), func(b *testing.B) {
					for range b.N {
						measureChoice(b, sizes[name], float64(load)/100, w.build)
					}
				})
			}
		}
	}
}

func measureChoice(b *testing.B, s fleetSize, load float64, build func(*fleet) balancer) {
	f := newFleet(s, fleetSeed)
	// One backend is slow, and one announces twice the slots that it has.
	f.backends[1].Slowness = 10
	f.backends[2].Slots /= 2
	f.load(build(f), mustardramp.Normal, load*f.capacity(), 0, f.until, 10*time.Second)
	f.run()
	t := f.total()
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(t.mean().Seconds()*1000, "wait-ms")
	b.ReportMetric(t.quantile(0.99).Seconds()*1000, "wait-p99-ms")
	b.ReportMetric(100*float64(f.sheds)/float64(t.offered), "sheds/100")
	b.ReportMetric(100*t.servedShare(), "served-%")
	b.ReportMetric(100*f.utilization(), "use-%")
}
