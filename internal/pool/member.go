package pool

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/mustardramp/mustardramp"
)

const (
	// shedHold is how long a backend gets no work after it shed a request.
	shedHold = 10 * time.Millisecond
	// dialHold is how long a backend gets no work after a failed dial.
	dialHold = 100 * time.Millisecond
	// decrease is the factor of the limit after a shed.
	decrease = 0.7
	// wariness is the weight of an early failure in the choice.
	wariness = 4
	// smoothing is the weight of a new latency in the moving mean.
	smoothing = 0.1
)

// load is what this host knows of one backend's load. It outlives the updates
// of the view, and all its fields are used by many goroutines.
type load struct {
	// incarnation is the backend's start that the load is of.
	incarnation mustardramp.Incarnation
	// inFlight is never negative, and above the limit only after the limit
	// fell.
	inFlight atomic.Int32
	// limit holds the bits of a float64: the adaptive limit, at least 1.
	limit atomic.Uint64
	// latency is the moving mean in nanoseconds; 0 means not known.
	latency atomic.Int64
	// ghosts stand for attempts that failed early.
	ghosts ghosts
	// held is the time in Unix nanoseconds up to which no work is sent.
	held atomic.Int64
	// left is the incarnation that said it is leaving, plus one.
	left atomic.Uint64
	// belief is how likely the backend is ill; flights are the attempts under
	// way.
	belief  belief
	flights flights
	// used is the time of the last attempt in Unix nanoseconds, or 0.
	used atomic.Int64
	// known is since when the backend is known, in Unix nanoseconds.
	known int64
	// doubt holds the bits of a float64: the risk as of the last outcome that showed
	// anything if it was bad, or 0.
	doubt atomic.Uint64
}

func newLoad(ceiling int32, known int64) *load {
	l := &load{known: known}
	l.limit.Store(math.Float64bits(float64(ceiling)))
	return l
}

// member is a backend as one view sees it. It does not change.
type member struct {
	*load
	backend mustardramp.Backend
	// ceiling is the number of slots that this host may use; at least 1.
	ceiling int32
	trial   bool
	// transit is set when this host grants all of the backend's slots.
	transit *transit
	// usual is the mean latency of good answers of the service.
	usual *atomic.Int64
}

// cap returns how many attempts may be in flight: at least 1, and at most the
// ceiling, or what keeps the ceiling in use where leases are under way for long.
func (m *member) cap() int32 {
	limit := int32(math.Float64frombits(m.limit.Load()))
	slots := max(1, min(limit, m.ceiling))
	if m.transit == nil || m.trial {
		return slots
	}
	return int32(float64(slots) * m.transit.stretch())
}

// open reports whether the member takes work at all at a time.
func (m *member) open(at int64) bool {
	if m.held.Load() > at {
		return false
	}
	return m.left.Load() != uint64(m.backend.Incarnation)+1
}

// room reports whether the member takes one more attempt.
func (m *member) room(at int64) bool {
	return m.busy(at) < float64(m.cap()) && m.open(at)
}

// busy is the number of attempts in flight and of those that failed early.
func (m *member) busy(at int64) float64 {
	return float64(m.inFlight.Load()) + math.Floor(m.ghosts.at(at, time.Duration(m.usual.Load())))
}

// fill is the share of the member's limit that one more attempt would use. It
// counts early failures wariness times over, so that others are preferred.
func (m *member) fill(at int64) float64 {
	ghosts := m.ghosts.at(at, time.Duration(m.usual.Load()))
	return (float64(m.inFlight.Load()) + wariness*ghosts + 1) / float64(m.cap())
}

