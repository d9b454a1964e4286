package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
)

// flood is the offered work by rank, as a multiple of the capacity.
type flood [mustardramp.RankCount]float64

var floods = map[string]flood{
	"calm":   {0.40, 0.30, 0.20},
	"bulk":   {0.50, 0.20, 5},
	"urgent": {3, 0.50, 0.50},
	"both":   {3, 0.50, 5},
}

var rankDeadlines = [mustardramp.RankCount]time.Duration{5 * time.Second, 10 * time.Second, 30 * time.Second}

// disciplines are ways to order the ranks.
var disciplines = map[string]func(*fleet){
	"shares": func(*fleet) {},
	"strict": func(f *fleet) {
		for r := range f.terms.Ranks {
			f.terms.Ranks[r].Share = 0
		}
	},
	"fifo": func(f *fleet) { f.fifo = true },
}

func runFlood(s fleetSize, seed uint64, offered flood, discipline func(*fleet), build func(*fleet) balancer) *fleet {
	f := newFleet(s, seed)
	discipline(f)
	w := build(f)
	for _, r := range mustardramp.Ranks() {
		f.load(w, r, offered[r]*f.capacity(), 0, f.until, rankDeadlines[r])
	}
	f.run()
	return f
}

// BenchmarkRanks measures what each rank gets in a flood, by balancer and by
// discipline.
func BenchmarkRanks(b *testing.B) {
	balancers := map[string]func(*fleet) balancer{
		"local":          func(f *fleet) balancer { return local(f, nil) },
		"leases":         leases,
		"leases-proxied": func(f *fleet) balancer { return keepers(f, true, leaseBroadcast()) },
	}
	for _, w := range []string{"local", "leases", "leases-proxied"} {
		for _, fl := range []string{"calm", "bulk", "urgent", "both"} {
			for _, d := range []string{"shares", "strict", "fifo"} {
				b.Run(fmt.Sprintf("%s/%s/%s", w, fl, d), func(b *testing.B) {
					for range b.N {
						f := runFlood(fleetSize{hosts: 40, backends: 9, slots: 6}, fleetSeed, floods[fl], disciplines[d], balancers[w])
						b.ReportMetric(0, "ns/op")
						for _, r := range mustardramp.Ranks() {
							o := f.tally[r]
							b.ReportMetric(100*o.servedShare(), r.String()+"-served-%")
							b.ReportMetric(o.quantile(0.99).Seconds()*1000, r.String()+"-p99-ms")
							b.ReportMetric(100*f.utilizationBy(r), r.String()+"-of-slots-%")
						}
						b.ReportMetric(100*f.utilization(), "use-%")
						b.ReportMetric(float64(f.attempts)/float64(max(1, f.total().served)), "attempts/served")
					}
				})
			}
		}
	}
}
