package pool

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/mustardramp/mustardramp"
)

// The model of backends that fall ill for some seconds and fail most of their
// work meanwhile, while others stay well. The figures are those of the platform's
// days, taken from the outcomes of 3,400 attempts (docs/MEASUREMENTS.md).
const (
	// illShare is the share of backends that are ill at any time.
	illShare = 0.3
	// illSpan is the mean time for which one is ill.
	illSpan = 7 * time.Second
	// illFails and wellFails are the shares of attempts that fail.
	illFails  = 0.75
	wellFails = 0.015
	// illDials and wellDials are the shares of attempts whose dial fails: a
	// backend that is gone lets all fail, and a host whose path is bad asks for
	// the backend only now and then.
	illDials  = 0.3
	wellDials = 0.05
	// newRisk is the risk of a backend that nothing is known of. It is low, so
	// that one that joins gets work soon.
	newRisk = 0.05
	// hungRisk is the least risk while an attempt is under way for too long.
	hungRisk = 0.6
	// leastRisk and mostRisk keep single outcomes able to change the belief.
	leastRisk = 0.002
	mostRisk  = 0.99
)

// symptom is what one outcome shows.
type symptom uint8

const (
	noSign symptom = iota
	wellSign
	sign
	// dialSign is a failed dial: as likely the path of one host is bad.
	dialSign
)

// belief is how likely a backend is ill: a hidden state that changes by itself
// and shows in outcomes. Its zero value is a backend that nothing is known of.
type belief struct {
	mu sync.Mutex
	// risk is the belief as of then, in Unix nanoseconds; both are 0 at first.
	risk float64
	then int64
}

// at returns the belief at a time: without outcomes it goes back to the share
// of ill backends.
func (b *belief) at(now int64) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.drift(now)
}

func (b *belief) drift(now int64) float64 {
	if b.then == 0 {
		return newRisk
	}
	// An ill backend recovers at 1/illSpan; a well one falls ill at the rate
	// that keeps the share.
	rate := 1 / (illSpan.Seconds() * (1 - illShare))
	age := time.Duration(max(0, now-b.then)).Seconds()
	return illShare + (b.risk-illShare)*math.Exp(-rate*age)
}

// observe takes in an outcome by Bayes' rule.
func (b *belief) observe(now int64, s symptom) Turn {
	b.mu.Lock()
	defer b.mu.Unlock()
	prior := b.drift(now)
	if s == noSign {
		return Turn{Before: prior, After: prior}
	}
	ill, well := illFails, wellFails
	switch s {
	case wellSign:
		ill, well = 1-illFails, 1-wellFails
	case dialSign:
		ill, well = illDials, wellDials
	}
	posterior := prior * ill / (prior*ill + (1-prior)*well)
	b.risk, b.then = max(leastRisk, min(posterior, mostRisk)), now
	return Turn{Before: prior, After: b.risk}
}

// adopt takes over the belief of another host, which knew more.
func (b *belief) adopt(now int64, risk float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.risk, b.then = max(leastRisk, min(risk, mostRisk)), now
}

// seen reports whether any outcome or belief was taken in.
func (b *belief) seen() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.then != 0
}

// Turn is the change of a belief by one outcome.
type Turn struct {
	// Before and After are the risks as of the outcome.
	Before, After float64
}

// IsDoubt reports whether requests with little patience pass the backend over
// from now on.
func (t Turn) IsDoubt() bool { return t.Before < riskLimit && t.After >= riskLimit }

// IsTrust reports whether requests with little patience take the backend again.
func (t Turn) IsTrust() bool { return t.Before >= riskLimit && t.After < riskLimit }

// Belief is what a keeper believes of one backend.
type Belief struct {
	Backend mustardramp.BackendID `cbor:"1,keyasint"`
	Risk    float64               `cbor:"2,keyasint"`
}

// Beliefs lists what the pool believes of the backends that it has work of.
func (p *Pool) Beliefs() []Belief {
	at := p.clock.Now().UnixNano()
	var out []Belief
	p.core.view.Load().each(func(m *member) {
		if m.belief.seen() {
			out = append(out, Belief{Backend: m.backend.ID, Risk: float64(float32(m.belief.at(at)))})
		}
	})
	return out
}

// Adopt takes over the beliefs of the host that kept the backends before.
func (p *Pool) Adopt(beliefs []Belief) {
	at := p.clock.Now().UnixNano()
	risks := make(map[mustardramp.BackendID]float64, len(beliefs))
	for _, b := range beliefs {
		risks[b.Backend] = b.Risk
	}
	p.core.view.Load().each(func(m *member) {
		if risk, ok := risks[m.backend.ID]; ok {
			m.belief.adopt(at, risk)
		}
	})
}

// flights are the times at which the attempts under way began, oldest first.
type flights struct {
	mu    sync.Mutex
	began []int64
}

func (f *flights) begin(at int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.began = append(f.began, at)
}

func (f *flights) end(at int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if i := slices.Index(f.began, at); i >= 0 {
		f.began = slices.Delete(f.began, i, i+1)
	}
}

// oldest returns when the oldest attempt under way began, or 0.
func (f *flights) oldest() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.began) == 0 {
		return 0
	}
	return f.began[0]
}
