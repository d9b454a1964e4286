package entry

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/retry"
)

// BenchmarkHedges measures the gain and the cost of hedges when 3 of 100 responses
// take 100 ms instead of 1 ms. Budget 0 disables hedges.
func BenchmarkHedges(b *testing.B) {
	for _, share := range []mustardramp.Percent{0, 2, 5, 10} {
		b.Run(fmt.Sprintf("budget=%v", share), func(b *testing.B) {
			for b.Loop() {
				measureHedges(b, share)
			}
		})
	}
}

func measureHedges(b *testing.B, share mustardramp.Percent) {
	const callers, each = 8, 500
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(9165, 1))
	backend := func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		late := random.IntN(100) < 3
		mu.Unlock()
		pause := time.Millisecond
		if late {
			pause = 100 * time.Millisecond
		}
		select {
		case <-time.After(pause):
			_, _ = io.WriteString(w, "x")
		case <-r.Context().Done():
		}
	}
	c := parseContract(b)
	c.Hedge = true
	f := newFixtureWith(b, c, mustardramp.SystemClock{}, startBackend(b, backend), startBackend(b, backend), startBackend(b, backend))
	f.service.Budget = retry.New(share)
	var times []time.Duration
	var group errgroup.Group
	for range callers {
		group.Go(func() error {
			for range each {
				began := time.Now()
				readBody(b, f.send(b, http.MethodGet, "/files/a", ""))
				mu.Lock()
				times = append(times, time.Since(began))
				mu.Unlock()
			}
			return nil
		})
	}
	_ = group.Wait()
	slices.Sort(times)
	n := len(times)
	b.ReportMetric(times[n/2].Seconds()*1e3, "p50-ms")
	b.ReportMetric(times[n*99/100].Seconds()*1e3, "p99-ms")
	b.ReportMetric(times[n*999/1000].Seconds()*1e3, "p99.9-ms")
	b.ReportMetric(float64(len(f.pool.releasedResults()))/float64(n), "attempts/request")
}
