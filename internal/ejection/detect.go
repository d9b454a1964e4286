package ejection

import (
	"fmt"
	"time"

	"github.com/mustardramp/mustardramp/internal/evidence"
)

const (
	// proposeFraction is the fraction of the threshold at which this host
	// proposes an ejection to the others.
	proposeFraction = 0.2
	// withdrawFraction is the fraction of the threshold below which a proposal
	// is withdrawn.
	withdrawFraction = 0.1
	// maxStatisticFactor bounds a test's statistic to a multiple of the
	// threshold, so that a backend that recovered is not ejected long after.
	maxStatisticFactor = 1.2
	// totalSeverityShare is the share of bad outcomes from which a backend's
	// severity is total.
	totalSeverityShare = 0.6
	// baselineShare is the share of bad outcomes assumed for a service without
	// outcomes.
	baselineShare = 0.01
	// minServiceWeight is the weight of recent outcomes below which a service
	// is not tested.
	minServiceWeight = 1e-3
	// zoneFaultRatio is the log-likelihood ratio from which a backend counts as
	// unhealthy for the hosts of a zone; one bad outcome alone does not reach
	// it.
	zoneFaultRatio = 4.0
	// minOtherZoneOutcomes is the lowest number of outcomes of other zones that
	// can show that the network path is at fault rather than the backend.
	minOtherZoneOutcomes = 4
)

// runTests runs the tests of all members on the outcomes of the step.
func (s *service) runTests(now time.Time, terms Terms) {
	if s.windows[fleetScope].steady.n < minServiceWeight {
		return
	}
	thresholds := s.thresholds(terms)
	trimCount := s.trimCount(terms)
	for scope := range scopeCount {
		for k := range kindCount {
			s.updatePeerShares(scope, k, trimCount)
			if scope == hostScope || s.hasLearnedFleet(now) {
				s.updateTests(now, scope, k, thresholds)
			}
		}
	}
}

// hasLearnedFleet reports whether this host has received the reports of the
// others for long enough to know the good outcomes as well as the bad ones, which
// are reported at once. It is true as long as no other host has reported.
func (s *service) hasLearnedFleet(now time.Time) bool {
	return s.firstReportAt.IsZero() || now.Sub(s.firstReportAt) >= s.learningPeriod
}

// trimCount returns how many of the worst peers are left out of the peers' share:
// as many as could be ejected, but fewer than half.
func (s *service) trimCount(terms Terms) int {
	n := len(s.members)
	spare := int((100 - terms.Floor).Of(float64(n)))
	return max(0, min(spare, (n-1)/2))
}

// updatePeerShares computes the current share of bad outcomes of each member's
// peers. A sudden change of the whole service appears in the fast window first,
// so the higher of both shares is used.
func (s *service) updatePeerShares(sc scope, k kind, trimCount int) {
	s.peerShareCalculator.trimCount = trimCount
	s.samples = s.samples[:0]
	s.priors = s.priors[:0]
	for _, m := range s.members {
		s.samples = append(s.samples, m.scopes[sc].windows.steady)
		s.priors = append(s.priors, s.priorShare(sc, k))
	}
	steady := s.peerShareCalculator.compute(k, s.samples, s.priors)
	for i, m := range s.members {
		s.samples[i] = m.scopes[sc].windows.fast
	}
	fast := s.peerShareCalculator.compute(k, s.samples, steady)
	for i, m := range s.members {
		m.scopes[sc].peerShares[k] = max(steady[i], fast[i])
	}
}

// priorShare returns the share of bad outcomes that is assumed for a scope with
// few outcomes: that of the service in the whole fleet.
func (s *service) priorShare(sc scope, k kind) float64 {
	if sc == fleetScope {
		return baselineShare
	}
	all := s.windows[fleetScope].steady
	return all.smoothedShare(k, baselineShare)
}

// updateTests adds the outcomes of the step to one test of each member that
// receives ordinary traffic.
func (s *service) updateTests(now time.Time, sc scope, k kind, thresholds alarmThresholds) {
	for i, m := range s.members {
		if m.isOut() || !m.isServing() {
			continue
		}
		if k == slowKind && m.isCold(now) {
			continue
		}
		outcomes := s.stepOutcomes[sc][i]
		v := &m.scopes[sc]
		v.tests[k].add(k, hypothesisFor(k, v.peerShares[k]), outcomes.n, outcomes.bad[k], s.stepDuration)
		if v.tests[k].sum > 0 {
			v.tests[k].sum = min(v.tests[k].sum, maxStatisticFactor*thresholds.forTest(sc, k, v.peerShares[k]))
		}
	}
}

// alarm is the result of a backend's tests: whether it should be ejected, and
// why.
type alarm struct {
	raised bool
	// local is true when only the path of this host or zone is at fault.
	local bool
	cause string
}

// findAlarm returns the alarm of the widest scope among a member's tests.
func (s *service) findAlarm(m *member, thresholds alarmThresholds) alarm {
	for k := range kindCount {
		if m.isAlarming(fleetScope, k, thresholds) && !s.isPathFault(m, k) {
			return alarm{raised: true, cause: m.describe(fleetScope, k)}
		}
	}
	for _, sc := range []scope{zoneScope, hostScope} {
		for k := range kindCount {
			if m.isAlarming(sc, k, thresholds) {
				return alarm{raised: true, local: true, cause: m.describe(sc, k)}
			}
		}
	}
	return alarm{}
}

// isAlarming reports whether one test has reached its threshold, which is above 0.
func (m *member) isAlarming(sc scope, k kind, thresholds alarmThresholds) bool {
	v := &m.scopes[sc]
	return v.tests[k].sum > 0 && v.tests[k].sum >= thresholds.forTest(sc, k, v.peerShares[k])
}

// isPathFault reports whether the backend is unhealthy only for the hosts of one
// zone, while those of the other zones see a healthy backend.
func (s *service) isPathFault(m *member, k kind) bool {
	h := hypothesisFor(k, m.scopes[fleetScope].peerShares[k])
	var unhealthyZones int
	var others sample
	for _, z := range m.zones {
		zone := z.recent
		if h.logLikelihoodRatio(zone.n, zone.bad[k]) >= zoneFaultRatio {
			unhealthyZones++
			continue
		}
		others.add(zone)
	}
	if unhealthyZones != 1 || others.n < minOtherZoneOutcomes {
		return false
	}
	return h.logLikelihoodRatio(others.n, others.bad[k]) < 0
}

var scopeNames = [scopeCount]string{"at this host", "in this zone", "in the fleet"}

// describe returns the outcomes that a test saw, as text for operators.
func (m *member) describe(sc scope, k kind) string {
	v := &m.scopes[sc]
	return fmt.Sprintf("%.0f %% of requests %s %s, %.0f %% at its peers",
		100*v.windows.fast.rawShare(k), kindNames[k], scopeNames[sc], 100*v.peerShares[k])
}

// fleetStatistic returns the largest statistic of the tests over the whole fleet.
func (m *member) fleetStatistic() float64 {
	v := &m.scopes[fleetScope]
	return max(v.tests[failedKind].sum, v.tests[slowKind].sum)
}

// currentSeverity returns the severity according to the tests over the whole
// fleet.
func (m *member) currentSeverity() evidence.Severity {
	for _, test := range m.scopes[fleetScope].tests {
		if test.bad >= totalSeverityShare*max(test.n, 1) {
			return evidence.SeverityTotal
		}
	}
	return evidence.SeverityPartial
}
