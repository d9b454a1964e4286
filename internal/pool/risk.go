package pool

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/mustardramp/mustardramp"
)

// The model of a backend alternates between an unhealthy state, which lasts
// some seconds and in which most attempts fail, and a healthy one.
const (
	// unhealthyShare is the share of backends that are unhealthy at any time.
	unhealthyShare = 0.3
	// meanUnhealthyTime is the mean time for which a backend stays unhealthy.
	meanUnhealthyTime = 7 * time.Second
	// unhealthyFailureRate and healthyFailureRate are the shares of attempts
	// that fail.
	unhealthyFailureRate = 0.75
	healthyFailureRate   = 0.015
	// unhealthyDialFailureRate and healthyDialFailureRate are the shares of
	// attempts whose dial fails. All dials of a stopped backend fail, while a
	// host with a bad path uses the backend only now and then.
	unhealthyDialFailureRate = 0.3
	healthyDialFailureRate   = 0.05
	// initialRisk is the risk of a backend without any evidence. It is low, so
	// that a new backend gets work soon.
	initialRisk = 0.05
	// minHungRisk is the lowest risk while an attempt is in flight for too
	// long.
	minHungRisk = 0.6
	// minRisk and maxRisk bound the estimate so that single outcomes can still
	// change it.
	minRisk = 0.002
	maxRisk = 0.99
)

// evidence is what one outcome shows about a backend's health.
type evidence uint8

const (
	noEvidence evidence = iota
	successEvidence
	failureEvidence
	// dialFailureEvidence is a failed dial. It is weak evidence, because the
	// path of this host may be at fault.
	dialFailureEvidence
)

// riskEstimate is the probability that a backend is unhealthy: a hidden state
// that changes by itself and shows in outcomes. Its zero value is a backend
// without evidence.
type riskEstimate struct {
	mu sync.Mutex
	// risk is the estimate as of updatedAt, which is in Unix nanoseconds. Both
	// are 0 at first.
	risk      float64
	updatedAt int64
}

// at returns the estimate at a time in Unix nanoseconds. Without new outcomes it
// drifts back to unhealthyShare.
func (e *riskEstimate) at(now int64) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.decayed(now)
}

// decayed returns the estimate at a time. The caller holds mu.
func (e *riskEstimate) decayed(now int64) float64 {
	if e.updatedAt == 0 {
		return initialRisk
	}
	// An unhealthy backend recovers at the rate 1/meanUnhealthyTime; a healthy
	// one becomes unhealthy at the rate that keeps unhealthyShare constant.
	rate := 1 / (meanUnhealthyTime.Seconds() * (1 - unhealthyShare))
	age := time.Duration(max(0, now-e.updatedAt)).Seconds()
	return unhealthyShare + (e.risk-unhealthyShare)*math.Exp(-rate*age)
}

// observe updates the estimate with an outcome by Bayes' rule.
func (e *riskEstimate) observe(now int64, observed evidence) RiskChange {
	e.mu.Lock()
	defer e.mu.Unlock()
	prior := e.decayed(now)
	if observed == noEvidence {
		return RiskChange{Before: prior, After: prior}
	}
	unhealthy, healthy := unhealthyFailureRate, healthyFailureRate
	switch observed {
	case successEvidence:
		unhealthy, healthy = 1-unhealthyFailureRate, 1-healthyFailureRate
	case dialFailureEvidence:
		unhealthy, healthy = unhealthyDialFailureRate, healthyDialFailureRate
	}
	posterior := prior * unhealthy / (prior*unhealthy + (1-prior)*healthy)
	e.risk, e.updatedAt = max(minRisk, min(posterior, maxRisk)), now
	return RiskChange{Before: prior, After: e.risk}
}

// adopt replaces the estimate by that of another host, which has more evidence.
func (e *riskEstimate) adopt(now int64, risk float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.risk, e.updatedAt = max(minRisk, min(risk, maxRisk)), now
}

// hasEvidence reports whether an outcome or another host's estimate was taken
// in.
func (e *riskEstimate) hasEvidence() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.updatedAt != 0
}

// RiskChange is the change of a backend's risk by one outcome.
type RiskChange struct {
	// Before and After are the risks around the outcome.
	Before, After float64
}

// HasBecomeRisky reports whether requests that have not waited skip the backend
// from now on.
func (c RiskChange) HasBecomeRisky() bool {
	return c.Before < initialRiskLimit && c.After >= initialRiskLimit
}

// HasRecovered reports whether requests that have not waited accept the backend
// again.
func (c RiskChange) HasRecovered() bool {
	return c.Before >= initialRiskLimit && c.After < initialRiskLimit
}

// BackendRisk is a keeper's estimate of the risk of one backend.
type BackendRisk struct {
	Backend mustardramp.BackendID `cbor:"1,keyasint"`
	Risk    float64               `cbor:"2,keyasint"`
}

// Risks lists the estimates of all backends with evidence.
func (p *Pool) Risks() []BackendRisk {
	at := p.clock.Now().UnixNano()
	var out []BackendRisk
	p.core.view.Load().each(func(m *member) {
		if m.estimate.hasEvidence() {
			out = append(out, BackendRisk{Backend: m.backend.ID, Risk: float64(float32(m.estimate.at(at)))})
		}
	})
	return out
}

// AdoptRisks replaces the estimates by those of the previous keeper of the backends.
func (p *Pool) AdoptRisks(estimates []BackendRisk) {
	at := p.clock.Now().UnixNano()
	risks := make(map[mustardramp.BackendID]float64, len(estimates))
	for _, b := range estimates {
		risks[b.Backend] = b.Risk
	}
	p.core.view.Load().each(func(m *member) {
		if risk, ok := risks[m.backend.ID]; ok {
			m.estimate.adopt(at, risk)
		}
	})
}

// attemptStarts holds the start times of the attempts in flight in Unix
// nanoseconds, oldest first.
type attemptStarts struct {
	mu    sync.Mutex
	times []int64
}

func (s *attemptStarts) add(at int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.times = append(s.times, at)
}

func (s *attemptStarts) remove(at int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.times, at); i >= 0 {
		s.times = slices.Delete(s.times, i, i+1)
	}
}

// oldest returns the start time of the oldest attempt in flight, or 0.
func (s *attemptStarts) oldest() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.times) == 0 {
		return 0
	}
	return s.times[0]
}
