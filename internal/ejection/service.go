package ejection

import (
	"time"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/evidence"
)

// service is what this host knows and decides of one service.
type service struct {
	// ramp is the span of a ramp as the terms say, or 0.
	ramp time.Duration
	name mustardramp.ServiceName
	// members are in the order of the roster of the last step.
	members []*member
	byID    map[mustardramp.BackendID]*member
	// begun is true after the first step. Backends of the first roster were
	// there before this host and are not cold.
	begun bool
	// stepped is the time of the last step, and span the time before it.
	stepped time.Time
	span    time.Duration
	// heard is when outcomes of other hosts were first heard, or zero, and
	// learning how long this host then only learns.
	heard    time.Time
	learning time.Duration
	// rate is the smoothed number of outcomes a second at one backend.
	rate float64
	// reach collects the outcomes of this step by scope, in the order of
	// members.
	reach [scopeCount][]sample
	// level holds the recent outcomes of the service by scope.
	level [scopeCount]windows

	// told sums up what was passed on without delay.
	told digest

	levels  levels
	samples []sample
	priors  []float64
}

// maxStep bounds the time that one step stands for.
const maxStep = time.Second

// sync takes in the roster.
func (s *service) sync(now time.Time, backends []mustardramp.Backend, index map[mustardramp.BackendID]*member, left func(mustardramp.BackendID) time.Time) {
	s.span = min(now.Sub(s.stepped), maxStep)
	s.stepped = now
	old := s.byID
	s.byID = make(map[mustardramp.BackendID]*member, len(backends))
	s.members = s.members[:0]
	for _, b := range backends {
		m := old[b.ID]
		if m == nil {
			m = newMember(now, b)
			s.admit(now, m)
		}
		m.ramp = s.ramp
		s.update(now, m, b)
		m.left = m.left || left(b.ID).After(m.since)
		if m.left && m.backend.State < mustardramp.Leaving {
			m.backend.State = mustardramp.Leaving
		}
		s.byID[b.ID] = m
		index[b.ID] = m
		s.members = append(s.members, m)
	}
	for id := range old {
		if s.byID[id] == nil {
			delete(index, id)
		}
	}
	s.begun = true
}

// admit sets the phase of a backend that this host has not known.
func (s *service) admit(now time.Time, m *member) {
	if s.begun {
		m.started = now
		m.readmit(now, ramping, "ramps up after its start")
	}
}

// update takes in a backend's newest statement. A new incarnation starts cold,
// but earlier ejections still lengthen the next hold.
func (s *service) update(now time.Time, m *member, b mustardramp.Backend) {
	old := m.backend
	m.backend = b
	restarted := b.Incarnation != old.Incarnation
	started := old.State == mustardramp.Starting && m.serving()
	if restarted {
		m.since = now
		m.left = false
		m.resetTests(0)
	}
	if restarted || started {
		m.started = now
		m.readmit(now, ramping, "ramps up after its start")
	}
}

// gather takes in the outcomes since the last step: this host's own and those
// that other hosts reported.
func (s *service) gather(now time.Time, tally *evidence.Tally, news map[evidence.Origin]evidence.Counts, own mustardramp.Zone) {
	for i := range s.reach {
		s.reach[i] = append(s.reach[i][:0], make([]sample, len(s.members))...)
	}
	places := make(map[evidence.Handle]int, len(s.members))
	for i, m := range s.members {
		places[m.handle] = i
		s.gatherOwn(now, i, tally, own)
	}
	for origin, counts := range news {
		if i, ok := places[origin.Backend]; ok {
			if s.heard.IsZero() {
				s.heard = now
			}
			s.members[i].hear(now, origin.Zone, counts)
		}
	}
	for i := range s.members {
		s.gatherHeard(i, own)
	}
	s.window()
}

// hear takes in outcomes that another host reported. Bad ones are reported at
// once and count at once; good ones are reported rarely and count evenly over
// the time until the next full report.
func (m *member) hear(now time.Time, zone mustardramp.Zone, counts evidence.Counts) {
	outcomes := sampleOf(counts)
	bad := min(outcomes.n, outcomes.bad[failing]+outcomes.bad[slowing])
	z := m.zone(zone)
	z.pending += outcomes.n - bad
	outcomes.n = bad
	z.heard.add(outcomes)
	m.note(now, counts)
}

// gatherHeard adds what other hosts reported of a member to the outcomes of
// this step.
func (s *service) gatherHeard(i int, own mustardramp.Zone) {
	m := s.members[i]
	part := 1 - decay(s.span, quietInterval)
	for name, z := range m.zones {
		outcomes := z.take(part)
		z.recent.add(outcomes)
		s.reach[fleetScope][i].add(outcomes)
		if name == own {
			s.reach[zoneScope][i].add(outcomes)
		}
	}
}

