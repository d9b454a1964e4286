package ejection

import (
	"time"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/evidence"
)

// service is what this host knows and decides about one service.
type service struct {
	// ramp is the duration of a ramp according to the terms, or 0.
	ramp time.Duration
	name mustardramp.ServiceName
	// members lists the backends in the order of the last step's roster.
	members []*member
	byID    map[mustardramp.BackendID]*member
	// positions holds the place of each member in members.
	positions map[evidence.Handle]int
	// hasStepped is true after the first step. Backends of the first roster ran
	// before this host did, so they are not cold.
	hasStepped bool
	// steppedAt is the time of the last step, and stepDuration the time between
	// it and the step before, at most maxStepDuration.
	steppedAt    time.Time
	stepDuration time.Duration
	// firstReportAt is when outcomes of other hosts first arrived, or zero.
	// For learningPeriod from then on only the tests of hostScope run.
	firstReportAt  time.Time
	learningPeriod time.Duration
	// rate is the smoothed number of outcomes per second at one backend.
	rate float64
	// stepOutcomes holds the outcomes of this step by scope, in the order of
	// members.
	stepOutcomes [scopeCount][]sample
	// windows holds the recent outcomes of the service by scope.
	windows [scopeCount]windows

	// reportedDigest is the digest of the last report.
	reportedDigest digest

	// The fields below are buffers that are reused between steps.
	peerShareCalculator peerShareCalculator
	samples             []sample
	priors              []float64
}

// maxStepDuration bounds the time that one step accounts for.
const maxStepDuration = time.Second

// syncRoster updates the members, and the index of all members, to a roster.
// leavingAt returns when the newest attempt was dispatched to which a backend
// answered that it is leaving.
func (s *service) syncRoster(now time.Time, backends []mustardramp.Backend, index map[mustardramp.BackendID]*member, leavingAt func(mustardramp.BackendID) time.Time) {
	s.stepDuration = min(now.Sub(s.steppedAt), maxStepDuration)
	s.steppedAt = now
	if s.hasBackends(backends) {
		for i, b := range backends {
			s.refresh(now, s.members[i], b, leavingAt)
		}
		return
	}
	old := s.byID
	s.byID = make(map[mustardramp.BackendID]*member, len(backends))
	s.members = s.members[:0]
	for _, b := range backends {
		m := old[b.ID]
		if m == nil {
			m = newMember(now, b)
			s.admit(now, m)
		}
		s.refresh(now, m, b, leavingAt)
		s.byID[b.ID] = m
		index[b.ID] = m
		s.members = append(s.members, m)
	}
	s.positions = make(map[evidence.Handle]int, len(s.members))
	for i, m := range s.members {
		s.positions[m.handle] = i
	}
	for id := range old {
		if s.byID[id] == nil {
			delete(index, id)
		}
	}
	s.hasStepped = true
}

// hasBackends reports whether the members are exactly the backends, in their order.
func (s *service) hasBackends(backends []mustardramp.Backend) bool {
	if !s.hasStepped || len(backends) != len(s.members) {
		return false
	}
	for i, m := range s.members {
		if m.backend.ID != backends[i].ID {
			return false
		}
	}
	return true
}

// refresh updates a member to what the roster and this host's attempts tell.
func (s *service) refresh(now time.Time, m *member, b mustardramp.Backend, leavingAt func(mustardramp.BackendID) time.Time) {
	m.ramp = s.ramp
	s.update(now, m, b)
	m.leaving = m.leaving || leavingAt(b.ID).After(m.learnedAt)
	if m.leaving && m.backend.State < mustardramp.Leaving {
		m.backend.State = mustardramp.Leaving
	}
}

// admit sets the phase of a backend that is new to this host.
func (s *service) admit(now time.Time, m *member) {
	if s.hasStepped {
		m.startedAt = now
		m.readmit(now, rampingPhase, "ramps up after its start")
	}
}

