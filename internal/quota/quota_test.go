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
