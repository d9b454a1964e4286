package ejection

import (
	"time"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/evidence"
	"github.com/mustardramp/mustardramp/internal/roster"
)

// scope is a set of hosts whose outcomes are tested together.
type scope int

const (
	hostScope scope = iota
	zoneScope
	fleetScope
	scopeCount
)

// phase is the stage of a backend between ejection and full traffic.
type phase int

const (
	// steadyPhase backends receive traffic with a weight of 1.
	steadyPhase phase = iota
	// heldPhase backends are ejected and receive nothing.
	heldPhase
	// trialPhase backends are ejected and receive a trickle of requests.
	trialPhase
	// rampingPhase backends receive traffic with a weight that grows.
	rampingPhase
)

// Durations of the stages after a start or an ejection.
const (
	// coldStartPeriod is how long after its start a backend may be slow.
	coldStartPeriod = time.Minute
	// firstHold is how long a backend is held after its first ejection; the
	// hold doubles with each further ejection in short succession.
	firstHold = 5 * time.Second
	// maxHold is the longest time for which an ejected backend is held.
	maxHold = 5 * time.Minute
	// flapResetPeriod is how long a backend must work well before its earlier
	// ejections no longer lengthen the hold.
	flapResetPeriod = 10 * time.Minute
	// maxTrialWait is how long a trial waits for outcomes before the backend
	// receives ordinary traffic at a low weight instead.
	maxTrialWait = 20 * time.Second
	// defaultRampDuration is the time from firstWeight to full traffic.
	defaultRampDuration = 15 * time.Second
)

const (
	// firstWeight is the weight at which a ramp starts.
	firstWeight = 0.1
	// trialPassRatio and trialFailRatio are the log-likelihood ratios of
	// unhealthy to healthy that end a trial.
	trialPassRatio = -2.5
	trialFailRatio = 3.0
	// probationFraction is the fraction of the threshold at which the tests of
	// a readmitted backend start.
	probationFraction = 0.5
	// maxFlaps bounds how often the hold doubles.
	maxFlaps = 6
	// fullRowPeriod is how long after their last change a backend's counts are
	// part of full reports.
	fullRowPeriod = 2 * fullReportInterval
	// zoneTimeConstant is the time constant of the outcomes by zone.
	zoneTimeConstant = 3 * time.Second
)

// member is what this host knows and has decided about one backend.
type member struct {
	backend mustardramp.Backend
	// ramp is the duration of a ramp that the service sets, or 0.
	ramp   time.Duration
	handle evidence.Handle
	// learnedAt is when this host learned of the incarnation.
	learnedAt time.Time
	// startedAt is when this host saw the incarnation start. It is zero for one
	// that ran before this host did.
	startedAt time.Time
	// leaving is true once the incarnation answered that it is leaving.
	leaving  bool
	lastWork roster.WorkTimes

	// totals is the last reading of this host's own counts. changedAt is when
	// they last changed, and worsenedAt when they last gained a bad outcome.
	totals     evidence.Counts
	changedAt  time.Time
	worsenedAt time.Time

	scopes [scopeCount]scopeState
	// zones holds the recent outcomes by the zone of the hosts that saw them.
	zones map[mustardramp.Zone]*zoneOutcomes

	phase phase
	// local is true while this host avoids the backend on its own, because its
	// path is at fault. It is used only in heldPhase and trialPhase.
	local    bool
	severity evidence.Severity
	// enteredAt is when the phase was entered.
	enteredAt time.Time
	// holdDuration is how long heldPhase lasts.
	holdDuration time.Duration
	// flaps counts the ejections since the backend last worked well for
	// flapResetPeriod.
	flaps int
	// trial holds the outcomes since the trial started.
	trial sample
	// proposedAt is when this host proposed to eject the backend, or zero.
	proposedAt time.Time
	// cause explains the standing to operators.
	cause string
}

// scopeState holds the recent outcomes and the tests of one backend within one
// scope.
type scopeState struct {
	windows windows
	tests   [kindCount]cusum
	// peerShares holds the current share of bad outcomes of the backend's peers.
	peerShares [kindCount]float64
}

func newMember(now time.Time, b mustardramp.Backend) *member {
	return &member{
		backend:   b,
		handle:    evidence.HandleOf(b.ID),
		learnedAt: now,
		enteredAt: now,
		zones:     map[mustardramp.Zone]*zoneOutcomes{},
	}
}

