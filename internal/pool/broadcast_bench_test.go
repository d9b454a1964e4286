package pool

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
)

// broadcastOnDeviation checks at fixed intervals and shares the waits that
// differ from what the hosts expect, as lease.Pool does.
func broadcastOnDeviation(interval, least time.Duration) waitBroadcast {
	return func(p *poolBalancer, share func(int, [mustardramp.RankCount]time.Duration)) {
		reported := make([][mustardramp.RankCount]time.Duration, len(p.cores))
		at := make([]time.Duration, len(p.cores))
		var check func()
		check = func() {
			now := p.clock.Elapsed()
			for i := range p.cores {
				waits := p.waits(i)
				if !hasDeviated(reported[i], waits, now-at[i], least) {
					continue
				}
				reported[i], at[i] = waits, now
				p.broadcasts++
				share(i, waits)
			}
			if now < p.until {
				p.clock.After(interval, check)
			}
		}
		p.clock.After(interval, check)
	}
}

func hasDeviated(reported, waits [mustardramp.RankCount]time.Duration, age, least time.Duration) bool {
	for r := range waits {
		expected := max(0, reported[r]-age)
		if (waits[r] - expected).Abs() >= max(least, waits[r]/4) {
			return true
		}
	}
	return false
}

// adaptiveBroadcast uses the time window of Hwang and Xu (equation 2), which
// shrinks when the variance of the load changes and grows when it is steady.
func adaptiveBroadcast(initial time.Duration) waitBroadcast {
	const k1, k2 = 0.01, 0.1
	return func(p *poolBalancer, share func(int, [mustardramp.RankCount]time.Duration)) {
		window, before := initial, 0.0
		var broadcast func()
		broadcast = func() {
			var loads []float64
			for i, c := range p.cores {
				share(i, p.waits(i))
				p.broadcasts++
				t := c.view.Load().usage()
				loads = append(loads, float64(t.inFlight)+float64(c.queued.Load()))
			}
			now := variance(loads)
			r := 0.0
			if top := math.Max(now, before); top > 0 {
				r = math.Abs(now-before) / top
			}
			before = now
			switch {
			case r > k2:
				window = time.Duration((1 - k2) * float64(window))
			case r >= k1:
				window = time.Duration((1 - r) * float64(window))
			default:
				window = time.Duration((1 + k1) * float64(window))
			}
			window = max(window, time.Duration(k2*float64(initial)))
			if p.clock.Elapsed() < p.until {
				p.clock.After(window, broadcast)
			}
		}
		p.clock.After(window, broadcast)
	}
}

func variance(values []float64) float64 {
	mean, sum := 0.0, 0.0
	for _, v := range values {
		mean += v / float64(len(values))
	}
	for _, v := range values {
		sum += (v - mean) * (v - mean)
	}
	return sum / float64(len(values))
}

// BenchmarkWaitBroadcasts measures how often keepers should broadcast their
// waits. Stale reports show in the waits, the cost in the broadcasts of each
// keeper per second.
func BenchmarkWaitBroadcasts(b *testing.B) {
	policies := []struct {
		name      string
		broadcast waitBroadcast
	}{
		{"never", nil},
		{"every-100ms", periodicBroadcast(100 * time.Millisecond)},
		{"every-250ms", periodicBroadcast(250 * time.Millisecond)},
		{"every-1s", periodicBroadcast(time.Second)},
		{"error-100ms-10ms", broadcastOnDeviation(100*time.Millisecond, 10*time.Millisecond)},
		{"error-100ms-25ms", broadcastOnDeviation(100*time.Millisecond, 25*time.Millisecond)},
		{"error-100ms-50ms", broadcastOnDeviation(100*time.Millisecond, 50*time.Millisecond)},
		{"error-250ms-25ms", broadcastOnDeviation(250*time.Millisecond, 25*time.Millisecond)},
		{"adaptive-250ms", adaptiveBroadcast(250 * time.Millisecond)},
		{"adaptive-1s", adaptiveBroadcast(time.Second)},
	}
	for _, load := range []int{50, 80, 95, 300} {
		for _, w := range policies {
			b.Run(fmt.Sprintf("load=%d/%s", load, w.name), func(b *testing.B) {
				for range b.N {
					f := newFleet(fleetSize{hosts: 40, backends: 9, slots: 6}, fleetSeed)
					p := keepers(f, false, w.broadcast).(*poolBalancer)
					f.load(p, mustardramp.Normal, float64(load)/100*f.capacity(), 0, f.until, 10*time.Second)
					f.run()
					t := f.total()
					b.ReportMetric(0, "ns/op")
					b.ReportMetric(t.mean().Seconds()*1000, "wait-ms")
					b.ReportMetric(t.quantile(0.99).Seconds()*1000, "wait-p99-ms")
					b.ReportMetric(100*f.utilization(), "use-%")
					b.ReportMetric(100*t.servedShare(), "served-%")
					b.ReportMetric(float64(p.broadcasts)/float64(len(p.cores))/f.until.Seconds(), "broadcasts/s")
				}
			})
		}
	}
}
