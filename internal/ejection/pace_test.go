package ejection_test

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/ejection"
	"github.com/mustardramp/mustardramp/internal/evidence"
)

// paces are the ways to space the reports that are measured.
var paces = map[string]func() func(*trial, int, *ejection.Ejector){
	"fixed 100 ms":  func() func(*trial, int, *ejection.Ejector) { return every(1) },
	"fixed 300 ms":  func() func(*trial, int, *ejection.Ejector) { return every(3) },
	"fixed 1000 ms": func() func(*trial, int, *ejection.Ejector) { return every(10) },
	"news at once":  func() func(*trial, int, *ejection.Ejector) { return news },
	"window":        newWindows,
}

// Bounds and factors of a window that lengthens while the spread of outcomes
// over the backends is steady and shortens while it moves.
const (
	windowLeast = 100 * time.Millisecond
	windowMost  = time.Second
	windowK1    = 0.01
	windowK2    = 0.1
)

// window is the adaptive interval of one host.
type window struct {
	span     time.Duration
	reported time.Time
	last     map[evidence.Handle]evidence.Counts
	variance float64
}

func newWindows() func(*trial, int, *ejection.Ejector) {
	windows := make([]window, trialHosts)
	return func(t *trial, i int, host *ejection.Ejector) {
		w := &windows[i]
		w.span = max(w.span, windowLeast)
		if t.now.Sub(w.reported) < w.span {
			return
		}
		w.reported = t.now
		record := full(t.now, host)
		w.adapt(record)
		t.post(i, record)
	}
}

// adapt computes the next window from the change of the variance of the bad
// outcomes over the backends.
func (w *window) adapt(record mustardramp.Record) {
	report, err := evidence.ParseReport(record)
	if err != nil {
		panic(err)
	}
	next := map[evidence.Handle]evidence.Counts{}
	var sum, squares float64
	for _, row := range report.Services[0].Rows {
		next[row.Backend] = row.Counts
		bad := float64(row.Counts.Failed + row.Counts.Slow - w.last[row.Backend].Failed - w.last[row.Backend].Slow)
		sum += bad
		squares += bad * bad
	}
	n := float64(max(len(next), 1))
	variance := squares/n - sum/n*sum/n
	var r float64
	if most := max(variance, w.variance); most > 0 {
		r = math.Abs(variance-w.variance) / most
	}
	w.last, w.variance = next, variance
	switch {
	case r > windowK2:
		r = windowK2
	case r < windowK1:
		r = -windowK1
	}
	w.span = min(time.Duration((1-r)*float64(w.span)), windowMost)
}

// BenchmarkPace measures, for each way to space the reports, the bytes that a
// host sends while all is well and the time until all hosts avoid a backend.
func BenchmarkPace(b *testing.B) {
	for name, pace := range paces {
		for _, f := range []string{"fails all", "fails 30 %"} {
			b.Run(name+"/"+f, func(b *testing.B) {
				benchmarkPace(b, pace, faults[f])
			})
		}
	}
}

func benchmarkPace(b *testing.B, pace func() func(*trial, int, *ejection.Ejector), f fault) {
	var times []time.Duration
	var rate float64
	for i := range b.N {
		t := newTrial(*trialSeed+uint64(i), deployments["tildeling"])
		t.due = pace()
		t.run(warmUp, nil)
		rate += float64(t.bytes) / trialHosts / warmUp.Seconds()
		times = append(times, t.await(f).all)
	}
	slices.Sort(times)
	b.ReportMetric(quantile(times, 0.5).Seconds(), "s-p50")
	b.ReportMetric(quantile(times, 0.9).Seconds(), "s-p90")
	b.ReportMetric(rate/float64(b.N), "B/s-host")
	b.ReportMetric(float64(*trialSeed), "seed")
}
