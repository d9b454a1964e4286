package ejection

import (
	"math/rand/v2"
	"testing"
	"time"
)

// A backend that is as bad as a healthy one may be raises false alarms at most
// at the accepted rate.
func TestFalseAlarmsStayUnderTheAcceptedRate(t *testing.T) {
	const outcomes = 5_000_000
	tests := map[string]struct {
		kind     kind
		peers    float64
		accepted float64
	}{
		"few failures":   {failing, 0.005, 1e-4},
		"no failures":    {failing, 0, 1e-4},
		"many failures":  {failing, 0.1, 1e-4},
		"most fail":      {failing, 0.4, 1e-4},
		"few slow":       {slowing, 0.005, 1e-4},
		"many slow":      {slowing, 0.2, 1e-4},
		"rare, failures": {failing, 0.02, 1e-5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			// All of the accepted rate goes to this test: one a day of as many
			// outcomes a second.
			limits := thresholdsOf(test.accepted*daySeconds/mainPart, 1)
			random := rand.New(rand.NewPCG(1, 1))
			h := against(test.kind, test.peers)
			limit := limits.main + h.credit()
			var c cusum
			var alarms int
			for range outcomes {
				bad := 0.0
				if random.Float64() < h.healthy {
					bad = 1
				}
				// A long span leaves the growth of one outcome unbounded.
				c.add(test.kind, h, 1, bad, time.Hour)
				if c.sum >= limit {
					alarms++
					c = cusum{}
				}
			}
			if got := float64(alarms) / outcomes; got > test.accepted {
				t.Errorf("got %g false alarms an outcome, want at most %g", got, test.accepted)
			}
			t.Logf("%d alarms, accepted %g", alarms, test.accepted*outcomes)
		})
	}
}
