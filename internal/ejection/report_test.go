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

// reportSchedules are the schedules of reports that the benchmark compares.
var reportSchedules = map[string]func() func(*simulation, int, *ejection.Ejector){
	"fixed 100 ms":  func() func(*simulation, int, *ejection.Ejector) { return sendEvery(1) },
	"fixed 300 ms":  func() func(*simulation, int, *ejection.Ejector) { return sendEvery(3) },
	"fixed 1000 ms": func() func(*simulation, int, *ejection.Ejector) { return sendEvery(10) },
	"when due":      func() func(*simulation, int, *ejection.Ejector) { return sendDueReport },
	"window":        newAdaptiveWindows,
}

// Bounds of a window that lengthens while the variance of the bad outcomes over
// the backends is steady and shortens while it changes. A relative change below
// minChange lengthens the window by minChange; a larger one shortens it by at most
// maxChange.
const (
	minWindow = 100 * time.Millisecond
	maxWindow = time.Second
	minChange = 0.01
	maxChange = 0.1
)

// adaptiveWindow is the interval between the reports of one host.
type adaptiveWindow struct {
	span       time.Duration
	reportedAt time.Time
	last       map[evidence.Handle]evidence.Counts
	variance   float64
}

func newAdaptiveWindows() func(*simulation, int, *ejection.Ejector) {
	windows := make([]adaptiveWindow, hostCount)
	return func(t *simulation, i int, host *ejection.Ejector) {
		w := &windows[i]
		w.span = max(w.span, minWindow)
		if t.now.Sub(w.reportedAt) < w.span {
			return
		}
		w.reportedAt = t.now
		record := fullReport(t.now, host)
		w.adapt(record)
		t.broadcast(i, record)
	}
}

// adapt computes the next window from the change of the variance of the bad
// outcomes over the backends.
func (w *adaptiveWindow) adapt(record mustardramp.Record) {
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
	var change float64
	if larger := max(variance, w.variance); larger > 0 {
		change = math.Abs(variance-w.variance) / larger
	}
	w.last, w.variance = next, variance
	switch {
	case change > maxChange:
		change = maxChange
	case change < minChange:
		change = -minChange
	}
	w.span = min(time.Duration((1-change)*float64(w.span)), maxWindow)
}

// BenchmarkReportSchedule measures, for each schedule of reports, the bytes that a
// host sends while all backends are healthy and the time until all hosts avoid a
// faulty backend.
func BenchmarkReportSchedule(b *testing.B) {
	for name, newSchedule := range reportSchedules {
		for _, f := range []string{"fails all", "fails 30 %"} {
			b.Run(name+"/"+f, func(b *testing.B) {
				benchmarkReportSchedule(b, newSchedule, faults[f])
			})
		}
	}
}

func benchmarkReportSchedule(b *testing.B, newSchedule func() func(*simulation, int, *ejection.Ejector), f fault) {
	var times []time.Duration
	var rate float64
	for i := range b.N {
		t := newSimulation(*firstSeed+uint64(i), deployments["tildeling"])
		t.sendReport = newSchedule()
		t.run(warmUp, nil)
		rate += float64(t.sentBytes) / hostCount / warmUp.Seconds()
		times = append(times, t.awaitDetection(f).all)
	}
	slices.Sort(times)
	b.ReportMetric(quantile(times, 0.5).Seconds(), "s-p50")
	b.ReportMetric(quantile(times, 0.9).Seconds(), "s-p90")
	b.ReportMetric(rate/float64(b.N), "B/s-host")
	b.ReportMetric(float64(*firstSeed), "seed")
}
