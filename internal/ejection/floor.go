package ejection

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/evidence"
)

// capacity is a number of slots and of backends. The floor applies to both, so
// that one backend that announces too many slots does not permit the ejection of
// all others.
type capacity struct {
	slots    mustardramp.Slots
	backends int
}

func (c capacity) fits(m *member) bool {
	return m.backend.Slots <= c.slots && c.backends >= 1
}

func (c *capacity) take(m *member) {
	c.slots -= m.backend.Slots
	c.backends--
}

// capacity returns the number of serving backends and of their slots.
func (s *service) capacity() capacity {
	var all capacity
	for _, m := range s.members {
		if m.isServing() {
			all.slots += m.backend.Slots
			all.backends++
		}
	}
	return all
}

// spare returns the capacity that may be ejected: all but the floor, which is
// rounded up to whole slots and backends.
func (s *service) spare(floor mustardramp.Percent) capacity {
	all := s.capacity()
	return capacity{
		slots:    all.slots - mustardramp.Slots(requiredByFloor(floor, float64(all.slots))),
		backends: all.backends - int(requiredByFloor(floor, float64(all.backends))),
	}
}

// requiredByFloor returns the whole number of slots or backends that the floor
// requires of all.
func requiredByFloor(floor mustardramp.Percent, all float64) float64 {
	return min(all, math.Ceil(floor.Of(all)-roundingTolerance))
}

// roundingTolerance keeps a floor that is a whole number from being rounded up by
// one because of a floating-point error.
const roundingTolerance = 1e-9

// subtract returns the spare capacity without the serving backends that satisfy a
// condition.
func (s *service) subtract(spare capacity, condition func(*member) bool) capacity {
	for _, m := range s.members {
		if m.isServing() && condition(m) {
			spare.take(m)
		}
	}
	return spare
}

// decideEjections decides which backends are ejected. Its steps keep two bounds:
// neither the ejections of this host nor the known ejections of all hosts together
// exceed the spare capacity. A proposal must have been known to the other hosts
// for the time wait.
func (s *service) decideEjections(now time.Time, terms Terms, claims evidence.FleetClaims, wait time.Duration) {
	spare := s.spare(terms.Floor)
	thresholds := s.thresholds(terms)
	s.adoptSeverities(claims)
	s.releaseFleetWide(now, spare, claims)
	s.releaseLocal(now, spare)
	s.propose(now, thresholds.main)
	s.followOthers(now, spare, thresholds.main, claims)
	s.ejectAlarmed(now, spare, thresholds, claims, wait)
}

// adoptSeverities adopts the severities that other hosts report, so that all hosts
// agree on the order of claims.
func (s *service) adoptSeverities(claims evidence.FleetClaims) {
	for _, m := range s.members {
		fleetEjection, ok := claims.Ejected[m.handle]
		switch {
		case !ok:
		case m.isEjectedFleetWide() || !m.proposedAt.IsZero():
			m.severity = max(m.severity, fleetEjection.Severity)
		default:
			m.severity = fleetEjection.Severity
		}
	}
}

// releaseFleetWide ends those fleet-wide ejections of this host that exceed the
// spare capacity together with the ejections of all hosts, in the common order of
// claims. The backend of the lowest severity returns first.
func (s *service) releaseFleetWide(now time.Time, spare capacity, claims evidence.FleetClaims) {
	isEjected := func(m *member) bool {
		return m.isServing() && (m.isEjectedFleetWide() || claims.Ejected[m.handle].Hosts > 0)
	}
	for _, m := range s.inClaimOrder(isEjected) {
		if spare.fits(m) {
			spare.take(m)
			continue
		}
		if m.isEjectedFleetWide() {
			s.release(now, m)
		}
	}
}

// releaseLocal ends those ejections by this host alone that exceed the spare
// capacity together with its fleet-wide ones.
func (s *service) releaseLocal(now time.Time, spare capacity) {
	spare = s.subtract(spare, (*member).isEjectedFleetWide)
	for _, m := range s.inClaimOrder(func(m *member) bool { return m.isServing() && m.isOut() && m.local }) {
		if spare.fits(m) {
			spare.take(m)
			continue
		}
		s.release(now, m)
	}
}

// release returns an ejected backend to full traffic to keep the floor.
func (s *service) release(now time.Time, m *member) {
	m.readmit(now, steadyPhase, "returned to keep the floor after "+m.cause)
	m.resetTests(0)
}

