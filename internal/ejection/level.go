package ejection

import (
	"math"
	"sort"
	"time"

	"github.com/mustardramp/mustardramp/internal/evidence"
)

const (
	// fastSpan is the time constant of the level that follows a sudden change
	// of the whole service.
	fastSpan = 500 * time.Millisecond
	// steadySpan is the time constant of the level over a longer past.
	steadySpan = 5 * time.Second
	// rateSpan is the time constant of the rate of outcomes.
	rateSpan = 30 * time.Second
	// priorWeight is the number of outcomes for which the wider level stands
	// when a narrow one rests on few.
	priorWeight = 10
)

// sample is a weighted number of outcomes by kind.
type sample struct {
	n   float64
	bad [kindCount]float64
}

func sampleOf(c evidence.Counts) sample {
	return sample{
		n:   float64(c.Done),
		bad: [kindCount]float64{failing: float64(c.Failed), slowing: float64(c.Slow)},
	}
}

func (s *sample) add(o sample) {
	s.n += o.n
	for k := range s.bad {
		s.bad[k] += o.bad[k]
	}
}

func (s *sample) scale(factor float64) {
	s.n *= factor
	for k := range s.bad {
		s.bad[k] *= factor
	}
}

// share returns the share of bad outcomes, drawn towards a prior by the weight
// of priorWeight outcomes.
func (s *sample) share(k kind, prior float64) float64 {
	return (s.bad[k] + priorWeight*prior) / (s.n + priorWeight)
}

// plain returns the share of bad outcomes by itself.
func (s *sample) plain(k kind) float64 {
	return s.bad[k] / max(s.n, 1)
}

func decay(dt, span time.Duration) float64 {
	return math.Exp(-dt.Seconds() / span.Seconds())
}

// windows are a backend's recent outcomes within one scope.
type windows struct {
	fast   sample
	steady sample
}

func (w *windows) add(dt time.Duration, s sample) {
	w.fast.scale(decay(dt, fastSpan))
	w.steady.scale(decay(dt, steadySpan))
	w.fast.add(s)
	w.steady.add(s)
}

// levels computes, for each of some backends, the share of bad outcomes among
// its peers without the worst of them.
type levels struct {
	// trim is how many of the worst peers are left out.
	trim  int
	order []int
	rank  []int
	// sums holds the samples summed up to each place of the order.
	sums []sample
}

// peers returns the share among the peers of each backend. The prior stands in
// for outcomes that are few.
func (l *levels) peers(k kind, samples []sample, prior []float64) []float64 {
	l.sort(k, samples)
	out := make([]float64, len(samples))
	last := len(samples) - 1
	for i := range samples {
		// Without the backend itself, one less than trim is left out behind it.
		keep := len(samples) - l.trim - 1
		if l.rank[i] < keep {
			keep++
		}
		keep = min(max(keep, 1), last+1)
		rest := l.sums[keep]
		if l.rank[i] < keep {
			rest.n -= samples[i].n
			rest.bad[k] -= samples[i].bad[k]
		}
		out[i] = max(0, rest.share(k, prior[i]))
	}
	return out
}

// sort orders the backends by their share, least first.
func (l *levels) sort(k kind, samples []sample) {
	l.order = l.order[:0]
	for i := range samples {
		l.order = append(l.order, i)
	}
	sort.SliceStable(l.order, func(a, b int) bool {
		return samples[l.order[a]].share(k, 0) < samples[l.order[b]].share(k, 0)
	})
	l.rank = append(l.rank[:0], l.order...)
	l.sums = append(l.sums[:0], sample{})
	for place, i := range l.order {
		l.rank[i] = place
		sum := l.sums[place]
		sum.add(samples[i])
		l.sums = append(l.sums, sum)
	}
}
