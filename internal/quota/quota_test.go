package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
)

func constant(q mustardramp.Quota) func(from, to time.Time) mustardramp.Quota {
	return func(time.Time, time.Time) mustardramp.Quota { return q }
}

// TestOverload sends eight times the quota. It guards against both failures of a quota
// that is shared by hosts: more requests than the rule allows, and tokens that no host
// uses although requests are refused.
func TestOverload(t *testing.T) {
	quotas := map[string]mustardramp.Quota{
		"small": {Rate: 10, Burst: 5}, "large": {Rate: 120, Burst: 60}, "no burst": {Rate: 60}, "long burst": {Rate: 20, Burst: 200},
	}
	picks := map[string]func(*sim) func() *node{
		"skewed": (*sim).zipf,
		"even":   func(s *sim) func() *node { return s.uniform },
		"one":    func(s *sim) func() *node { return func() *node { return s.nodes[7] } },
	}
	for _, hosts := range []int{99, 300} {
		for quotaName, q := range quotas {
			for pickName, pick := range picks {
				t.Run(fmt.Sprintf("%d/%s/%s", hosts, quotaName, pickName), func(t *testing.T) {
					const length = 20 * time.Second
					var s *sim
					inBubble(t, hosts, 1, q, func(running *sim) {
						s = running
						s.run(length, 8*q.Rate, pick(s), nil, nil)
					})
					if got := s.excess(constant(q)); got > 0 {
						t.Errorf("got %.1f requests beyond the rule in the worst window, want none", got)
					}
					allowed := q.Rate*length.Seconds() + float64(q.Burst)
					t.Logf("served %.1f %%, %.1f calls a second and host, excess %.1f", float64(len(s.used))/allowed*100,
						float64(s.calls)/2/float64(hosts)/(warmUp+length).Seconds(), s.excess(constant(q)))
					if got, want := float64(len(s.used))/allowed, 0.97; got < want {
						t.Errorf("got %.3f of the quota served, want at least %g", got, want)
					}
				})
			}
		}
	}
}

// TestCalmWithinQuota sends requests that an ideal bucket of the quota allows, in
// bursts, to skewed hosts. It guards against refusals that only the division of the
// tokens among hosts causes: unused batches, silence, or a keeper that starts empty.
func TestCalmWithinQuota(t *testing.T) {
	for _, hosts := range []int{99, 300} {
		for name, q := range map[string]mustardramp.Quota{
			"small": {Rate: 2, Burst: 4}, "medium": {Rate: 20, Burst: 30}, "large": {Rate: 200, Burst: 100}, "no burst": {Rate: 100},
		} {
			t.Run(fmt.Sprintf("%d/%s", hosts, name), func(t *testing.T) {
				var s *sim
				inBubble(t, hosts, 2, q, func(running *sim) {
					s = running
					// The ideal bucket has no slack, and room for one request at least.
					exact := mustardramp.Quota{Rate: q.Rate, Burst: max(q.Burst, 1) - slack}
					ideal := &bucket{quota: exact, level: capacity(exact), filledAt: time.Now()}
					pick := s.zipf()
					for range 3 {
						s.run(8*time.Second, 2*q.Rate, pick, ideal, nil)
						s.run(7*time.Second, 0, pick, ideal, nil)
						s.run(8*time.Second, q.Rate, func() *node { return s.nodes[3] }, ideal, nil)
					}
				})
				t.Logf("admitted %d, refused %d", len(s.used), s.refused)
				if s.refused > 0 || len(s.used) == 0 {
					t.Errorf("got %d of %d requests inside the quota refused, want none", s.refused, s.refused+len(s.used))
				}
			})
		}
	}
}
