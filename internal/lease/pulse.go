package lease

import (
	"context"
	"sync"
	"time"

	"github.com/mustardramp/mustardramp/internal/link"
)

const (
	// pulsePause is how long an ask may wait without a word of its keeper
	// before the keeper is asked whether it is there: several times the way to
	// the other region and back.
	pulsePause = 80 * time.Millisecond
	// leastPulse and mostPulse bound how long the keeper has to say so: several
	// times the way to the other region and back where it is quick, and half of
	// the shortest target of the deployments, 0.8 s, where its processor or its
	// link is busy. A host whose keeper answers late must not take it for lost: it
	// would then send work by itself, beyond the slots that the keeper counts.
	leastPulse = 120 * time.Millisecond
	mostPulse  = 400 * time.Millisecond
	// pulseFactor is the multiple of the usual time of an answer, and
	// pulseSmoothing the weight of a new one in the mean.
	pulseFactor    = 4
	pulseSmoothing = 0.2
)

// pulse tells a keeper in whose queue asks wait from one that was killed, frozen
// or cut off. All asks at the keeper share it. Its zero value works.
type pulse struct {
	mu   sync.Mutex
	last time.Time
	// asking is true while the keeper is being asked.
	asking bool
	// missed counts the questions without an answer.
	missed uint64
	// usual is the moving mean time of an answer, or 0 before the first.
	usual time.Duration
}

// heard notes a word of the keeper.
func (p *pulse) heard() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last = time.Now()
}

// due reports whether the keeper must be asked now, by this caller.
func (p *pulse) due() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.asking || time.Since(p.last) < pulsePause {
		return false
	}
	p.asking = true
	return true
}

// asked takes in how a question ended and how long that took. One that was
// given up with its ask shows nothing.
func (p *pulse) asked(givenUp bool, err error, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asking = false
	switch {
	case givenUp:
	case err != nil:
		p.learn(took)
		p.missed++
	default:
		p.learn(took)
		p.last = time.Now()
	}
}

// learn moves the usual time. A question without an answer counts with the time
// that it was given, so that a keeper that has become slow is soon given more.
func (p *pulse) learn(took time.Duration) {
	if p.usual == 0 {
		p.usual = took
		return
	}
	p.usual += time.Duration(pulseSmoothing * float64(took-p.usual))
}

// limit returns how long the keeper has for an answer.
func (p *pulse) limit() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.usual == 0 {
		// The first question makes the connection too.
		return mostPulse
	}
	return max(leastPulse, min(pulseFactor*p.usual, mostPulse))
}

func (p *pulse) misses() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.missed
}

// watch ends an ask once the keeper did not answer a question that was asked
// while the ask waited.
func (p *pulse) watch(ctx context.Context, keeper link.Caller, end context.CancelCauseFunc) {
	before := p.misses()
	ticker := time.NewTicker(pulsePause)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if p.due() {
			began := time.Now()
			err := ask(ctx, keeper, p.limit())
			p.asked(ctx.Err() != nil, err, time.Since(began))
		}
		if p.misses() > before && ctx.Err() == nil {
			end(errDown)
			return
		}
	}
}

// ask asks the keeper whether it is there.
func ask(ctx context.Context, keeper link.Caller, limit time.Duration) error {
	bounded, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	_, err := link.Call[struct{}](bounded, keeper, methodAlive, struct{}{})
	return err
}
