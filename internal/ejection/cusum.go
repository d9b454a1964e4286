package ejection

import (
	"math"
	"time"
)

const (
	// tolerance is the factor by which a healthy backend's share of bad
	// outcomes may exceed that of its peers.
	tolerance     = 1.5
	secondsPerDay = 24 * 60 * 60
	// testCount is the number of tests that run on each outcome: two kinds in
	// three scopes.
	testCount = int(kindCount) * int(scopeCount)
	// mainTestShare is the share of the accepted rate of false ejections that
	// the main test, of failures over the whole fleet, may use. The other tests
	// divide the rest evenly.
	mainTestShare  = 0.8
	otherTestShare = (1 - mainTestShare) / float64(testCount-1)
	// growthInterval is the interval to which maxGrowth applies.
	growthInterval = 100 * time.Millisecond
	// minGrowthSpan and maxGrowthSpan bound the time for which one step lets a
	// test grow. A late step does not show how long a burst of bad outcomes
	// lasted, so it must not let a short one count in full.
	minGrowthSpan = growthInterval
	maxGrowthSpan = 250 * time.Millisecond
	// minOutcomeRate is the lowest number of outcomes per second on which a
	// threshold is based.
	minOutcomeRate = 1.0
)

// kind is a kind of bad outcome: a failure or a slow answer.
type kind int

const (
	failedKind kind = iota
	slowKind
	kindCount
)

var kindNames = [kindCount]string{"fail", "are slow"}

// testParameters holds the constants of the test for one kind of bad outcome.
type testParameters struct {
	// margin is added to the share of bad outcomes that a healthy backend may
	// have.
	margin float64
	// excess is the fraction of the remaining share, up to 1, by which an
	// unhealthy backend exceeds a healthy one.
	excess float64
	// maxGrowth is the largest increase of the statistic in one growthInterval.
	// It keeps a short burst of bad outcomes from ejecting a backend.
	maxGrowth float64
}

var parametersByKind = [kindCount]testParameters{
	failedKind: {margin: 0.0025, excess: 0.25, maxGrowth: 5},
	slowKind:   {margin: 0.01, excess: 0.5, maxGrowth: 2},
}

// hypothesis is a pair of shares of bad outcomes: that of a healthy backend and
// that of an unhealthy one.
type hypothesis struct {
	healthy   float64
	unhealthy float64
}

// hypothesisFor derives the hypothesis from the peers' share of bad outcomes.
func hypothesisFor(k kind, peerShare float64) hypothesis {
	p := parametersByKind[k]
	healthy := min(tolerance*peerShare+p.margin, 0.95)
	return hypothesis{healthy: healthy, unhealthy: healthy + p.excess*(1-healthy)}
}

// logLikelihoodRatio returns the log-likelihood ratio of unhealthy to healthy for
// n outcomes, of which some are bad.
func (h hypothesis) logLikelihoodRatio(n, bad float64) float64 {
	return bad*math.Log(h.unhealthy/h.healthy) + (n-bad)*math.Log((1-h.unhealthy)/(1-h.healthy))
}

// thresholdOffset returns a negative correction of the threshold. An excursion of
// the sum starts with a bad outcome, so at most the unhealthy share of
// exp(-threshold) outcomes end in a false alarm; and the overshoot of the last
// step is spread evenly over the size of the step.
func (h hypothesis) thresholdOffset() float64 {
	step := math.Log(h.unhealthy / h.healthy)
	return math.Log(h.unhealthy * (1 - math.Exp(-step)) / step)
}

// cusum is the state of Page's cumulative sum test (CUSUM) of one backend. Its
// mean time to a false alarm is at least exp(threshold) outcomes.
type cusum struct {
	sum float64
	// n and bad count the outcomes since the sum left 0.
	n   float64
	bad float64
}

// add updates the sum with the outcomes of a span of time.
func (c *cusum) add(k kind, h hypothesis, n, bad float64, span time.Duration) {
	if n == 0 {
		return
	}
	maxIncrease := parametersByKind[k].maxGrowth * min(max(span, minGrowthSpan), maxGrowthSpan).Seconds() / growthInterval.Seconds()
	c.sum += min(h.logLikelihoodRatio(n, bad), maxIncrease)
	if c.sum <= 0 {
		*c = cusum{}
		return
	}
	c.n += n
	c.bad += bad
}

// alarmThresholds are the sums at which the tests raise an alarm. They are set so that
// the false alarms of all tests together stay within the accepted number per
// backend and day.
type alarmThresholds struct {
	main  float64
	other float64
}

// newAlarmThresholds returns the thresholds for an accepted number of false ejections
// per backend and day, at a rate of outcomes per second.
func newAlarmThresholds(caution, rate float64) alarmThresholds {
	outcomes := max(rate, minOutcomeRate) * secondsPerDay
	accepted := max(caution, 1e-9)
	return alarmThresholds{
		main:  math.Log(outcomes / (accepted * mainTestShare)),
		other: math.Log(outcomes / (accepted * otherTestShare)),
	}
}

// forTest returns the threshold of one test at the peers' share of bad outcomes.
func (t alarmThresholds) forTest(sc scope, k kind, peerShare float64) float64 {
	offset := hypothesisFor(k, peerShare).thresholdOffset()
	if sc == fleetScope && k == failedKind {
		return t.main + offset
	}
	return t.other + offset
}
