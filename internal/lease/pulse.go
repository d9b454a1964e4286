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
	// pulseTime is how long the keeper has to say so.
	pulseTime = 120 * time.Millisecond
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

func (p *pulse) asked(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asking = false
	if err != nil {
		p.missed++
		return
	}
	p.last = time.Now()
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
			p.asked(ask(ctx, keeper))
		}
		if p.misses() > before && ctx.Err() == nil {
			end(errDown)
			return
		}
	}
}

// ask asks the keeper whether it is there. A question that was given up with
// its ask shows nothing.
func ask(ctx context.Context, keeper link.Caller) error {
	bounded, cancel := context.WithTimeout(ctx, pulseTime)
	defer cancel()
	_, err := link.Call[struct{}](bounded, keeper, methodAlive, struct{}{})
	if ctx.Err() != nil {
		return nil
	}
	return err
}