// update applies a backend's newest announcement. A new incarnation starts cold,
// but earlier ejections still lengthen the next hold.
func (s *service) update(now time.Time, m *member, b mustardramp.Backend) {
	old := m.backend
	m.backend = b
	restarted := b.Incarnation != old.Incarnation
	started := old.State == mustardramp.Starting && m.isServing()
	if restarted {
		m.learnedAt = now
		m.leaving = false
		m.resetTests(0)
	}
	if restarted || started {
		m.startedAt = now
		m.readmit(now, rampingPhase, "ramps up after its start")
	}
}

// collectOutcomes adds the outcomes since the last step: this host's own and those
// received from other hosts.
func (s *service) collectOutcomes(now time.Time, tally *evidence.Tally, received map[evidence.Origin]evidence.Counts, ownZone mustardramp.Zone) {
	for i := range s.stepOutcomes {
		s.stepOutcomes[i] = append(s.stepOutcomes[i][:0], make([]sample, len(s.members))...)
	}
	fade := decay(s.stepDuration, zoneTimeConstant)
	for i := range s.members {
		s.collectOwn(now, i, fade, tally, ownZone)
	}
	for origin, counts := range received {
		if i, ok := s.positions[origin.Backend]; ok {
			if s.firstReportAt.IsZero() {
				s.firstReportAt = now
			}
			s.members[i].addReported(now, origin.Zone, counts)
		}
	}
	fraction := 1 - decay(s.stepDuration, fullReportInterval)
	for i := range s.members {
		s.collectReported(i, fraction, ownZone)
	}
	s.updateWindows()
}

// addReported adds outcomes that another host reported. Bad ones are reported at
// once and count at once; good ones are reported rarely and count evenly over
// the time until the next full report.
func (m *member) addReported(now time.Time, zone mustardramp.Zone, counts evidence.Counts) {
	outcomes := newSample(counts)
	bad := min(outcomes.n, outcomes.bad[failedKind]+outcomes.bad[slowKind])
	z := m.zone(zone)
	z.pendingGood += outcomes.n - bad
	outcomes.n = bad
	z.reported.add(outcomes)
	m.recordLastWork(now, counts)
}

// collectReported adds what other hosts reported about a member to the outcomes
// of this step. The fraction is that of the pending good outcomes that count now.
func (s *service) collectReported(i int, fraction float64, ownZone mustardramp.Zone) {
	m := s.members[i]
	for name, z := range m.zones {
		outcomes := z.takeDue(fraction)
		z.recent.add(outcomes)
		s.stepOutcomes[fleetScope][i].add(outcomes)
		if name == ownZone {
			s.stepOutcomes[zoneScope][i].add(outcomes)
		}
	}
}

// collectOwn adds this host's own outcomes at a member to the outcomes of this
// step. The outcomes of earlier steps shrink by the factor fade.
func (s *service) collectOwn(now time.Time, i int, fade float64, tally *evidence.Tally, ownZone mustardramp.Zone) {
	m := s.members[i]
	for _, zone := range m.zones {
		zone.recent.scale(fade)
	}
	totals := tally.Counts(s.name, m.backend.ID)
	counts, ok := totals.Minus(m.totals)
	m.totals = totals
	if !ok || counts.Done == 0 {
		return
	}
	m.changedAt = now
	if counts.Failed+counts.Slow > 0 {
		m.worsenedAt = now
	}
	outcomes := newSample(counts)
	for scope := range s.stepOutcomes {
		s.stepOutcomes[scope][i].add(outcomes)
	}
	m.zone(ownZone).recent.add(outcomes)
	m.recordLastWork(now, counts)
}

// zoneOutcomes holds the outcomes at one backend that the hosts of one zone saw.
type zoneOutcomes struct {
	// recent is the exponentially weighted sum of the outcomes.
	recent sample
	// reported holds the outcomes reported since the last step, and pendingGood
	// the number of reported good outcomes that do not count yet.
	reported    sample
	pendingGood float64
}

// takeDue removes and returns the outcomes that count at this step: the reported
// ones and a fraction of the pending ones.
func (z *zoneOutcomes) takeDue(fraction float64) sample {
	outcomes := z.reported
	good := fraction * z.pendingGood
	outcomes.n += good
	z.pendingGood -= good
	z.reported = sample{}
	return outcomes
}

