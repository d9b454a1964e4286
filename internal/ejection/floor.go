package ejection

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/evidence"
)

// room is how much may be ejected. It counts backends as well as slots, so
// that one backend that announces too many slots does not make room for the
// ejection of all others.
type room struct {
	slots    mustardramp.Slots
	backends int
}

func (r room) fits(m *member) bool {
	return m.backend.Slots <= r.slots && r.backends >= 1
}

func (r *room) take(m *member) {
	r.slots -= m.backend.Slots
	r.backends--
}

// capacity returns the serving backends and their slots.
func (s *service) capacity() room {
	var all room
	for _, m := range s.members {
		if m.serving() {
			all.slots += m.backend.Slots
			all.backends++
		}
	}
	return all
}

// spare returns how much may be ejected: the capacity without the floor, which
// is rounded up to whole slots and backends.
func (s *service) spare(floor mustardramp.Percent) room {
	all := s.capacity()
	return room{
		slots:    all.slots - mustardramp.Slots(atLeast(floor, float64(all.slots))),
		backends: all.backends - int(atLeast(floor, float64(all.backends))),
	}
}

// atLeast returns the whole number that the floor asks for.
func atLeast(floor mustardramp.Percent, all float64) float64 {
	return min(all, math.Ceil(floor.Of(all)-roundingError))
}

// roundingError keeps a floor that is a whole number from being rounded up by
// one.
const roundingError = 1e-9

// without returns the room that the serving backends of a condition leave.
func (s *service) without(spare room, condition func(*member) bool) room {
	for _, m := range s.members {
		if m.serving() && condition(m) {
			spare.take(m)
		}
	}
	return spare
}

// settle decides which backends are ejected. Its steps keep two bounds: what
// this host ejects, and what any host is known to eject, do not exceed what the
// floor spares.
func (s *service) settle(now time.Time, terms Terms, voices evidence.Voices, wait time.Duration) {
	spare := s.spare(terms.Floor)
	limits := s.limits(terms)
	s.learnGrades(voices)
	s.yield(now, spare, voices)
	s.releaseLocal(now, spare)
	s.wish(now, limits.main)
	s.follow(now, spare, limits.main, voices)
	s.ejectAlarmed(now, spare, limits, voices, wait)
}

// learnGrades takes over the grades that other hosts give, so that all agree
// on the order of claims.
func (s *service) learnGrades(voices evidence.Voices) {
	for _, m := range s.members {
		voice, ok := voices.Ejected[m.handle]
		switch {
		case !ok:
		case m.everywhere() || !m.wished.IsZero():
			m.grade = max(m.grade, voice.Grade)
		default:
			m.grade = voice.Grade
		}
	}
}

// yield ends this host's ejections that do not fit beside those of all hosts,
// in the common order of claims. The least ill backend returns first.
func (s *service) yield(now time.Time, spare room, voices evidence.Voices) {
	for _, m := range s.ordered() {
		voice, spoken := voices.Ejected[m.handle]
		spoken = spoken && voice.Hosts > 0
		if !m.serving() || !m.everywhere() && !spoken {
			continue
		}
		if spare.fits(m) {
			spare.take(m)
			continue
		}
		if m.everywhere() {
			s.release(now, m)
		}
	}
}

// releaseLocal ends ejections by this host alone that do not fit beside the
// others.
func (s *service) releaseLocal(now time.Time, spare room) {
	spare = s.without(spare, (*member).everywhere)
	for _, m := range s.ordered() {
		if !m.serving() || !m.out() || !m.local {
			continue
		}
		if spare.fits(m) {
			spare.take(m)
			continue
		}
		s.release(now, m)
	}
}

func (s *service) release(now time.Time, m *member) {
	m.readmit(now, steady, "returned to keep the floor after "+m.cause)
	m.resetTests(0)
}

// wish makes known which backends this host is about to eject.
func (s *service) wish(now time.Time, limit float64) {
	for _, m := range s.members {
		if m.out() || !m.serving() || m.illness() < dropPart*limit {
			m.wished = time.Time{}
			continue
		}
		if m.illness() < wishPart*limit {
			continue
		}
		grade := m.grading()
		if m.wished.IsZero() || grade > m.grade {
			m.wished = now
			m.grade = grade
		}
	}
}

// follow ejects the backends that other hosts eject already: those that this
// host's own evidence points at, and, for a host that knows nothing yet, those
// that most hosts eject.
func (s *service) follow(now time.Time, spare room, limit float64, voices evidence.Voices) {
	for _, m := range s.ordered() {
		voice := voices.Ejected[m.handle]
		if voice.Hosts == 0 || m.out() || !m.serving() {
			continue
		}
		agrees := m.illness() >= wishPart*limit
		joins := voice.Hosts*2 > voices.Hosts && now.Sub(m.entered) <= Joining && m.phase == steady && m.flaps == 0
		if !agrees && !joins {
			continue
		}
		if !s.without(spare, (*member).out).fits(m) {
			continue
		}
		m.grade = max(m.grade, voice.Grade)
		m.eject(now, false, "ejected by other hosts")
	}
}

// Joining is how long a host counts as one that knows nothing of its own.
const Joining = 30 * time.Second

// ejectAlarmed ejects the backends whose tests alarm, as far as the floor
// leaves room.
func (s *service) ejectAlarmed(now time.Time, spare room, limits thresholds, voices evidence.Voices, wait time.Duration) {
	for _, m := range s.ordered() {
		if m.out() || !m.serving() {
			continue
		}
		a := s.alarm(m, limits)
		if !a.raised || !s.without(spare, (*member).out).fits(m) {
			continue
		}
		if !a.local && !s.granted(now, m, spare, voices, wait) {
			continue
		}
		m.eject(now, a.local, a.cause)
	}
}

// granted reports whether a wish to eject has been known for long enough, and
// fits beside the ejections of all hosts and the wishes that go before it.
func (s *service) granted(now time.Time, m *member, spare room, voices evidence.Voices, wait time.Duration) bool {
	if m.wished.IsZero() {
		return false
	}
	if voices.Hosts > 0 && now.Sub(m.wished) < wait {
		return false
	}
	left := s.without(spare, func(other *member) bool {
		return other != m && s.claimedBefore(other, m, voices)
	})
	return left.fits(m)
}

// claimedBefore reports whether any host ejects a backend, or wishes to and
// goes before the wish for m.
func (s *service) claimedBefore(other, m *member, voices evidence.Voices) bool {
	if _, ok := voices.Ejected[other.handle]; ok || other.everywhere() {
		return true
	}
	if !other.wished.IsZero() && other.claim().Before(m.claim()) {
		return true
	}
	grade, ok := voices.Wished[other.handle]
	return ok && evidence.Claim{Backend: other.handle, Grade: grade}.Before(m.claim())
}

// ordered returns the members in the common order of claims.
func (s *service) ordered() []*member {
	out := slices.Clone(s.members)
	slices.SortFunc(out, func(a, b *member) int {
		if a.grade != b.grade {
			return cmp.Compare(b.grade, a.grade)
		}
		return cmp.Compare(a.handle, b.handle)
	})
	return out
}