// propose marks the backends that this host is about to eject, so that its reports
// name them, and withdraws proposals that are no longer justified.
func (s *service) propose(now time.Time, threshold float64) {
	for _, m := range s.members {
		if m.isOut() || !m.isServing() || m.fleetStatistic() < withdrawFraction*threshold {
			m.proposedAt = time.Time{}
			continue
		}
		if m.fleetStatistic() < proposeFraction*threshold {
			continue
		}
		severity := m.currentSeverity()
		if m.proposedAt.IsZero() || severity > m.severity {
			m.proposedAt = now
			m.severity = severity
		}
	}
}

// followOthers ejects backends that other hosts eject already: those that this
// host's own tests suspect too, and, if this host has not learned enough yet,
// those that most hosts eject.
func (s *service) followOthers(now time.Time, spare capacity, threshold float64, claims evidence.FleetClaims) {
	isCandidate := func(m *member) bool {
		return claims.Ejected[m.handle].Hosts > 0 && !m.isOut() && m.isServing()
	}
	for _, m := range s.inClaimOrder(isCandidate) {
		fleetEjection := claims.Ejected[m.handle]
		agrees := m.fleetStatistic() >= proposeFraction*threshold
		joins := fleetEjection.Hosts*2 > claims.Hosts && now.Sub(m.enteredAt) <= JoinPeriod && m.phase == steadyPhase && m.flaps == 0
		if !agrees && !joins {
			continue
		}
		if !s.subtract(spare, (*member).isOut).fits(m) {
			continue
		}
		m.severity = max(m.severity, fleetEjection.Severity)
		m.eject(now, false, "ejected by other hosts")
	}
}

// JoinPeriod is how long after a backend entered steadyPhase a host adopts its
// ejection by most hosts without evidence of its own. It applies only to backends
// that the host itself has not ejected recently.
const JoinPeriod = 30 * time.Second

// ejectAlarmed ejects the backends whose tests raise an alarm, as far as the floor
// permits.
func (s *service) ejectAlarmed(now time.Time, spare capacity, thresholds alarmThresholds, claims evidence.FleetClaims, wait time.Duration) {
	isAlarmed := func(m *member) bool {
		return !m.isOut() && m.isServing() && s.findAlarm(m, thresholds).raised
	}
	for _, m := range s.inClaimOrder(isAlarmed) {
		a := s.findAlarm(m, thresholds)
		if !s.subtract(spare, (*member).isOut).fits(m) {
			continue
		}
		if !a.local && !s.isProposalGranted(now, m, spare, claims, wait) {
			continue
		}
		m.eject(now, a.local, a.cause)
	}
}

// isProposalGranted reports whether a proposed ejection has been known to the other
// hosts for long enough, and fits the spare capacity together with the ejections of
// all hosts and the proposals that precede it.
func (s *service) isProposalGranted(now time.Time, m *member, spare capacity, claims evidence.FleetClaims, wait time.Duration) bool {
	if m.proposedAt.IsZero() {
		return false
	}
	if claims.Hosts > 0 && now.Sub(m.proposedAt) < wait {
		return false
	}
	remaining := s.subtract(spare, func(other *member) bool {
		return other != m && s.isClaimedBefore(other, m, claims)
	})
	return remaining.fits(m)
}

// isClaimedBefore reports whether any host ejects the other backend, or proposes to
// with a claim that precedes the one for m.
func (s *service) isClaimedBefore(other, m *member, claims evidence.FleetClaims) bool {
	if _, ok := claims.Ejected[other.handle]; ok || other.isEjectedFleetWide() {
		return true
	}
	if !other.proposedAt.IsZero() && other.claim().Before(m.claim()) {
		return true
	}
	severity, ok := claims.Proposed[other.handle]
	return ok && evidence.Claim{Backend: other.handle, Severity: severity}.Before(m.claim())
}

// inClaimOrder returns the members that satisfy a condition in the order of claims
// that all hosts share. The condition is evaluated before any of them is returned.
func (s *service) inClaimOrder(condition func(*member) bool) []*member {
	var out []*member
	for _, m := range s.members {
		if condition(m) {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b *member) int {
		if a.severity != b.severity {
			return cmp.Compare(b.severity, a.severity)
		}
		return cmp.Compare(a.handle, b.handle)
	})
	return out
}
