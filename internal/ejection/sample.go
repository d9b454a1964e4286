package ejection

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/mustardramp/mustardramp/internal/evidence"
)

const (
	// fastTimeConstant is the time constant of the window that follows a sudden
	// change of the whole service.
	fastTimeConstant = 500 * time.Millisecond
	// steadyTimeConstant is the time constant of the long window.
	steadyTimeConstant = 5 * time.Second
	// rateTimeConstant is the time constant of the rate of outcomes.
	rateTimeConstant = 30 * time.Second
	// priorWeight is the number of outcomes as which a prior share counts, so
	// that it prevails where a scope has few outcomes.
	priorWeight = 10
)

// sample is a weighted number of outcomes, with the bad ones by kind.
type sample struct {
	n   float64
	bad [kindCount]float64
}

func newSample(c evidence.Counts) sample {
	return sample{
		n:   float64(c.Done),
		bad: [kindCount]float64{failedKind: float64(c.Failed), slowKind: float64(c.Slow)},
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

// smoothedShare returns the share of bad outcomes after priorWeight outcomes with
// the prior share are added.
func (s *sample) smoothedShare(k kind, prior float64) float64 {
	return (s.bad[k] + priorWeight*prior) / (s.n + priorWeight)
}

// rawShare returns the share of bad outcomes without a prior.
func (s *sample) rawShare(k kind) float64 {
	return s.bad[k] / max(s.n, 1)
}

// decay returns the factor by which an exponentially weighted sum shrinks over dt.
func decay(dt, timeConstant time.Duration) float64 {
	return math.Exp(-dt.Seconds() / timeConstant.Seconds())
}

// windows holds the recent outcomes within one scope as exponentially weighted
// sums.
type windows struct {
	fast   sample
	steady sample
}

// windowDecay holds the factors by which the windows shrink in one step.
type windowDecay struct {
	fast, steady float64
}

func newWindowDecay(dt time.Duration) windowDecay {
	return windowDecay{fast: decay(dt, fastTimeConstant), steady: decay(dt, steadyTimeConstant)}
}

func (w *windows) add(d windowDecay, s sample) {
	w.fast.scale(d.fast)
	w.steady.scale(d.steady)
	w.fast.add(s)
	w.steady.add(s)
}

// peerShareCalculator computes, for each backend of a list, the share of bad
// outcomes among its peers without the worst of them. Its fields are reused
// between calls.
type peerShareCalculator struct {
	// trimCount is how many of the worst peers are left out.
	trimCount int
	// shares holds the share of each backend, order lists the backends by it,
	// lowest first, and position is the place of each backend in that list.
	shares   []float64
	order    []int
	position []int
	// prefixSums holds the sum of the samples before each place of the order.
	prefixSums []sample
}

// compute returns the share of bad outcomes among the peers of each backend,
// smoothed by that backend's prior.
func (c *peerShareCalculator) compute(k kind, samples []sample, priors []float64) []float64 {
	c.sort(k, samples)
	out := make([]float64, len(samples))
	last := len(samples) - 1
	for i := range samples {
		// All peers but the trimCount worst are kept. A backend among the kept
		// ones takes up one place of the prefix itself.
		keep := len(samples) - c.trimCount - 1
		if c.position[i] < keep {
			keep++
		}
		keep = min(max(keep, 1), last+1)
		rest := c.prefixSums[keep]
		if c.position[i] < keep {
			rest.n -= samples[i].n
			rest.bad[k] -= samples[i].bad[k]
		}
		out[i] = max(0, rest.smoothedShare(k, priors[i]))
	}
	return out
}

// sort orders the backends by their share, lowest first.
func (c *peerShareCalculator) sort(k kind, samples []sample) {
	c.order, c.shares = c.order[:0], c.shares[:0]
	for i := range samples {
		c.order = append(c.order, i)
		c.shares = append(c.shares, samples[i].smoothedShare(k, 0))
	}
	slices.SortStableFunc(c.order, func(a, b int) int { return cmp.Compare(c.shares[a], c.shares[b]) })
	c.position = append(c.position[:0], c.order...)
	c.prefixSums = append(c.prefixSums[:0], sample{})
	for place, i := range c.order {
		c.position[i] = place
		sum := c.prefixSums[place]
		sum.add(samples[i])
		c.prefixSums = append(c.prefixSums, sum)
	}
}
