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
	// limitDecreaseFactor is the factor applied to the limit after a shed.
	limitDecreaseFactor = 0.7
	// failurePenaltyWeight is the weight of an early failure in the fill ratio.
	failurePenaltyWeight = 4
	// meanSmoothing is the weight of a new value in a moving mean.
	meanSmoothing = 0.1
)

// load is what this host knows of the load of one backend. It outlives updates
// of the view, and its fields are used by many goroutines.
type load struct {
	// incarnation is the incarnation of the backend that the load describes.
	incarnation mustardramp.Incarnation
	// inFlight is never negative, and it exceeds the limit only after the limit
	// was lowered.
	inFlight atomic.Int32
	// limit holds the bits of a float64: the adaptive concurrency limit, at
	// least 1.
	limit atomic.Uint64
	// latency is the moving mean in nanoseconds; 0 means unknown.
	latency atomic.Int64
	// failurePenalty accounts for attempts that failed early.
	failurePenalty failurePenalty
	// heldUntil is the time in Unix nanoseconds until which no work is sent.
	heldUntil atomic.Int64
	// leavingIncarnation is the incarnation that announced that it is leaving,
	// plus one, or 0.
	leavingIncarnation atomic.Uint64
	// estimate is the probability that the backend is unhealthy.
	estimate riskEstimate
	// starts holds the start times of the attempts in flight.
	starts attemptStarts
	// lastAttempt is the time of the last attempt in Unix nanoseconds, or 0.
	lastAttempt atomic.Int64
	// knownSince is when the backend became known, in Unix nanoseconds.
	knownSince int64
	// lastFailureRisk holds the bits of a float64: the risk after the last
	// outcome with evidence if that was a failure, or 0.
	lastFailureRisk atomic.Uint64
}

func newLoad(ceiling int32, knownSince int64) *load {
	l := &load{knownSince: knownSince}
	l.limit.Store(math.Float64bits(float64(ceiling)))
	return l
}

// member is a backend as one view sees it. It is immutable except for its load.
// Times given to its methods as an int64 are in Unix nanoseconds.
type member struct {
	*load
	backend mustardramp.Backend
	// ceiling is the number of slots that this host may use, at least 1.
	ceiling int32
	trial   bool
	// leaseOverhead is set if this host grants all of the backend's slots.
	leaseOverhead *leaseOverhead
	// serviceLatency is the mean latency of the service's good answers in
	// nanoseconds.
	serviceLatency *atomic.Int64
}

// maxInFlight returns how many attempts may be in flight: at least 1 and at
// most the ceiling, or more if leases last longer than the work and the ceiling
// would be left partly unused.
func (m *member) maxInFlight() int32 {
	limit := int32(math.Float64frombits(m.limit.Load()))
	slots := max(1, min(limit, m.ceiling))
	if m.leaseOverhead == nil || m.trial {
		return slots
	}
	return int32(float64(slots) * m.leaseOverhead.overcommit())
}

// isAvailable reports whether the member accepts work, whatever its load.
func (m *member) isAvailable(at int64) bool {
	if m.heldUntil.Load() > at {
		return false
	}
	return !m.isLeaving()
}

// isLeaving reports whether the member's incarnation has stated that it is leaving.
func (m *member) isLeaving() bool {
	return m.leavingIncarnation.Load() == uint64(m.backend.Incarnation)+1
}

// setLeaving records that the member's incarnation is leaving.
func (m *member) setLeaving() {
	m.leavingIncarnation.Store(uint64(m.backend.Incarnation) + 1)
}

// hasRoom reports whether the member accepts one more attempt.
func (m *member) hasRoom(at int64) bool {
	return m.usedSlots(at) < float64(m.maxInFlight()) && m.isAvailable(at)
}

// usedSlots returns the number of attempts in flight plus the whole penalties
// for early failures.
func (m *member) usedSlots(at int64) float64 {
	return float64(m.inFlight.Load()) + math.Floor(m.failurePenalty.at(at, time.Duration(m.serviceLatency.Load())))
}

// fillRatio returns the share of the member's limit that one more attempt would
// use. Early failures count failurePenaltyWeight times, so that other backends
// are preferred.
func (m *member) fillRatio(at int64) float64 {
	penalty := m.failurePenalty.at(at, time.Duration(m.serviceLatency.Load()))
	return (float64(m.inFlight.Load()) + failurePenaltyWeight*penalty + 1) / float64(m.maxInFlight())
}

