package roster_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/roster"
)

func benchmarkBackend(i, services int) mustardramp.Backend {
	service := mustardramp.ServiceName(fmt.Sprintf("service-%d", i%services))
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 8080)
	return mustardramp.Backend{
		ID:      mustardramp.BackendID(fmt.Sprintf("%s/%s", service, address)),
		Service: service, Address: address,
		Place: mustardramp.Place{Zone: "kol-a", Region: "kolkata"},
		Slots: 6, Connections: 400, State: mustardramp.Serving, Incarnation: 1_700_000_000, Sequence: 1,
	}
}

// BenchmarkMemory measures the heap bytes that the roster uses for each backend,
// without the records that the exchange keeps. Run it with
// go test -run xxx -bench Memory -benchtime 1x ./internal/roster.
func BenchmarkMemory(b *testing.B) {
	now := time.Unix(1_700_000_000, 0)
	for _, backends := range []int{500, 2000, 8000} {
		b.Run(fmt.Sprintf("backends=%d", backends), func(b *testing.B) {
			for range b.N {
				before := liveHeapBytes()
				table := &roster.Table{}
				for i := range backends {
					if err := table.Announce(now, benchmarkBackend(i, 100), time.Minute); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(liveHeapBytes()-before)/float64(backends), "bytes/backend")
				runtime.KeepAlive(table)
			}
		})
	}
}

// liveHeapBytes returns the size of the live heap objects in bytes.
func liveHeapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
