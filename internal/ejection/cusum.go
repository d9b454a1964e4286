package ejection

import (
	"math"
	"time"
)

const (
	// tolerance is by how much a healthy backend's share of bad outcomes may
	// exceed that of its peers, as a factor.
	tolerance = 1.5
	// daySeconds is the length of a day in seconds.
	daySeconds = 24 * 60 * 60
	// tests is the number of tests that run on each outcome: two kinds in
	// three scopes.
	tests = int(kindCount) * int(scopeCount)
	// mainPart is the part of the accepted rate of false ejections that the
	// main test, of failures over the whole fleet, may use. The others share
	// the rest.
	mainPart  = 0.8
	otherPart = (1 - mainPart) / float64(tests-1)
	// tick is the span over which the growth of a test is bounded.
	tick = 100 * time.Millisecond
	// minSpan and maxSpan bound the span for which one step lets a test grow:
	// a host that steps late learns no more of how long a burst lasted.
	minSpan = tick
	maxSpan = 250 * time.Millisecond
	// minRate is the least number of outcomes a second on which a threshold
	// is based.
	minRate = 1.0
)

// kind is a kind of bad outcome.
type kind int

const (
	failing kind = iota
	slowing
	kindCount
)

var kindNames = [kindCount]string{"fail", "are slow"}

// shape holds the constants of the test for one kind of bad outcome.
type shape struct {
	// margin is added to the share that a healthy backend may show.
	margin float64
	// step is the part of the remaining share by which an ill backend exceeds
	// a healthy one.
	step float64
	// growth is the most by which one tick moves the statistic up. It makes a
	// short burst of bad outcomes too little to eject.
	growth float64
}

var shapes = [kindCount]shape{
	failing: {margin: 0.0025, step: 0.25, growth: 5},
	slowing: {margin: 0.01, step: 0.5, growth: 2},
}

// hypothesis is a pair of shares of bad outcomes: of a healthy backend and of
// an ill one.
type hypothesis struct {
	healthy float64
	ill     float64
}

// against returns the hypothesis that follows from the peers' share of bad
// outcomes.
func against(k kind, peers float64) hypothesis {
	s := shapes[k]
	healthy := min(tolerance*peers+s.margin, 0.95)
	return hypothesis{healthy: healthy, ill: healthy + s.step*(1-healthy)}
}

// evidence returns the log-likelihood ratio of ill to healthy.
func (h hypothesis) evidence(n, bad float64) float64 {
	return bad*math.Log(h.ill/h.healthy) + (n-bad)*math.Log((1-h.ill)/(1-h.healthy))
}

// credit is by how much less than the threshold suffices. An excursion of the
// sum starts with a bad outcome, so at most the ill share of exp(-threshold)
// outcomes end in a false alarm; and the last step overshoots by an even share
// of its size.
func (h hypothesis) credit() float64 {
	step := math.Log(h.ill / h.healthy)
	return math.Log(h.ill * (1 - math.Exp(-step)) / step)
}

// cusum is Page's cumulative sum test of one backend. Its mean time to a false
// alarm is at least exp(threshold) outcomes.
type cusum struct {
	sum float64
	// n and bad count the outcomes since the sum left 0.
	n   float64
	bad float64
}

// add takes in the outcomes of a span of time.
func (c *cusum) add(k kind, h hypothesis, n, bad float64, span time.Duration) {
	if n == 0 {
		return
	}
	most := shapes[k].growth * min(max(span, minSpan), maxSpan).Seconds() / tick.Seconds()
	c.sum += min(h.evidence(n, bad), most)
	if c.sum <= 0 {
		*c = cusum{}
		return
	}
	c.n += n
	c.bad += bad
}

// thresholds are the sums at which tests alarm, so that all together alarm
// falsely at most at the accepted rate for a backend and day.
type thresholds struct {
	main  float64
	other float64
}

func thresholdsOf(caution, rate float64) thresholds {
	outcomes := max(rate, minRate) * daySeconds
	accepted := max(caution, 1e-9)
	return thresholds{
		main:  math.Log(outcomes / (accepted * mainPart)),
		other: math.Log(outcomes / (accepted * otherPart)),
	}
}

// of returns the threshold of one test at a level of the peers.
func (t thresholds) of(sc scope, k kind, peers float64) float64 {
	credit := against(k, peers).credit()
	if sc == fleetScope && k == failing {
		return t.main + credit
	}
	return t.other + credit
}