// tryAcquire takes one slot, or reports false.
func (m *member) tryAcquire() bool {
	for {
		n := m.inFlight.Load()
		if n >= m.maxInFlight() {
			return false
		}
		if m.inFlight.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// finish releases the slot of an attempt and learns from its result.
func (m *member) finish(result mustardramp.Result, latency time.Duration, now time.Time) RiskChange {
	n := m.inFlight.Add(-1) + 1
	switch result {
	case mustardramp.ResultShed:
		if m.leaseOverhead == nil {
			// A keeper knows all attempts that the backend has in flight, so a
			// shed within the slots is no sign of load.
			m.decreaseLimit(n)
		}
		m.hold(now.Add(shedHold))
	case mustardramp.ResultDial:
		m.hold(now.Add(dialHold))
	case mustardramp.ResultLeaving:
		m.setLeaving()
	case mustardramp.ResultSuccess:
		m.increaseLimit(n)
		updateMean(&m.latency, latency)
		updateMean(m.serviceLatency, latency)
	}
	observed := m.evidenceOf(result, latency)
	if observed == failureEvidence {
		m.addFailurePenalty(latency, now)
	}
	change := m.estimate.observe(now.UnixNano(), observed)
	switch observed {
	case successEvidence:
		m.lastFailureRisk.Store(0)
	case failureEvidence, dialFailureEvidence:
		m.lastFailureRisk.Store(math.Float64bits(change.After))
	}
	return change
}

// evidenceOf returns what a result shows about the health of the backend. An
// answer that took far longer than the mean counts as a failure.
func (m *member) evidenceOf(result mustardramp.Result, latency time.Duration) evidence {
	switch {
	case result == mustardramp.ResultTimeout && !m.isSlow(latency):
		// An early timeout is due to the caller's short deadline.
		return noEvidence
	case result == mustardramp.ResultDial:
		return dialFailureEvidence
	case result.Failed():
		return failureEvidence
	case result != mustardramp.ResultSuccess:
		return noEvidence
	case m.isSlow(latency):
		return failureEvidence
	default:
		return successEvidence
	}
}

// slowFactor is the multiple of the mean latency beyond which an answer is
// slow. At healthy backends 1 answer in 100 takes three times the mean or more;
// slow backends take four times the mean.
const slowFactor = 3.5

func (m *member) isSlow(latency time.Duration) bool {
	meanLatency := time.Duration(m.serviceLatency.Load())
	return meanLatency > 0 && float64(latency) > slowFactor*float64(meanLatency)
}

// isRiskBelow reports whether the member's risk is below a limit.
func (m *member) isRiskBelow(at int64, limit float64) bool {
	return m.risk(at) < limit
}

// risk returns the probability that an attempt started now fails. An attempt
// that is in flight for too long raises it before the attempt ends.
func (m *member) risk(at int64) float64 {
	risk := m.estimate.at(at)
	if m.isHung(at) {
		return max(risk, minHungRisk)
	}
	return risk
}

// isHung reports whether an attempt has been in flight for too long.
func (m *member) isHung(at int64) bool {
	oldest := m.starts.oldest()
	return oldest > 0 && m.isSlow(time.Duration(at-oldest))
}

// addFailurePenalty accounts for the slot time that a failed attempt left
// unused.
func (m *member) addFailurePenalty(latency time.Duration, now time.Time) {
	meanLatency := time.Duration(m.serviceLatency.Load())
	if latency >= meanLatency {
		return
	}
	m.failurePenalty.add(1-float64(latency)/float64(meanLatency), now.UnixNano(), meanLatency)
}

// decreaseLimit lowers the limit after a shed with n attempts in flight.
func (m *member) decreaseLimit(n int32) {
	for {
		old := m.limit.Load()
		limit := min(math.Float64frombits(old), float64(n))
		next := max(1, limit*limitDecreaseFactor)
		if m.limit.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}

// increaseLimit raises the limit by one per limit's worth of good answers while
// the limit is in use.
func (m *member) increaseLimit(n int32) {
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
		old := m.heldUntil.Load()
		if old >= at || m.heldUntil.CompareAndSwap(old, at) {
			return
		}
	}
}

// updateMean moves a mean towards a new value.
func updateMean(mean *atomic.Int64, value time.Duration) {
	old := mean.Load()
	if old == 0 {
		mean.Store(int64(value))
		return
	}
	mean.Store(old + int64(meanSmoothing*float64(int64(value)-old)))
}
