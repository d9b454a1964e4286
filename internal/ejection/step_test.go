package ejection_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/ejection"
)

// BenchmarkStep measures one step of one service with outcomes at each backend.
func BenchmarkStep(b *testing.B) {
	for _, n := range []int{8, 22, 300} {
		b.Run(fmt.Sprintf("%d backends", n), func(b *testing.B) {
			h := newSingleHost(backends(n, 6))
			h.run(10, goodOutcome)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				h.now = h.now.Add(tick)
				h.step()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/backend")
		})
	}
}

// BenchmarkMerge measures one report of another host on 22 backends.
func BenchmarkMerge(b *testing.B) {
	from := ejection.New("h2", 1, zones[1])
	list := backends(22, 6)
	from.Step(start, mohor, list)
	to := ejection.New("h1", 1, zones[0])
	to.Step(start, mohor, list)
	records := make([]mustardramp.Record, b.N)
	var size int
	for i := range records {
		now := start.Add(time.Duration(i) * tick)
		for _, backend := range list {
			from.Observe(mustardramp.Observation{Backend: backend.ID, Service: mohor, At: now})
		}
		from.Step(now, mohor, list)
		var err error
		if records[i], err = from.Report(now); err != nil {
			b.Fatal(err)
		}
		size += len(records[i].Payload)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i, record := range records {
		if err := to.Merge(start.Add(time.Duration(i)*tick), record); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(size)/float64(b.N), "B/report")
}
