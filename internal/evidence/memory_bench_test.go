package evidence_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/evidence"
)

// BenchmarkMemory measures the memory that the counters take per backend. It is run
// with go test -run xxx -bench Memory -benchtime 1x ./internal/evidence.
func BenchmarkMemory(b *testing.B) {
	for _, services := range []int{20, 80, 320} {
		b.Run(fmt.Sprintf("backends=%d", services*30), func(b *testing.B) {
			for range b.N {
				before := liveBytes()
				tally := &evidence.Tally{}
				for i := range services {
					service := mustardramp.ServiceName(fmt.Sprint("service-", i))
					roster := make([]mustardramp.Backend, 30)
					for j := range roster {
						roster[j] = mustardramp.Backend{ID: mustardramp.BackendID(fmt.Sprintf("%s/%d", service, j)), Service: service}
					}
					tally.Prepare(time.Unix(1_700_000_000, 0), service, roster)
				}
				b.ReportMetric(float64(liveBytes()-before)/float64(services*30), "bytes/backend")
				runtime.KeepAlive(tally)
			}
		})
	}
}

// liveBytes returns the size of the live objects on the heap.
func liveBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
