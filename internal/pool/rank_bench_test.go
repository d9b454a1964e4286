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

// disciplines are the ways to order the ranks.
var disciplines = map[string]func(*fleet){
	"shares": func(*fleet) {},
	"strict": func(f *fleet) {
		for r := range f.terms.Ranks {
			f.terms.Ranks[r].Share = 0
		}
	},
	"fifo": func(f *fleet) { f.fifo = true },
}

func runFlood(s size, seed uint64, offered flood, discipline func(*fleet), build func(*fleet) way) *fleet {
	f := newFleet(s, seed)
	discipline(f)
	w := build(f)
	for _, r := range mustardramp.Ranks() {
		f.load(w, r, offered[r]*f.capacity(), 0, f.until, rankDeadlines[r])
	}
	f.run()
	return f
}

func BenchmarkRanks(b *testing.B) {
	ways := map[string]func(*fleet) way{
		"local":    func(f *fleet) way { return local(f, nil) },
		"leases":   leases,
		"carriers": func(f *fleet) way { return keepers(f, true, tell()) },
	}
	for _, w := range []string{"local", "leases", "carriers"} {
		for _, fl := range []string{"calm", "bulk", "urgent", "both"} {
			for _, d := range []string{"shares", "strict", "fifo"} {
				b.Run(fmt.Sprintf("%s/%s/%s", w, fl, d), func(b *testing.B) {
					for range b.N {
						f := runFlood(size{hosts: 40, backends: 9, slots: 6}, fleetSeed, floods[fl], disciplines[d], ways[w])
						b.ReportMetric(0, "ns/op")
						for _, r := range mustardramp.Ranks() {
							o := f.tally[r]
							b.ReportMetric(100*o.share(), r.String()+"-served-%")
							b.ReportMetric(o.quantile(0.99).Seconds()*1000, r.String()+"-p99-ms")
							b.ReportMetric(100*f.useOf(r), r.String()+"-of-slots-%")
						}
						b.ReportMetric(100*f.use(), "use-%")
						b.ReportMetric(float64(f.attempts)/float64(max(1, f.total().served)), "attempts/served")
					}
				})
			}
		}
	}
}
