package ejection

import (
	"fmt"
	"time"

	"github.com/mustardramp/mustardramp/internal/evidence"
)

const (
	// wishPart is the part of the threshold at which a wish to eject is made
	// known.
	wishPart = 0.2
	// dropPart is the part of the threshold below which a wish is withdrawn.
	dropPart = 0.1
	// ceiling bounds a test's statistic, as a factor of the threshold, so that
	// a backend that recovers is not ejected long after.
	ceiling = 1.2
	// totalShare is the share of bad outcomes above which an illness is total.
	totalShare = 0.6
	// baseline is the share of bad outcomes that stands in for a service
	// without outcomes.
	baseline = 0.01
	// idle is the weight of recent outcomes below which a service is not
	// judged.
	idle = 1e-3
	// zoneEvidence is the log-likelihood ratio from which the hosts of a zone
	// see an illness; one bad outcome alone does not reach it.
	zoneEvidence = 4.0
	// otherOutcomes is the fewest outcomes of other zones that can show that a
	// fault is one of the path.
	otherOutcomes = 4
)

// judge runs the tests of all members on the outcomes of the step.
func (s *service) judge(now time.Time, terms Terms) {
	if s.level[fleetScope].steady.n < idle {
		return
	}
	limits := s.limits(terms)
	trim := s.trim(terms)
	for scope := range scopeCount {
		for k := range kindCount {
			s.compare(scope, k, trim)
			if scope == hostScope || s.informed(now) {
				s.test(now, scope, k, limits)
			}
		}
	}
}

// informed reports whether this host has heard the others for long enough to
// know the good outcomes as well as the bad ones, which are reported at once.
func (s *service) informed(now time.Time) bool {
	return s.heard.IsZero() || now.Sub(s.heard) >= s.learning
}

// trim is how many of the worst peers are left out of the level: as many as
// could be ejected, but fewer than half.
func (s *service) trim(terms Terms) int {
	n := len(s.members)
	spare := int((100 - terms.Floor).Of(float64(n)))
	return max(0, min(spare, (n-1)/2))
}

// compare computes the present level of each member's peers. A sudden change
// of the whole service shows in the fast level first, so the higher counts.
func (s *service) compare(sc scope, k kind, trim int) {
	s.levels.trim = trim
	s.samples = s.samples[:0]
	s.priors = s.priors[:0]
	for _, m := range s.members {
		s.samples = append(s.samples, m.scopes[sc].windows.steady)
		s.priors = append(s.priors, s.wider(sc, k))
	}
	steady := s.levels.peers(k, s.samples, s.priors)
	for i, m := range s.members {
		s.samples[i] = m.scopes[sc].windows.fast
	}
	fast := s.levels.peers(k, s.samples, steady)
	for i, m := range s.members {
		m.scopes[sc].peers[k] = max(steady[i], fast[i])
	}
}

// wider returns the level that stands in for a scope with few outcomes.
func (s *service) wider(sc scope, k kind) float64 {
	if sc == fleetScope {
		return baseline
	}
	all := s.level[fleetScope].steady
	return all.share(k, baseline)
}

func (s *service) test(now time.Time, sc scope, k kind, limits thresholds) {
	for i, m := range s.members {
		if m.out() || !m.serving() {
			continue
		}
		if k == slowing && m.cold(now) {
			continue
		}
		outcomes := s.reach[sc][i]
		v := &m.scopes[sc]
		v.tests[k].add(k, against(k, v.peers[k]), outcomes.n, outcomes.bad[k], s.span)
		v.tests[k].sum = min(v.tests[k].sum, ceiling*limits.of(sc, k, v.peers[k]))
	}
}

// alarm says why a backend should be ejected.
type alarm struct {
	raised bool
	// local is true when only this host's or zone's path is bad.
	local bool
	cause string
}

// alarm returns the most weighty alarm of a member's tests.
func (s *service) alarm(m *member, limits thresholds) alarm {
	for k := range kindCount {
		if m.alarms(fleetScope, k, limits) && !s.pathOnly(m, k) {
			return alarm{raised: true, cause: m.describe(fleetScope, k)}
		}
	}
	for _, sc := range []scope{zoneScope, hostScope} {
		for k := range kindCount {
			if m.alarms(sc, k, limits) {
				return alarm{raised: true, local: true, cause: m.describe(sc, k)}
			}
		}
	}
	return alarm{}
}

// alarms reports whether one test alarms.
func (m *member) alarms(sc scope, k kind, limits thresholds) bool {
	v := &m.scopes[sc]
	return v.tests[k].sum >= limits.of(sc, k, v.peers[k])
}

// pathOnly reports whether the hosts of one zone alone see the illness, while
// those of the others see a healthy backend.
func (s *service) pathOnly(m *member, k kind) bool {
	h := against(k, m.scopes[fleetScope].peers[k])
	var seeing int
	var others sample
	for _, z := range m.zones {
		zone := z.recent
		if h.evidence(zone.n, zone.bad[k]) >= zoneEvidence {
			seeing++
			continue
		}
		others.add(zone)
	}
	if seeing != 1 || others.n < otherOutcomes {
		return false
	}
	return h.evidence(others.n, others.bad[k]) < 0
}

var scopeNames = [scopeCount]string{"at this host", "in this zone", "in the fleet"}

// describe says what a test saw.
func (m *member) describe(sc scope, k kind) string {
	v := &m.scopes[sc]
	return fmt.Sprintf("%.0f %% of requests %s %s, %.0f %% at its peers",
		100*v.windows.fast.plain(k), kindNames[k], scopeNames[sc], 100*v.peers[k])
}

// illness returns the largest statistic of the tests over the whole fleet.
func (m *member) illness() float64 {
	v := &m.scopes[fleetScope]
	return max(v.tests[failing].sum, v.tests[slowing].sum)
}

// grading returns how ill the backend appears now.
func (m *member) grading() evidence.Grade {
	for _, test := range m.scopes[fleetScope].tests {
		if test.bad >= totalShare*max(test.n, 1) {
			return evidence.Total
		}
	}
	return evidence.Partial
}
