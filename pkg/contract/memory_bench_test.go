package contract_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/mustardramp/mustardramp/pkg/contract"
)

func benchmarkSource(service, routes int) []byte {
	var s strings.Builder
	fmt.Fprintf(&s, "service: service-%d\nhosts: [service-%d.example]\nfloor: 60\nroutes:\n", service, service)
	for i := range routes {
		fmt.Fprintf(&s, "- path: /kind-%d/{id}\n  methods: [GET, HEAD]\n  rank: normal\n  retry: true\n  deadline: 2s\n", i)
	}
	return []byte(s.String())
}

// BenchmarkMemory measures the memory that the contracts in force and their
// sources take on a host. Run it with
//
//	go test -run xxx -bench Memory -benchtime 1x ./pkg/contract
func BenchmarkMemory(b *testing.B) {
	for _, services := range []int{100, 500, 2000} {
		for _, routes := range []int{1, 20} {
			b.Run(fmt.Sprintf("services=%d/routes=%d", services, services*routes), func(b *testing.B) {
				for range b.N {
					before := liveHeapBytes()
					contracts := make([]*contract.Contract, services)
					for i := range contracts {
						c, err := contract.Parse("c.yaml", benchmarkSource(i, routes))
						if err != nil {
							b.Fatal(err)
						}
						contracts[i] = c
					}
					set := contract.NewSet(1, contracts)
					b.ReportMetric(float64(liveHeapBytes()-before)/float64(services), "bytes/service")
					runtime.KeepAlive(set)
				}
			})
		}
	}
}

// BenchmarkParse measures the CPU time of parsing a new revision.
func BenchmarkParse(b *testing.B) {
	for _, routes := range []int{1, 20, 200} {
		source := benchmarkSource(1, routes)
		b.Run(fmt.Sprintf("routes=%d", routes), func(b *testing.B) {
			for b.Loop() {
				if _, err := contract.Parse("c.yaml", source); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkNewSet measures the CPU time of building a new set.
func BenchmarkNewSet(b *testing.B) {
	for _, services := range []int{100, 2000} {
		contracts := make([]*contract.Contract, services)
		for i := range contracts {
			contracts[i], _ = contract.Parse("c.yaml", benchmarkSource(i, 1))
		}
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			for b.Loop() {
				contract.NewSet(1, contracts)
			}
		})
	}
}

// liveHeapBytes returns the size of the heap after a garbage collection, in bytes.
func liveHeapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