// enter takes one place in flight, or reports false.
func (m *member) enter() bool {
	for {
		n := m.inFlight.Load()
		if n >= m.cap() {
			return false
		}
		if m.inFlight.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// leave ends one attempt and learns from its result.
func (m *member) leave(result mustardramp.Result, latency time.Duration, now time.Time) Turn {
	n := m.inFlight.Add(-1) + 1
	switch result {
	case mustardramp.ResultShed:
		if m.transit == nil {
			// A keeper knows all that the backend has in flight: a shed within
			// its slots is no sign of load.
			m.shrink(n)
		}
		m.hold(now.Add(shedHold))
	case mustardramp.ResultDial:
		m.hold(now.Add(dialHold))
	case mustardramp.ResultLeaving:
		m.left.Store(uint64(m.backend.Incarnation) + 1)
	case mustardramp.ResultGood:
		m.grow(n)
		learn(&m.latency, latency)
		learn(m.usual, latency)
	}
	shown := m.symptom(result, latency)
	if shown == sign {
		m.haunt(latency, now)
	}
	turn := m.belief.observe(now.UnixNano(), shown)
	switch shown {
	case wellSign:
		m.doubt.Store(0)
	case sign, dialSign:
		m.doubt.Store(math.Float64bits(turn.After))
	}
	return turn
}

// symptom says what a result shows of the backend's health. An answer that took
// far longer than usual is as bad a sign as a failure.
func (m *member) symptom(result mustardramp.Result, latency time.Duration) symptom {
	switch {
	case result == mustardramp.ResultTimeout && !m.isLate(latency):
		// The caller had little time.
		return noSign
	case result == mustardramp.ResultDial:
		return dialSign
	case result.Failed():
		return sign
	case result != mustardramp.ResultGood:
		return noSign
	case m.isLate(latency):
		return sign
	default:
		return wellSign
	}
}

// lateFactor is the multiple of the usual latency beyond which an answer is
// late: on both sites' days 1 answer in 100 of well backends takes three times
// the mean and more, and those of slow ones four times.
const lateFactor = 3.5

func (m *member) isLate(latency time.Duration) bool {
	usual := time.Duration(m.usual.Load())
	return usual > 0 && float64(latency) > lateFactor*float64(usual)
}

// isSound reports whether the member's risk is one that a request takes.
func (m *member) isSound(at int64, limit float64) bool {
	return m.risk(at) < limit
}

// risk is how likely an attempt is to fail that begins now. An attempt that has
// been under way for too long raises it before it ends.
func (m *member) risk(at int64) float64 {
	risk := m.belief.at(at)
	if m.isHung(at) {
		return max(risk, hungRisk)
	}
	return risk
}

// isHung reports whether an attempt has been under way for too long.
func (m *member) isHung(at int64) bool {
	oldest := m.flights.oldest()
	return oldest > 0 && m.isLate(time.Duration(at-oldest))
}

// haunt counts the time that a failed attempt left unused.
func (m *member) haunt(latency time.Duration, now time.Time) {
	usual := time.Duration(m.usual.Load())
	if latency >= usual {
		return
	}
	m.ghosts.add(1-float64(latency)/float64(usual), now.UnixNano(), usual)
}

// shrink lowers the limit after a shed at n in flight.
func (m *member) shrink(n int32) {
	for {
		old := m.limit.Load()
		limit := min(math.Float64frombits(old), float64(n))
		next := max(1, limit*decrease)
		if m.limit.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}

// grow raises the limit by one in a limit's worth of good answers, while the
// limit is in use.
func (m *member) grow(n int32) {
	for {
		old := m.limit.Load()
		limit := math.Float64frombits(old)
		if limit >= float64(m.ceiling) || float64(n)+1 < limit {
			return
		}
		next := min(limit+1/limit, float64(m.ceiling))
		if m.limit.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}

func (m *member) hold(until time.Time) {
	at := until.UnixNano()
	for {
		old := m.held.Load()
		if old >= at || m.held.CompareAndSwap(old, at) {
			return
		}
	}
}

// learn moves a mean towards a new value.
func learn(mean *atomic.Int64, value time.Duration) {
	old := mean.Load()
	if old == 0 {
		mean.Store(int64(value))
		return
	}
	mean.Store(old + int64(smoothing*float64(int64(value)-old)))
}
