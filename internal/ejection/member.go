package ejection

import (
	"time"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/evidence"
	"github.com/mustardramp/mustardramp/internal/roster"
)

// scope is a group of hosts whose outcomes are tested together.
type scope int

const (
	hostScope scope = iota
	zoneScope
	fleetScope
	scopeCount
)

// phase is the stage of a backend between ejection and full work.
type phase int

const (
	// steady backends receive work by their weight of 1.
	steady phase = iota
	// held backends receive nothing.
	held
	// tried backends receive a trickle.
	tried
	// ramping backends receive work by a weight that grows.
	ramping
)

// Spans of time of the way back.
const (
	// coldSpan is how long after its start a backend may be slow.
	coldSpan = time.Minute
	// firstHold is the first time that an ejected backend is held; it doubles
	// with each ejection in short succession.
	firstHold = 5 * time.Second
	// maxHold is the longest time that an ejected backend is held.
	maxHold = 5 * time.Minute
	// forgiveAfter is how long a backend must work well before its earlier
	// ejections no longer count.
	forgiveAfter = 10 * time.Minute
	// trialWait is how long a trial waits for outcomes before the backend is
	// given ordinary work at a low weight instead.
	trialWait = 20 * time.Second
	// rampSpan is the time from the least weight to full work.
	rampSpan = 15 * time.Second
)

const (
	// firstWeight is the weight at which a ramp starts.
	firstWeight = 0.1
	// trialPassed and trialFailed are the log-likelihood ratios of ill to
	// healthy that end a trial.
	trialPassed = -2.5
	trialFailed = 3.0
	// probation is the part of the threshold at which the tests of a returned
	// backend start.
	probation = 0.5
	// maxFlaps bounds the doublings of the hold.
	maxFlaps = 6
	// keepRows is how long after its last change a count stands in the full
	// reports.
	keepRows = 2 * quietInterval
	// zoneSpan is the time constant of the outcomes by zone.
	zoneSpan = 3 * time.Second
)

// member is what this host knows of one backend and decided about it.
type member struct {
	backend mustardramp.Backend
	// ramp is the service's own span of a ramp, or 0.
	ramp   time.Duration
	handle evidence.Handle
	// since is when this host learned of the incarnation.
	since time.Time
	// started is when the incarnation started, as far as this host saw it;
	// zero for one that was there before.
	started time.Time
	// left is true once the incarnation answered that it is leaving.
	left bool
	work roster.Work

	// totals is the last reading of this host's own counts. Changed is when it
	// last differed, and worsened when it last held a new bad outcome.
	totals   evidence.Counts
	changed  time.Time
	worsened time.Time

	scopes [scopeCount]measure
	// zones holds the recent outcomes by the zone of the hosts.
	zones map[mustardramp.Zone]*zoneView

	phase phase
	// local is true while only this host ejects: its path is bad. It has a
	// meaning only in the phases held and tried.
	local bool
	grade evidence.Grade
	// entered is when the phase was entered.
	entered time.Time
	// holdSpan is how long the phase held lasts.
	holdSpan time.Duration
	// flaps counts the ejections since the backend last worked well for long.
	flaps int
	// trial holds the outcomes since the trial started.
	trial sample
	// wished is when this host made its wish to eject known, or zero.
	wished time.Time
	cause  string
}

// measure is the recent outcomes and the tests within one scope.
type measure struct {
	windows windows
	tests   [kindCount]cusum
	// peers holds the present level of the backend's peers.
	peers [kindCount]float64
}

func newMember(now time.Time, b mustardramp.Backend) *member {
	return &member{
		backend: b,
		handle:  evidence.HandleOf(b.ID),
		since:   now,
		entered: now,
		zones:   map[mustardramp.Zone]*zoneView{},
	}
}

// out reports whether the backend receives no ordinary work.
func (m *member) out() bool {
	return m.phase == held || m.phase == tried
}

// everywhere reports whether the backend is ejected for the whole fleet.
func (m *member) everywhere() bool {
	return m.out() && !m.local
}

func (m *member) serving() bool {
	return m.backend.State == mustardramp.Serving
}

// cold reports whether the backend started so recently that it may be slow.
func (m *member) cold(now time.Time) bool {
	return !m.started.IsZero() && now.Sub(m.started) < coldSpan
}

// reportable reports whether the backend's counts stand in a report.
func (m *member) reportable(now time.Time, full bool) bool {
	if full {
		return !m.changed.IsZero() && now.Sub(m.changed) <= keepRows
	}
	return !m.worsened.IsZero() && now.Sub(m.worsened) <= newsSpan
}

func (m *member) claim() evidence.Claim {
	return evidence.Claim{Backend: m.handle, Grade: m.grade}
}

func (m *member) enter(now time.Time, p phase) {
	m.phase = p
	m.entered = now
}

// eject holds the backend for a time that doubles when it flaps.
func (m *member) eject(now time.Time, local bool, cause string) {
	m.holdSpan = min(firstHold<<m.flaps, maxHold)
	m.flaps = min(m.flaps+1, maxFlaps)
	m.local = local
	m.cause = cause
	m.wished = time.Time{}
	m.enter(now, held)
	m.resetTests(0)
}

// readmit lets the backend work again: at once, or by a ramp.
func (m *member) readmit(now time.Time, p phase, cause string) {
	m.local = false
	m.cause = cause
	m.wished = time.Time{}
	m.enter(now, p)
}

func (m *member) resetTests(sum float64) {
	for i := range m.scopes {
		m.scopes[i].resetTests(sum)
	}
}

func (v *measure) resetTests(sum float64) {
	for k := range v.tests {
		v.tests[k] = cusum{sum: sum}
	}
}

// weight is the share of its slots that the backend may use.
func (m *member) weight(now time.Time) float64 {
	if m.phase != ramping {
		return 1
	}
	part := float64(now.Sub(m.entered)) / float64(m.rampSpan())
	return min(1, firstWeight+(1-firstWeight)*part)
}

func (m *member) rampSpan() time.Duration {
	if m.ramp > 0 {
		return m.ramp
	}
	return rampSpan
}

// advance moves the backend on when its time has come.
func (m *member) advance(now time.Time, limits thresholds) {
	spent := now.Sub(m.entered)
	switch m.phase {
	case held:
		if spent >= m.holdSpan {
			m.trial = sample{}
			m.enter(now, tried)
		}
	case tried:
		m.endTrial(now, limits)
	case ramping:
		if spent >= m.rampSpan() {
			m.readmit(now, steady, "")
		}
	case steady:
		if spent >= forgiveAfter {
			m.flaps = 0
		}
	}
}

// endTrial decides a trial by a sequential test of its outcomes.
func (m *member) endTrial(now time.Time, limits thresholds) {
	passed := true
	for k := range kindCount {
		ratio := against(k, m.scopes[m.trialScope()].peers[k]).evidence(m.trial.n, m.trial.bad[k])
		if ratio >= trialFailed {
			m.eject(now, m.local, "trial failed after "+m.cause)
			return
		}
		passed = passed && ratio <= trialPassed
	}
	waited := now.Sub(m.entered) >= trialWait
	if !passed && !waited {
		return
	}
	m.readmit(now, ramping, "ramps up after an ejection")
	m.resetTests(probation * limits.main)
}

func (m *member) trialScope() scope {
	if m.local {
		return zoneScope
	}
	return fleetScope
}
