package ejection

import (
	"math/rand/v2"
	"testing"
	"time"
)

// A backend with the highest share of bad outcomes that a healthy one may have
// raises false alarms at most at the accepted rate.
func TestFalseAlarmsStayUnderTheAcceptedRate(t *testing.T) {
	const outcomes = 5_000_000
	tests := map[string]struct {
		kind      kind
		peerShare float64
		accepted  float64
	}{
		"few failures":   {failedKind, 0.005, 1e-4},
		"no failures":    {failedKind, 0, 1e-4},
		"many failures":  {failedKind, 0.1, 1e-4},
		"most fail":      {failedKind, 0.4, 1e-4},
		"few slow":       {slowKind, 0.005, 1e-4},
		"many slow":      {slowKind, 0.2, 1e-4},
		"rare, failures": {failedKind, 0.02, 1e-5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			// This test may use the whole accepted rate, at one outcome per
			// second.
			thresholds := newAlarmThresholds(test.accepted*secondsPerDay/mainTestShare, 1)
			random := rand.New(rand.NewPCG(1, 1))
			h := hypothesisFor(test.kind, test.peerShare)
			threshold := thresholds.main + h.thresholdOffset()
			var c cusum
			var alarms int
			for range outcomes {
				bad := 0.0
				if random.Float64() < h.healthy {
					bad = 1
				}
				// A long span lets a single outcome raise the sum as far as it
				// can.
				c.add(test.kind, h, 1, bad, time.Hour)
				if c.sum >= threshold {
					alarms++
					c = cusum{}
				}
			}
			if got := float64(alarms) / outcomes; got > test.accepted {
				t.Errorf("got %g false alarms per outcome, want at most %g", got, test.accepted)
			}
			t.Logf("%d alarms, accepted %g", alarms, test.accepted*outcomes)
		})
	}
}

// TestThresholdsArePositive guards against alarms of tests without evidence: a test
// whose sum is 0 is taken not to be alarming without its threshold being computed.
func TestThresholdsArePositive(t *testing.T) {
	for _, caution := range []float64{1e-6, 0.1, 1, 100} {
		for _, rate := range []float64{0, 0.01, 1, 1000} {
			thresholds := newAlarmThresholds(caution, rate)
			for sc := range scopeCount {
				for k := range kindCount {
					for share := 0.0; share <= 1; share += 0.01 {
						if got := thresholds.forTest(sc, k, share); got <= 0 {
							t.Errorf("caution %g, rate %g, peers' share %.2f: got threshold %g, want it above 0", caution, rate, share, got)
						}
					}
				}
			}
		}
	}
}