func (s *service) gatherOwn(now time.Time, i int, tally *evidence.Tally, own mustardramp.Zone) {
	m := s.members[i]
	fade := decay(s.span, zoneSpan)
	for _, zone := range m.zones {
		zone.recent.scale(fade)
	}
	totals := tally.Counts(s.name, m.backend.ID)
	counts, ok := totals.Minus(m.totals)
	m.totals = totals
	if !ok || counts.Done == 0 {
		return
	}
	m.changed = now
	if counts.Failed+counts.Slow > 0 {
		m.worsened = now
	}
	outcomes := sampleOf(counts)
	for scope := range s.reach {
		s.reach[scope][i].add(outcomes)
	}
	m.zone(own).recent.add(outcomes)
	m.note(now, counts)
}

// zoneView is the outcomes at one backend that the hosts of one zone saw.
type zoneView struct {
	// recent is the sum of the outcomes, which fades.
	recent sample
	// heard holds what was reported since the last step, and pending the
	// number of reported good outcomes that do not count yet.
	heard   sample
	pending float64
}

// take returns the outcomes that count at this step, with a part of the
// pending ones.
func (z *zoneView) take(part float64) sample {
	outcomes := z.heard
	good := part * z.pending
	outcomes.n += good
	z.pending -= good
	z.heard = sample{}
	return outcomes
}

func (m *member) zone(name mustardramp.Zone) *zoneView {
	z := m.zones[name]
	if z == nil {
		z = &zoneView{}
		m.zones[name] = z
	}
	return z
}

// note remembers when work last ended well and badly.
func (m *member) note(now time.Time, counts evidence.Counts) {
	if counts.Done > counts.Failed {
		m.work.Good = now
	}
	if counts.Failed > 0 {
		m.work.Bad = now
	}
}

// window adds the outcomes of the step to the recent ones.
func (s *service) window() {
	var total float64
	for scope := range s.reach {
		var all sample
		for i, m := range s.members {
			outcomes := s.reach[scope][i]
			m.scopes[scope].windows.add(s.span, outcomes)
			all.add(outcomes)
		}
		s.level[scope].add(s.span, all)
		total = all.n
	}
	for i, m := range s.members {
		if m.phase == tried {
			m.trial.add(s.reach[m.trialScope()][i])
		}
	}
	if len(s.members) == 0 || s.span <= 0 {
		return
	}
	now := total / s.span.Seconds() / float64(len(s.members))
	keep := decay(s.span, rateSpan)
	s.rate = keep*s.rate + (1-keep)*now
}

// limits returns the thresholds of the service's tests.
func (s *service) limits(terms Terms) thresholds {
	return thresholdsOf(terms.Caution, s.rate)
}

// advance moves the members on.
func (s *service) advance(now time.Time, limits thresholds) {
	for _, m := range s.members {
		m.advance(now, limits)
	}
}

// standings returns the decisions in the order of the roster.
func (s *service) standings(now time.Time, terms Terms) []mustardramp.Standing {
	out := make([]mustardramp.Standing, len(s.members))
	lift := s.lift(now, terms.Floor)
	for i, m := range s.members {
		st := mustardramp.Standing{Backend: m.backend, Cause: m.cause}
		switch {
		case !m.serving():
			st.Cause = m.backend.State.String()
		case m.out():
			st.Ejected = !m.local
			st.Avoided = m.local
			st.Trial = m.phase == tried
		default:
			w := m.weight(now)
			st.Weight = w + (1-w)*lift
		}
		out[i] = st
	}
	return out
}

// lift returns the part of the way from its own weight to 1 that each ramping
// backend is moved, so that ramps do not take the weighted capacity below the
// floor.
func (s *service) lift(now time.Time, floor mustardramp.Percent) float64 {
	var ready, missing float64
	for _, m := range s.members {
		if !m.serving() || m.out() {
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

// report returns this host's part of the evidence and its decisions.
func (s *service) report(now time.Time, full bool) evidence.ServiceReport {
	r := evidence.ServiceReport{Service: s.name}
	for _, m := range s.members {
		if m.reportable(now, full) {
			r.Rows = append(r.Rows, evidence.Row{Backend: m.handle, Counts: m.totals})
		}
		switch {
		case m.everywhere():
			r.Ejected = append(r.Ejected, m.claim())
		case !m.wished.IsZero():
			r.Wished = append(r.Wished, m.claim())
		}
	}
	return r
}