// zone returns the outcomes of a zone's hosts and adds an empty entry if there is
// none.
func (m *member) zone(name mustardramp.Zone) *zoneOutcomes {
	z := m.zones[name]
	if z == nil {
		z = &zoneOutcomes{}
		m.zones[name] = z
	}
	return z
}

// recordLastWork records when requests last succeeded and failed.
func (m *member) recordLastWork(now time.Time, counts evidence.Counts) {
	if counts.Done > counts.Failed {
		m.lastWork.LastSuccess = now
	}
	if counts.Failed > 0 {
		m.lastWork.LastFailure = now
	}
}

// updateWindows adds the outcomes of the step to the windows, trials and rate.
func (s *service) updateWindows() {
	var total float64
	windowDecay := newWindowDecay(s.stepDuration)
	for scope := range s.stepOutcomes {
		var all sample
		for i, m := range s.members {
			outcomes := s.stepOutcomes[scope][i]
			m.scopes[scope].windows.add(windowDecay, outcomes)
			all.add(outcomes)
		}
		s.windows[scope].add(windowDecay, all)
		total = all.n
	}
	for i, m := range s.members {
		if m.phase == trialPhase {
			m.trial.add(s.stepOutcomes[m.trialScope()][i])
		}
	}
	if len(s.members) == 0 || s.stepDuration <= 0 {
		return
	}
	stepRate := total / s.stepDuration.Seconds() / float64(len(s.members))
	keep := decay(s.stepDuration, rateTimeConstant)
	s.rate = keep*s.rate + (1-keep)*stepRate
}

// thresholds returns the thresholds of the service's tests.
func (s *service) thresholds(terms Terms) alarmThresholds {
	return newAlarmThresholds(terms.Caution, s.rate)
}

// advance enters the next phase of each member whose current one is over.
func (s *service) advance(now time.Time, thresholds alarmThresholds) {
	for _, m := range s.members {
		m.advance(now, thresholds)
	}
}

// standings returns the decisions in the order of the roster.
func (s *service) standings(now time.Time, terms Terms) []mustardramp.Standing {
	out := make([]mustardramp.Standing, len(s.members))
	boost := s.weightBoost(now, terms.Floor)
	for i, m := range s.members {
		st := mustardramp.Standing{Backend: m.backend, Cause: m.cause}
		switch {
		case !m.isServing():
			st.Cause = m.backend.State.String()
		case m.isOut():
			st.Ejected = !m.local
			st.Avoided = m.local
			st.Trial = m.phase == trialPhase
		default:
			w := m.weight(now)
			st.Weight = w + (1-w)*boost
		}
		out[i] = st
	}
	return out
}

// weightBoost returns the fraction, from 0 to 1, by which the weight of each
// ramping backend is moved towards 1, so that ramps do not take the weighted
// capacity below the floor.
func (s *service) weightBoost(now time.Time, floor mustardramp.Percent) float64 {
	var ready, missing float64
	for _, m := range s.members {
		if !m.isServing() || m.isOut() {
			continue
		}
		w := m.weight(now)
		slots := float64(m.backend.Slots)
		ready += w * slots
		missing += (1 - w) * slots
	}
	need := floor.Of(float64(s.capacity().slots))
	if ready >= need || missing == 0 {
		return 0
	}
	return min(1, (need-ready)/missing)
}

// report returns this host's own counts, ejections and proposals for the service.
func (s *service) report(now time.Time, full bool) evidence.ServiceReport {
	r := evidence.ServiceReport{Service: s.name}
	for _, m := range s.members {
		if m.isReportable(now, full) {
			r.Rows = append(r.Rows, evidence.Row{Backend: m.handle, Counts: m.totals})
		}
		switch {
		case m.isEjectedFleetWide():
			r.Ejected = append(r.Ejected, m.claim())
		case !m.proposedAt.IsZero():
			r.Proposed = append(r.Proposed, m.claim())
		}
	}
	return r
}
