package pool

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
)

// onError looks at fixed intervals and tells the waits where what hosts expect
// has become wrong, as lease.Pool does.
func onError(interval, least time.Duration) telling {
	return func(p *pooled, share func(int, [mustardramp.RankCount]time.Duration)) {
		told := make([][mustardramp.RankCount]time.Duration, len(p.cores))
		at := make([]time.Duration, len(p.cores))
		var look func()
		look = func() {
			now := p.clock.Elapsed()
			for i := range p.cores {
				waits := p.waits(i)
				if !wrong(told[i], waits, now-at[i], least) {
					continue
				}
				told[i], at[i] = waits, now
				p.told++
				share(i, waits)
			}
			if now < p.until {
				p.clock.After(interval, look)
			}
		}
		p.clock.After(interval, look)
	}
}

func wrong(told, waits [mustardramp.RankCount]time.Duration, age, least time.Duration) bool {
	for r := range waits {
		expected := max(0, told[r]-age)
		if (waits[r] - expected).Abs() >= max(least, waits[r]/4) {
			return true
		}
	}
	return false
}

// adaptive is the time window of Hwang and Xu (equation 2): it shrinks when
// the variance of the load moves and grows when it is steady.
func adaptive(initial time.Duration) telling {
	const k1, k2 = 0.01, 0.1
	return func(p *pooled, share func(int, [mustardramp.RankCount]time.Duration)) {
		window, before := initial, 0.0
		var tell func()
		tell = func() {
			var loads []float64
			for i, c := range p.cores {
				share(i, p.waits(i))
				p.told++
				t := c.view.Load().tally()
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
				p.clock.After(window, tell)
			}
		}
		p.clock.After(window, tell)
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

// BenchmarkWindows measures when keepers tell their waits: staleness shows in
// the waits, cost in the statements of each keeper per second.
func BenchmarkWindows(b *testing.B) {
	ways := []struct {
		name string
		tell telling
	}{
		{"never", nil},
		{"every-100ms", every(100 * time.Millisecond)},
		{"every-250ms", every(250 * time.Millisecond)},
		{"every-1s", every(time.Second)},
		{"error-100ms-10ms", onError(100*time.Millisecond, 10*time.Millisecond)},
		{"error-100ms-25ms", onError(100*time.Millisecond, 25*time.Millisecond)},
		{"error-100ms-50ms", onError(100*time.Millisecond, 50*time.Millisecond)},
		{"error-250ms-25ms", onError(250*time.Millisecond, 25*time.Millisecond)},
		{"adaptive-250ms", adaptive(250 * time.Millisecond)},
		{"adaptive-1s", adaptive(time.Second)},
	}
	for _, load := range []int{50, 80, 95, 300} {
		for _, w := range ways {
			b.Run(fmt.Sprintf("load=%d/%s", load, w.name), func(b *testing.B) {
				for range b.N {
					f := newFleet(size{hosts: 40, backends: 9, slots: 6}, fleetSeed)
					p := keepers(f, false, w.tell).(*pooled)
					f.load(p, mustardramp.Normal, float64(load)/100*f.capacity(), 0, f.until, 10*time.Second)
					f.run()
					t := f.total()
					b.ReportMetric(0, "ns/op")
					b.ReportMetric(t.mean().Seconds()*1000, "wait-ms")
					b.ReportMetric(t.quantile(0.99).Seconds()*1000, "wait-p99-ms")
					b.ReportMetric(100*f.use(), "use-%")
					b.ReportMetric(100*t.share(), "served-%")
					b.ReportMetric(float64(p.told)/float64(len(p.cores))/f.until.Seconds(), "told/s")
				}
			})
		}
	}
}