// isOut reports whether the backend receives no ordinary traffic.
func (m *member) isOut() bool {
	return m.phase == heldPhase || m.phase == trialPhase
}

// isEjectedFleetWide reports whether this host ejects the backend for the whole
// fleet.
func (m *member) isEjectedFleetWide() bool {
	return m.isOut() && !m.local
}

func (m *member) isServing() bool {
	return m.backend.State == mustardramp.Serving
}

// isCold reports whether the backend started so recently that it may be slow.
func (m *member) isCold(now time.Time) bool {
	return !m.startedAt.IsZero() && now.Sub(m.startedAt) < coldStartPeriod
}

// isReportable reports whether the backend's counts are part of a full or an
// urgent report.
func (m *member) isReportable(now time.Time, full bool) bool {
	if full {
		return !m.changedAt.IsZero() && now.Sub(m.changedAt) <= fullRowPeriod
	}
	return !m.worsenedAt.IsZero() && now.Sub(m.worsenedAt) <= urgentRowPeriod
}

func (m *member) claim() evidence.Claim {
	return evidence.Claim{Backend: m.handle, Severity: m.severity}
}

func (m *member) enter(now time.Time, p phase) {
	m.phase = p
	m.enteredAt = now
}

// eject holds the backend for a time that doubles when it flaps.
func (m *member) eject(now time.Time, local bool, cause string) {
	m.holdDuration = min(firstHold<<m.flaps, maxHold)
	m.flaps = min(m.flaps+1, maxFlaps)
	m.local = local
	m.cause = cause
	m.proposedAt = time.Time{}
	m.enter(now, heldPhase)
	m.resetTests(0)
}

// readmit lets the backend receive ordinary traffic again: at once, or by a ramp.
func (m *member) readmit(now time.Time, p phase, cause string) {
	m.local = false
	m.cause = cause
	m.proposedAt = time.Time{}
	m.enter(now, p)
}

// resetTests restarts all tests from a sum.
func (m *member) resetTests(sum float64) {
	for i := range m.scopes {
		m.scopes[i].resetTests(sum)
	}
}

func (v *scopeState) resetTests(sum float64) {
	for k := range v.tests {
		v.tests[k] = cusum{sum: sum}
	}
}

// weight returns the share of its slots that the backend may use.
func (m *member) weight(now time.Time) float64 {
	if m.phase != rampingPhase {
		return 1
	}
	progress := float64(now.Sub(m.enteredAt)) / float64(m.rampDuration())
	return min(1, firstWeight+(1-firstWeight)*progress)
}

func (m *member) rampDuration() time.Duration {
	if m.ramp > 0 {
		return m.ramp
	}
	return defaultRampDuration
}

// advance enters the next phase when the current one is over.
func (m *member) advance(now time.Time, thresholds alarmThresholds) {
	spent := now.Sub(m.enteredAt)
	switch m.phase {
	case heldPhase:
		if spent >= m.holdDuration {
			m.trial = sample{}
			m.enter(now, trialPhase)
		}
	case trialPhase:
		m.evaluateTrial(now, thresholds)
	case rampingPhase:
		if spent >= m.rampDuration() {
			m.readmit(now, steadyPhase, "")
		}
	case steadyPhase:
		if spent >= flapResetPeriod {
			m.flaps = 0
		}
	}
}

// evaluateTrial ends a trial once a sequential test of its outcomes decides, or
// after maxTrialWait.
func (m *member) evaluateTrial(now time.Time, thresholds alarmThresholds) {
	passed := true
	for k := range kindCount {
		ratio := hypothesisFor(k, m.scopes[m.trialScope()].peerShares[k]).logLikelihoodRatio(m.trial.n, m.trial.bad[k])
		if ratio >= trialFailRatio {
			m.eject(now, m.local, "trial failed after "+m.cause)
			return
		}
		passed = passed && ratio <= trialPassRatio
	}
	waited := now.Sub(m.enteredAt) >= maxTrialWait
	if !passed && !waited {
		return
	}
	m.readmit(now, rampingPhase, "ramps up after an ejection")
	m.resetTests(probationFraction * thresholds.main)
}

// trialScope returns the scope whose outcomes decide a trial.
func (m *member) trialScope() scope {
	if m.local {
		return zoneScope
	}
	return fleetScope
}
